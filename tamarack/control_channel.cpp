// Envelope, replay windows and budget of control datagrams.
#include "tamarack/control_channel.h"

#include "tamarack/invariant.h"

#include <boost/endian/buffers.hpp>
#include <cstring>
#include <glog/logging.h>
#include <limits>
#include <sodium.h>

namespace tamarack {

namespace {

constexpr std::uint8_t envelope_version = 1;

struct wire_header {
    std::uint8_t                    version;
    std::uint8_t                    type;
    boost::endian::big_uint32_buf_t sender;
    boost::endian::big_uint64_buf_t incarnation;
    boost::endian::big_uint32_buf_t sequence;
    boost::endian::big_uint32_buf_t recipient;
};
static_assert(sizeof(wire_header) == envelope_header_size && alignof(wire_header) == 1);

const unsigned char* as_unsigned_chars(byte_view bytes) {
    return reinterpret_cast<const unsigned char*>(bytes.data());
}

using mac = std::array<unsigned char, control_mac_size>;

mac compute_mac(byte_view bytes, const std::array<unsigned char, 32>& key) {
    mac value{};
    crypto_generichash(value.data(), value.size(), as_unsigned_chars(bytes), bytes.size(), key.data(), key.size());
    return value;
}

// Derives a key that is used only for this purpose and cluster, so that the operator's key can serve other purposes
// too.
std::array<unsigned char, 32> derive_key(const control_key& key, std::string_view cluster) {
    const std::string             purpose = "tamarack control " + std::string(cluster);
    std::array<unsigned char, 32> value{};
    crypto_generichash(value.data(), value.size(), reinterpret_cast<const unsigned char*>(purpose.data()),
                       purpose.size(), as_unsigned_chars(key), key.size());
    return value;
}

} // namespace

std::string_view to_string(seal_error error) {
    switch (error) {
    case seal_error::over_budget:
        return "over_budget";
    case seal_error::too_long:
        return "too_long";
    case seal_error::sequence_exhausted:
        return "sequence_exhausted";
    }
    return "unknown";
}

std::string_view to_string(open_error error) {
    switch (error) {
    case open_error::truncated:
        return "truncated";
    case open_error::too_long:
        return "too_long";
    case open_error::bad_version:
        return "bad_version";
    case open_error::bad_mac:
        return "bad_mac";
    case open_error::bad_field:
        return "bad_field";
    case open_error::wrong_recipient:
        return "wrong_recipient";
    case open_error::own_id:
        return "own_id";
    case open_error::superseded:
        return "superseded";
    case open_error::replayed:
        return "replayed";
    case open_error::too_many_senders:
        return "too_many_senders";
    case open_error::count:
        break;
    }
    return "unknown";
}

control_channel::control_channel(const control_channel_settings& settings, const clock& time)
    : settings_(settings), time_(time), budget_(control_rate, control_burst, time.steady_now()) {
    CHECK(sodium_init() >= 0) << "libsodium cannot be initialised";
    derive_keys();
}

void control_channel::set_keys(const control_keys& keys) {
    settings_.keys = keys;
    derive_keys();
}

void control_channel::derive_keys() {
    signing_ = derive_key(settings_.keys.signing, settings_.cluster);
    also_accepted_.reset();
    if (settings_.keys.also_accepted) also_accepted_ = derive_key(*settings_.keys.also_accepted, settings_.cluster);
}

//----------------------------------------------------------------------------------------------------------------------
// Sending
//----------------------------------------------------------------------------------------------------------------------

bool control_channel::has_budget(message_priority priority, std::size_t payload_size) const {
    const auto size = envelope_header_size + payload_size + control_mac_size + datagram_overhead;
    const auto reserve = control_reserves.at(static_cast<std::size_t>(priority));
    return budget_.available(time_.steady_now()) - static_cast<double>(size) >= reserve;
}

result<std::vector<std::byte>, seal_error> control_channel::seal(message_type type, message_priority priority,
                                                                 byte_view payload, member_id recipient) {
    if (payload.size() > max_control_payload) return seal_error::too_long;
    if (next_sequence_ == std::numeric_limits<std::uint32_t>::max()) return seal_error::sequence_exhausted;
    const steady_time now = time_.steady_now();
    const std::size_t size = envelope_header_size + payload.size() + control_mac_size;
    const auto        priority_index = static_cast<std::size_t>(priority);
    if (!budget_.take(static_cast<double>(size + datagram_overhead), now, control_reserves.at(priority_index))) {
        ++counters_.over_budget.at(priority_index);
        return seal_error::over_budget;
    }
    record_sent(size + datagram_overhead, now);

    wire_header header{envelope_version, static_cast<std::uint8_t>(type), {}, {}, {}, {}};
    header.sender = settings_.self;
    header.incarnation = settings_.incarnation;
    header.sequence = next_sequence_++;
    header.recipient = recipient;
    std::vector<std::byte> bytes(size);
    std::memcpy(bytes.data(), &header, sizeof header);
    std::copy(payload.begin(), payload.end(), bytes.begin() + envelope_header_size);
    const std::size_t signed_size = size - control_mac_size;
    const mac         value = compute_mac(byte_view(bytes).first(signed_size), signing_);
    std::memcpy(bytes.data() + signed_size, value.data(), value.size());
    return bytes;
}

void control_channel::record_sent(std::size_t size, steady_time now) {
    ++counters_.datagrams_sent;
    counters_.bytes_sent += size;
    sent_sizes_.emplace_back(now, size);
    bytes_in_window_ += size;
    while (sent_sizes_.front().first + control_window <= now) {
        bytes_in_window_ -= sent_sizes_.front().second;
        sent_sizes_.pop_front();
    }
    check(invariant::control_budget, bytes_in_window_ <= control_window_limit, "control bytes sent in 10 s");
}

//----------------------------------------------------------------------------------------------------------------------
// Receiving
//----------------------------------------------------------------------------------------------------------------------

bool control_channel::incarnation_window::accept(std::uint32_t sequence) {
    if (sequence > highest_sequence) {
        const std::uint32_t distance = sequence - highest_sequence;
        received_sequences = distance < replay_window ? received_sequences << distance : std::bitset<replay_window>();
        received_sequences.set(0);
        highest_sequence = sequence;
        return true;
    }
    const std::uint32_t age = highest_sequence - sequence;
    if (age >= replay_window || received_sequences.test(age)) return false;
    received_sequences.set(age);
    return true;
}

bool control_channel::has_valid_mac(byte_view datagram) const {
    const byte_view signed_part = datagram.first(datagram.size() - control_mac_size);
    const auto*     received_mac = as_unsigned_chars(datagram.last(control_mac_size));
    if (sodium_memcmp(compute_mac(signed_part, signing_).data(), received_mac, control_mac_size) == 0) return true;
    if (!also_accepted_) return false;
    return sodium_memcmp(compute_mac(signed_part, *also_accepted_).data(), received_mac, control_mac_size) == 0;
}

open_failure control_channel::reject(open_failure failure) {
    ++counters_.rejected.at(static_cast<std::size_t>(failure.error));
    return failure;
}

open_failure control_channel::superseded_failure(sender_state& state, const envelope& message) {
    open_failure failure{open_error::superseded,   message.sender, message.incarnation,
                         state.newest.incarnation, false,          {}};
    if (message.incarnation > state.previous.incarnation) state.previous = {message.incarnation, 0, {}};
    failure.is_fresh = message.incarnation == state.previous.incarnation && state.previous.accept(message.sequence);
    failure.newest_incarnation_age = time_.steady_now() - state.newest_incarnation_since;
    return failure;
}

result<envelope, open_failure> control_channel::open(byte_view datagram) {
    ++counters_.datagrams_received;
    counters_.bytes_received += datagram.size() + datagram_overhead;
    if (datagram.size() < envelope_header_size + control_mac_size) return reject({open_error::truncated});
    if (datagram.size() > max_control_datagram) return reject({open_error::too_long});
    wire_header header{};
    std::memcpy(&header, datagram.data(), sizeof header);
    if (header.version != envelope_version) return reject({open_error::bad_version});
    if (!has_valid_mac(datagram)) return reject({open_error::bad_mac});

    const byte_view payload =
        datagram.subspan(envelope_header_size, datagram.size() - envelope_header_size - control_mac_size);
    const envelope message{static_cast<message_type>(header.type),
                           header.sender.value(),
                           header.incarnation.value(),
                           header.sequence.value(),
                           header.recipient.value(),
                           payload};
    open_failure   failure{open_error::bad_field, message.sender, message.incarnation};
    if (header.type == 0 || message.sender == 0 || message.incarnation == 0 || message.sequence == 0)
        return reject(failure);
    failure.error = open_error::wrong_recipient;
    if (message.recipient != 0 && message.recipient != settings_.self) return reject(failure);
    failure.error = open_error::own_id;
    if (message.sender == settings_.self) return reject(failure);

    auto found = senders_.find(message.sender);
    if (found == senders_.end()) {
        failure.error = open_error::too_many_senders;
        if (senders_.size() >= max_senders) return reject(failure);
        found = senders_.emplace(message.sender, sender_state{}).first;
    }
    sender_state& state = found->second;
    if (message.incarnation < state.newest.incarnation) return reject(superseded_failure(state, message));
    if (message.incarnation > state.newest.incarnation) {
        state.previous = state.newest;
        state.newest = {message.incarnation, 0, {}};
        state.newest_incarnation_since = time_.steady_now();
    }
    failure.error = open_error::replayed;
    if (!state.newest.accept(message.sequence)) return reject(failure);
    return message;
}

} // namespace tamarack
