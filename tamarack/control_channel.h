// Authenticated datagrams between the control threads of balancers: envelope, replay protection, control budget.
//
// The payload is opaque: membership, health and configuration define their own. The channel does no I/O: seal() returns
// the bytes to send, and open() checks received bytes. See docs/design.md sections 2.5 and 2.6.
//
//   envelope (big endian)  version 1 | type 1 | sender 4 | life 8 | sequence 4 | recipient 4 | payload | MAC 16
//
// `life` is the incarnation number of the sender (envelope::incarnation).
#pragma once

#include "tamarack/resilience.h"
#include "tamarack/result.h"
#include "tamarack/tamarack.h"

#include <bitset>
#include <deque>

namespace tamarack {

//----------------------------------------------------------------------------------------------------------------------
// Keys and datagrams
//----------------------------------------------------------------------------------------------------------------------

using control_key = std::array<std::byte, 32>;

struct control_keys {
    control_key                signing{};
    std::optional<control_key> also_accepted; // during a key rotation
};

struct datagram {
    endpoint               destination;
    std::vector<std::byte> bytes;
};

//----------------------------------------------------------------------------------------------------------------------
// Messages
//----------------------------------------------------------------------------------------------------------------------

// The values are part of the protocol. A receiver ignores unknown types. 0 is invalid.
enum class message_type : std::uint8_t {
    ping = 1,
    ping_request = 2,
    acknowledgement = 3,
    membership_updates = 4, // unsolicited
    membership_request = 5, // contains digests of the sender's member list; requests the records that differ
    membership_records = 6,
    health = 7,
    configuration_digest = 16,
    configuration_request = 17,
    configuration_delta = 18,
    configuration_chunk = 19,
    placements = 24,
    placements_stored = 25,
};

// Order of precedence when the budget runs low. Each class leaves a reserve for the classes above it.
enum class message_priority : std::uint8_t {
    urgent, // failure detection
    high,   // membership changes, configuration
    normal, // health changes, transfers of member records
    low,    // load, placements of idle flows
};

inline constexpr std::size_t envelope_header_size = 22; // bytes
inline constexpr std::size_t control_mac_size = 16;     // bytes
inline constexpr std::size_t datagram_overhead = 28;    // bytes; IPv4 and UDP headers, counted for each datagram
// The minimum MTU of IPv6 (1,280 bytes) minus the IP and UDP headers, so that no datagram is ever fragmented.
inline constexpr std::size_t max_control_datagram = 1'232;
inline constexpr std::size_t max_control_payload = max_control_datagram - envelope_header_size - control_mac_size;

// 3,584 bytes a second and a burst of 5,120 limit any window of 10 s to 40,960 bytes = 10 x 4 KB.
inline constexpr double        control_rate = 3'584;  // bytes a second
inline constexpr double        control_burst = 5'120; // bytes
inline constexpr duration      control_window = std::chrono::seconds(10);
inline constexpr std::uint64_t control_window_limit = 40'960; // bytes

// Tokens that must remain in the bucket after a message, by message_priority.
inline constexpr std::array<double, 4> control_reserves = {0, 512, 1'024, 2'048}; // bytes

inline constexpr std::size_t replay_window = 1'024; // sequence numbers
inline constexpr std::size_t max_senders = 4'096;   // 15 times the members of a cluster at the expected size

//----------------------------------------------------------------------------------------------------------------------
// Errors
//----------------------------------------------------------------------------------------------------------------------

enum class seal_error : std::uint8_t {
    over_budget,        // to be sent later, with up-to-date content
    too_long,           // payload exceeds max_control_payload
    sequence_exhausted, // 2^32 messages sent under one incarnation
};

enum class open_error : std::uint8_t {
    truncated,
    too_long,
    bad_version,
    bad_mac,
    bad_field,       // type, sender or incarnation 0
    wrong_recipient, // addressed to another member
    own_id,          // sent by a process with this member id
    superseded,      // a newer incarnation of the sender is known
    replayed,        // sequence number already received, or too old for the window
    too_many_senders,
    count,
};

std::string_view to_string(seal_error error);
std::string_view to_string(open_error error);

// The fields after error are set only when the MAC is correct.
struct open_failure {
    open_error         error = open_error::truncated;
    member_id          sender = 0;
    incarnation_number incarnation = 0;          // of the sender
    incarnation_number newest_incarnation = 0;   // superseded: newest known incarnation of the sender
    bool               is_fresh = false;         // superseded: not a replay according to the windows
    duration           newest_incarnation_age{}; // superseded: time since the first datagram of the newest incarnation
};

struct envelope {
    message_type       type = message_type::ping;
    member_id          sender = 0;
    incarnation_number incarnation = 0;
    std::uint32_t      sequence = 0;
    member_id          recipient = 0; // 0: any member, if the id of the recipient is unknown
    byte_view          payload;       // a view into the received datagram
};

//----------------------------------------------------------------------------------------------------------------------
// Channel
//----------------------------------------------------------------------------------------------------------------------

struct control_channel_settings {
    member_id          self = 0;
    incarnation_number incarnation = 0;
    std::string  cluster = "default"; // part of the key derivation, so that clusters reject each other's datagrams
    control_keys keys;
};

struct control_channel_counters {
    std::uint64_t                datagrams_sent = 0;
    std::uint64_t                bytes_sent = 0; // with datagram_overhead
    std::uint64_t                datagrams_received = 0;
    std::uint64_t                bytes_received = 0; // with datagram_overhead; also of rejected datagrams
    std::array<std::uint64_t, 4> over_budget{};      // by message_priority
    std::array<std::uint64_t, static_cast<std::size_t>(open_error::count)> rejected{}; // by open_error
};

class control_channel {
public:
    // The clock must outlive the channel.
    control_channel(const control_channel_settings& settings, const clock& time);

    // Returns the bytes of a datagram, which must then be sent: they are already charged to the budget.
    result<std::vector<std::byte>, seal_error> seal(message_type type, message_priority priority, byte_view payload,
                                                    member_id recipient = 0);
    // True if the budget currently permits a payload of this size.
    bool                                       has_budget(message_priority priority, std::size_t payload_size) const;

    result<envelope, open_failure> open(byte_view datagram);

    void set_keys(const control_keys& keys);

    member_id                       self() const { return settings_.self; }
    incarnation_number              incarnation() const { return settings_.incarnation; }
    const control_channel_counters& counters() const { return counters_; }

private:
    using mac_key = std::array<unsigned char, 32>;

    // Replay window for one incarnation of a sender. Bit i is set if highest_sequence - i has been received.
    struct incarnation_window {
        incarnation_number         incarnation = 0;
        std::uint32_t              highest_sequence = 0;
        std::bitset<replay_window> received_sequences;

        bool accept(std::uint32_t sequence);
    };
    // Windows of the newest incarnation and of the previous one. The latter distinguishes a second process with the
    // same id from late datagrams of a replaced process.
    struct sender_state {
        incarnation_window newest;
        incarnation_window previous;
        steady_time        newest_incarnation_since{};
    };

    void         derive_keys();
    bool         has_valid_mac(byte_view datagram) const;
    open_failure reject(open_failure failure);
    open_failure superseded_failure(sender_state& state, const envelope& message);
    void         record_sent(std::size_t size, steady_time now);

    control_channel_settings                          settings_;
    const clock&                                      time_;
    mac_key                                           signing_{};
    std::optional<mac_key>                            also_accepted_;
    std::uint32_t                                     next_sequence_ = 1;
    token_bucket                                      budget_;
    std::deque<std::pair<steady_time, std::uint64_t>> sent_sizes_; // datagrams of the last control_window
    std::uint64_t                     bytes_in_window_ = 0;        // sum of sent_sizes_; at most control_window_limit
    std::map<member_id, sender_state> senders_;                    // at most max_senders
    control_channel_counters          counters_;
};

} // namespace tamarack
