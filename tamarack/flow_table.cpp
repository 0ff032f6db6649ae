// Flow table: open addressing over groups of 16 slots.
//
// Layout. A key has a home group. Its slot is the first free one in the home group or the groups after it. A byte per
// slot (the tag) holds 8 bits of the key's hash, so that a search reads one line of tags, which stays in the
// processor's cache, and then the slot itself. Each group counts the placements that passed over it because it was
// full; a search ends at the first group without such placements. Erasing lowers these counts, so there are no
// tombstones, and placements never move.
//
// Eviction. Half-open and closing placements are linked in two lists for each service, in the order in which they
// entered the state; the oldest gives way. Lists are doubly linked through the slots' numbers with the list's head as a
// node of its own, so that leaving a list takes constant time. Callers change a placement's state, and for a higher
// generation its backend server, in place; the table files it anew when it next touches, visits or evicts it. An insert
// files at most max_refiled placements anew, which bounds its work.
//
// Memory per slot: 48 bytes of key and placement, 1 of tag, 2 of account, 8 of links, and 4 per group. With
// slots_per_flow that is 63.4 bytes for each flow of the cap.
#include "tamarack/flow_table.h"

#include "tamarack/invariant.h"

#include <algorithm>
#include <bit>
#include <cstdlib>
#include <cstring>
#include <limits>
#include <new>
#include <unordered_map>

namespace tamarack {

namespace {

using slot_number = std::uint32_t;

struct slot {
    flow_key  key;
    placement value;
};
static_assert(sizeof(slot) == 48);

constexpr std::size_t group_size = 16;
constexpr double      slots_per_flow = 1.07;              // load of 93% at the cap
constexpr std::size_t largest_cap = std::size_t{1} << 31; // slots and list heads are numbered with 32 bits
constexpr std::size_t cache_line = 64;

constexpr double      nearly_full = 0.9; // of the cap; from here on the services' shares apply
constexpr std::size_t max_refiled = 64;  // per insert

// Kinds of eviction list. Established placements are in none.
enum class list_kind : std::uint8_t { half_open, closing, none };
constexpr std::size_t lists_per_service = 2;

list_kind list_for(flow_state state) {
    if (state == flow_state::half_open) return list_kind::half_open;
    return state == flow_state::closing ? list_kind::closing : list_kind::none;
}

// Memory from the system that is not touched until it is used. Elements are zero or have to be constructed.
template <class Item>
class lazy_array {
public:
    explicit lazy_array(std::size_t count) : count_(count) {
        // Large blocks of calloc are fresh pages of the system, which are zero without being written.
        memory_.reset(std::calloc(count * sizeof(Item) + cache_line, 1));
        if (!memory_) throw std::bad_alloc();
        void*       start = memory_.get();
        std::size_t room = count * sizeof(Item) + cache_line;
        items_ = static_cast<Item*>(std::align(cache_line, count * sizeof(Item), start, room));
    }
    Item&       operator[](std::size_t i) { return items_[i]; }
    const Item& operator[](std::size_t i) const { return items_[i]; }
    Item*       data() { return items_; }
    std::size_t size() const { return count_; }
    std::size_t bytes() const { return count_ * sizeof(Item) + cache_line; }

private:
    struct release {
        void operator()(void* memory) const { std::free(memory); }
    };
    std::unique_ptr<void, release> memory_;
    Item*                          items_ = nullptr;
    std::size_t                    count_ = 0;
};

struct hashed_key {
    std::size_t  home = 0; // group
    std::uint8_t tag = 1;  // never 0
};

// The keys are hashes already; mixing again keeps the groups even when traffic partitions take a part of the bits.
std::uint64_t mix(const flow_key& key) {
    std::uint64_t value = key.high ^ (key.low * 0x9e3779b97f4a7c15U);
    value ^= value >> 32;
    return value * 0xd6e8feb86659fd93U;
}

// A tag for each of the group's slots; 0: free.
using tag_group = std::array<std::uint8_t, group_size>;

// Set of slots in a group: bit 8 * i + 7 of a word for slot i.
struct slot_set {
    std::array<std::uint64_t, 2> words{};

    bool        empty() const { return (words[0] | words[1]) == 0; }
    std::size_t first() const {
        const std::size_t word = words[0] != 0 ? 0 : 1;
        return word * 8 + static_cast<std::size_t>(std::countr_zero(words[word])) / 8;
    }
    void drop_first() {
        std::uint64_t& word = words[0] != 0 ? words[0] : words[1];
        word &= word - 1;
    }
};

// Slots whose tag equals the given one.
slot_set matching(const tag_group& tags, std::uint8_t tag) {
    constexpr std::uint64_t low_bits = 0x7f7f7f7f7f7f7f7fU;
    slot_set                found;
    for (std::size_t i = 0; i < found.words.size(); ++i) {
        std::uint64_t word = 0;
        std::memcpy(&word, tags.data() + 8 * i, sizeof word);
        if constexpr (std::endian::native == std::endian::big) word = __builtin_bswap64(word);
        word ^= 0x0101010101010101U * tag;
        found.words[i] = ~(((word & low_bits) + low_bits) | word | low_bits); // the bytes that are zero
    }
    return found;
}

struct link {
    slot_number previous = 0;
    slot_number next = 0;
};

// What the table has filed a placement under: account number * 4 + list kind.
class filing {
public:
    filing() = default;
    filing(std::size_t account, list_kind list)
        : value_(static_cast<std::uint16_t>(account << 2U | static_cast<std::size_t>(list))) {}
    std::size_t account() const { return value_ >> 2U; }
    list_kind   list() const { return static_cast<list_kind>(value_ & 3U); }

private:
    std::uint16_t value_ = 0;
};

// Pairs of service and backend server with placements at one time; far more than the 13,000 targets expected.
constexpr std::size_t max_accounts = std::size_t{1} << 14;

struct account {
    service_id        service = 0;
    backend_server_id backend_server = 0;
    std::size_t       flows = 0;
    std::size_t       service_index = 0;
};

struct service_flows {
    service_id                          id = 0;
    std::size_t                         flows = 0;
    std::array<link, lists_per_service> heads; // next: oldest, previous: newest
};

} // namespace

struct flow_table::impl {
    explicit impl(const flow_table_settings& wanted)
        : settings(wanted), cap(std::clamp<std::size_t>(wanted.max_flows, 1, largest_cap)),
          service_share(
              static_cast<std::size_t>(std::clamp(wanted.max_service_share, 0.0, 1.0) * static_cast<double>(cap))),
          groups(static_cast<std::size_t>(static_cast<double>(cap) * slots_per_flow) / group_size + 1),
          slots(groups * group_size), tags(groups), passed(groups), filings(groups * group_size),
          links(groups * group_size) {
        service_share = std::max<std::size_t>(service_share, 1);
    }

    // Search
    hashed_key  hash(const flow_key& key) const;
    slot_number search(const flow_key& key) const;
    slot_number claim_slot(const hashed_key& hashed);
    void        release_slot(slot_number number);
    std::size_t next_group(std::size_t group) const { return group + 1 == groups ? 0 : group + 1; }
    bool        used(slot_number number) const { return tags[number / group_size][number % group_size] != 0; }
    slot_number number_of(const placement& item) const;

    // Accounts
    std::optional<std::size_t> open_account(service_id service, backend_server_id backend_server);
    void                       close_account(std::size_t number);
    std::size_t                open_service(service_id service);
    void                       close_service(std::size_t index);
    void                       count_in(std::size_t account_number);
    void                       count_out(std::size_t account_number);

    // Lists
    link&       node(slot_number number);
    slot_number head(std::size_t service_index, list_kind list) const;
    void        enter_list(slot_number number, std::size_t service_index, list_kind list);
    void        leave_list(slot_number number);
    void        file_anew(slot_number number);
    bool        filed_rightly(slot_number number) const;

    // Eviction
    bool make_room(service_id service);
    bool evict_from(std::size_t service_index, std::size_t& refiled);
    bool evict_oldest(std::size_t service_index, list_kind list, std::size_t& refiled);
    void remove(slot_number number);

    template <class Visit>
    void walk(std::size_t& position, std::size_t max_slots, Visit visit);

    static constexpr slot_number no_slot = std::numeric_limits<slot_number>::max();

    flow_table_settings     settings;
    std::size_t             cap;
    std::size_t             service_share; // of the cap, in flows; at least 1
    std::size_t             groups;
    lazy_array<slot>        slots;
    lazy_array<tag_group>   tags;
    lazy_array<slot_number> passed; // per group: placements in later groups whose home is this group or an earlier one
    lazy_array<filing>      filings;
    lazy_array<link>        links;

    std::size_t   size = 0; // never above cap
    std::uint64_t evictions = 0;
    std::size_t   expire_position = 0;

    std::vector<account>                               accounts;
    std::vector<std::size_t>                           free_accounts;
    std::unordered_map<std::uint64_t, std::size_t>     account_numbers; // by service and backend server
    std::vector<service_flows>                         services;
    std::vector<std::size_t>                           free_services;
    std::unordered_map<service_id, std::size_t>        service_indexes;
    std::unordered_map<backend_server_id, std::size_t> backend_server_flows;
    std::vector<std::size_t>                           over_share; // indexes of services with more than service_share
};

//----------------------------------------------------------------------------------------------------------------------
// Search
//----------------------------------------------------------------------------------------------------------------------

hashed_key flow_table::impl::hash(const flow_key& key) const {
    const std::uint64_t value = mix(key);
    // The high bits select the group, the low ones the tag. Groups are fewer than 2^28, so 32 bits are enough.
    const auto          tag = static_cast<std::uint8_t>(value);
    return {static_cast<std::size_t>((value >> 32U) * groups >> 32U), tag == 0 ? std::uint8_t{1} : tag};
}

slot_number flow_table::impl::search(const flow_key& key) const {
    const hashed_key hashed = hash(key);
    std::size_t      group = hashed.home;
    for (std::size_t i = 0; i < groups; ++i, group = next_group(group)) {
        for (slot_set found = matching(tags[group], hashed.tag); !found.empty(); found.drop_first()) {
            const auto  number = static_cast<slot_number>(group * group_size + found.first());
            const slot& candidate = slots[number];
            __builtin_prefetch(reinterpret_cast<const char*>(&candidate) + sizeof(slot) - 1); // may be the next line
            if (candidate.key == key) [[likely]]
                return number;
        }
        if (passed[group] == 0) break;
    }
    return no_slot;
}

// Takes the first free slot at or after the home group. There is one, since the cap is below the number of slots.
slot_number flow_table::impl::claim_slot(const hashed_key& hashed) {
    std::size_t group = hashed.home;
    for (;; group = next_group(group)) {
        const slot_set free = matching(tags[group], 0);
        if (!free.empty()) {
            const std::size_t place = free.first();
            tags[group][place] = hashed.tag;
            return static_cast<slot_number>(group * group_size + place);
        }
        ++passed[group];
    }
}

void flow_table::impl::release_slot(slot_number number) {
    const std::size_t last = number / group_size;
    for (std::size_t group = hash(slots[number].key).home; group != last; group = next_group(group))
        --passed[group];
    tags[last][number % group_size] = 0;
}

slot_number flow_table::impl::number_of(const placement& item) const {
    const auto offset = reinterpret_cast<const char*>(&item) - reinterpret_cast<const char*>(&slots[0]);
    return static_cast<slot_number>(static_cast<std::size_t>(offset) / sizeof(slot));
}

//----------------------------------------------------------------------------------------------------------------------
// Accounts: counts for each service and backend server
//----------------------------------------------------------------------------------------------------------------------

namespace {

std::uint64_t account_name(service_id service, backend_server_id backend_server) {
    return std::uint64_t{service} << 32U | backend_server;
}

// Number of an unused element, which is appended if there is none.
template <class Item>
std::size_t take_element(std::vector<Item>& items, std::vector<std::size_t>& unused) {
    if (unused.empty()) {
        items.emplace_back();
        return items.size() - 1;
    }
    const std::size_t number = unused.back();
    unused.pop_back();
    return number;
}

} // namespace

// Nothing when all account numbers are taken.
std::optional<std::size_t> flow_table::impl::open_account(service_id service, backend_server_id backend_server) {
    const auto known = account_numbers.find(account_name(service, backend_server));
    if (known != account_numbers.end()) return known->second;
    if (free_accounts.empty() && accounts.size() == max_accounts) return std::nullopt;
    const std::size_t number = take_element(accounts, free_accounts);
    accounts[number] = {service, backend_server, 0, open_service(service)};
    account_numbers.emplace(account_name(service, backend_server), number);
    return number;
}

void flow_table::impl::close_account(std::size_t number) {
    account_numbers.erase(account_name(accounts[number].service, accounts[number].backend_server));
    free_accounts.push_back(number);
}

std::size_t flow_table::impl::open_service(service_id service) {
    const auto known = service_indexes.find(service);
    if (known != service_indexes.end()) return known->second;
    const std::size_t index = take_element(services, free_services);
    services[index] = {service, 0, {}};
    for (const list_kind list : {list_kind::half_open, list_kind::closing}) {
        const slot_number number = head(index, list);
        node(number) = {number, number};
    }
    service_indexes.emplace(service, index);
    return index;
}

void flow_table::impl::close_service(std::size_t index) {
    service_indexes.erase(services[index].id);
    free_services.push_back(index);
}

void flow_table::impl::count_in(std::size_t account_number) {
    account&       entry = accounts[account_number];
    service_flows& owner = services[entry.service_index];
    ++entry.flows;
    ++backend_server_flows[entry.backend_server];
    if (++owner.flows == service_share + 1) over_share.push_back(entry.service_index);
}

void flow_table::impl::count_out(std::size_t account_number) {
    account&       entry = accounts[account_number];
    service_flows& owner = services[entry.service_index];
    const auto     flows = backend_server_flows.find(entry.backend_server);
    if (--flows->second == 0) backend_server_flows.erase(flows);
    if (owner.flows-- == service_share + 1) std::erase(over_share, entry.service_index);
    if (owner.flows == 0) close_service(entry.service_index);
    if (--entry.flows == 0) close_account(account_number);
}

//----------------------------------------------------------------------------------------------------------------------
// Lists
//----------------------------------------------------------------------------------------------------------------------

// Numbers past the slots stand for the heads of the services' lists.
link& flow_table::impl::node(slot_number number) {
    if (number < links.size()) return links[number];
    const std::size_t past = number - links.size();
    return services[past / lists_per_service].heads[past % lists_per_service];
}

slot_number flow_table::impl::head(std::size_t service_index, list_kind list) const {
    return static_cast<slot_number>(links.size() + service_index * lists_per_service + static_cast<std::size_t>(list));
}

void flow_table::impl::enter_list(slot_number number, std::size_t service_index, list_kind list) {
    if (list == list_kind::none) return;
    const slot_number end = head(service_index, list);
    const slot_number newest = node(end).previous;
    links[number] = {newest, end};
    node(newest).next = number;
    node(end).previous = number;
}

void flow_table::impl::leave_list(slot_number number) {
    if (filings[number].list() == list_kind::none) return;
    const link here = links[number];
    node(here.previous).next = here.next;
    node(here.next).previous = here.previous;
}

bool flow_table::impl::filed_rightly(slot_number number) const {
    const placement& item = slots[number].value;
    const filing     filed = filings[number];
    const account&   entry = accounts[filed.account()];
    return filed.list() == list_for(item.state) && entry.backend_server == item.backend_server &&
           entry.service == item.service;
}

// Moves a placement to the list and account that its present state asks for.
void flow_table::impl::file_anew(slot_number number) {
    const placement&  item = slots[number].value;
    const std::size_t old = filings[number].account();
    // Without a free account number the placement stays counted under its old one.
    const std::size_t fresh = open_account(item.service, item.backend_server).value_or(old);
    leave_list(number);
    if (fresh != old) {
        count_in(fresh);
        count_out(old);
    }
    filings[number] = filing(fresh, list_for(item.state));
    enter_list(number, accounts[fresh].service_index, list_for(item.state));
}

//----------------------------------------------------------------------------------------------------------------------
// Eviction
//----------------------------------------------------------------------------------------------------------------------

void flow_table::impl::remove(slot_number number) {
    leave_list(number);
    count_out(filings[number].account());
    release_slot(number);
    --size;
}

// Evicts the oldest placement that is still in the state of its list.
bool flow_table::impl::evict_oldest(std::size_t service_index, list_kind list, std::size_t& refiled) {
    const slot_number end = head(service_index, list);
    while (node(end).next != end) {
        const slot_number oldest = node(end).next;
        if (filed_rightly(oldest)) {
            remove(oldest);
            ++evictions;
            return true;
        }
        if (++refiled > max_refiled) return false;
        file_anew(oldest);
    }
    return false;
}

bool flow_table::impl::evict_from(std::size_t service_index, std::size_t& refiled) {
    return evict_oldest(service_index, list_kind::half_open, refiled) ||
           evict_oldest(service_index, list_kind::closing, refiled);
}

// Makes room for a flow of the service. False if it must be turned away.
bool flow_table::impl::make_room(service_id service) {
    const auto        known = service_indexes.find(service);
    const std::size_t held = known == service_indexes.end() ? 0 : services[known->second].flows;
    const bool        shares_apply = static_cast<double>(size) >= nearly_full * static_cast<double>(cap);
    if (size < cap && !(shares_apply && held >= service_share)) return true;

    std::size_t refiled = 0;
    if (held > 0 && evict_from(known->second, refiled)) return true;
    // At most 1 / max_service_share services exceed their share; the largest gives way first.
    std::vector<std::size_t> others = over_share;
    std::sort(others.begin(), others.end(), [this](std::size_t left, std::size_t right) {
        return services[left].flows != services[right].flows ? services[left].flows > services[right].flows
                                                             : services[left].id < services[right].id;
    });
    return std::any_of(others.begin(), others.end(),
                       [&](std::size_t index) { return services[index].id != service && evict_from(index, refiled); });
}

//----------------------------------------------------------------------------------------------------------------------
// Walks
//----------------------------------------------------------------------------------------------------------------------

// Calls visit for the used slots among the next max_slots ones. The whole table counts as capacity() slots.
template <class Visit>
void flow_table::impl::walk(std::size_t& position, std::size_t max_slots, Visit visit) {
    const std::size_t total = slots.size();
    const std::size_t steps = max_slots >= cap ? total : max_slots;
    if (position >= total) position = 0;
    for (std::size_t i = 0; i < steps; ++i) {
        const auto number = static_cast<slot_number>(position);
        position = position + 1 == total ? 0 : position + 1;
        if (used(number)) visit(number);
    }
}

//----------------------------------------------------------------------------------------------------------------------
// Public interface
//----------------------------------------------------------------------------------------------------------------------

namespace {} // namespace

std::uint32_t flow_table::ticks_of(steady_time now) {
    return static_cast<std::uint32_t>(now.time_since_epoch() / tick_length);
}

flow_table::flow_table(const flow_table_settings& settings) : impl_(std::make_unique<impl>(settings)) {}
flow_table::~flow_table() = default;
flow_table::flow_table(flow_table&&) noexcept = default;
flow_table& flow_table::operator=(flow_table&&) noexcept = default;

placement* flow_table::find(const flow_key& key) {
    const slot_number number = impl_->search(key);
    return number == impl::no_slot ? nullptr : &impl_->slots[number].value;
}

placement* flow_table::insert(const flow_key& key, const placement& value, steady_time now) {
    if (placement* present = find(key)) return present;
    if (!impl_->make_room(value.service)) return nullptr;
    const auto account = impl_->open_account(value.service, value.backend_server);
    if (!account) return nullptr;

    const slot_number number = impl_->claim_slot(impl_->hash(key));
    slot*             item = std::construct_at(&impl_->slots[number], slot{key, value});
    item->value.last_seen = ticks_of(now);
    impl_->count_in(*account);
    impl_->filings[number] = filing(*account, list_for(value.state));
    impl_->enter_list(number, impl_->accounts[*account].service_index, list_for(value.state));
    ++impl_->size;
    check(invariant::table_cap, impl_->size <= impl_->cap, "flow table holds more flows than its cap");
    return &item->value;
}

void flow_table::erase(const flow_key& key) {
    const slot_number number = impl_->search(key);
    if (number != impl::no_slot) impl_->remove(number);
}

void flow_table::touch(placement& item, steady_time now) {
    item.last_seen = ticks_of(now);
    const slot_number number = impl_->number_of(item);
    if (!impl_->filed_rightly(number)) impl_->file_anew(number);
}

bool flow_table::expired(const placement& item, transport protocol, steady_time now) const {
    const flow_table_settings& limits = impl_->settings;
    duration                   timeout = protocol == transport::udp ? limits.udp_idle_timeout : limits.idle_timeout;
    if (protocol == transport::tcp && item.state == flow_state::half_open) timeout = limits.half_open_timeout;
    if (protocol == transport::tcp && item.state == flow_state::closing) timeout = limits.closing_timeout;
    return idle_time(item, now) >= timeout;
}

duration flow_table::idle_time(const placement& item, steady_time now) const {
    // The difference is signed, so that a placement touched after the given time is not taken for a very old one.
    return static_cast<std::int32_t>(ticks_of(now) - item.last_seen) * tick_length;
}

std::size_t flow_table::expire(steady_time now, std::size_t                                   max_slots,
                               transport (*protocol_of)(service_id, const void*), const void* context) {
    std::size_t erased = 0;
    impl_->walk(impl_->expire_position, max_slots, [&](slot_number number) {
        const placement& item = impl_->slots[number].value;
        if (expired(item, protocol_of(item.service, context), now)) {
            impl_->remove(number);
            ++erased;
        } else if (!impl_->filed_rightly(number)) {
            impl_->file_anew(number);
        }
    });
    return erased;
}

void flow_table::scan(std::size_t& position, std::size_t max_slots, visitor& target) {
    impl_->walk(position, max_slots, [&](slot_number number) {
        target.visit(impl_->slots[number].key, impl_->slots[number].value);
        if (impl_->used(number) && !impl_->filed_rightly(number)) impl_->file_anew(number);
    });
}

std::size_t flow_table::size() const {
    return impl_->size;
}

std::size_t flow_table::capacity() const {
    return impl_->cap;
}

std::size_t flow_table::slot_count() const {
    return impl_->slots.size();
}

// The records of services and backend servers are not counted: they are few.
std::size_t flow_table::memory_bytes() const {
    return impl_->slots.bytes() + impl_->tags.bytes() + impl_->passed.bytes() + impl_->filings.bytes() +
           impl_->links.bytes();
}

std::size_t flow_table::count(backend_server_id id) const {
    const auto found = impl_->backend_server_flows.find(id);
    return found == impl_->backend_server_flows.end() ? 0 : found->second;
}

std::size_t flow_table::service_count(service_id id) const {
    const auto found = impl_->service_indexes.find(id);
    return found == impl_->service_indexes.end() ? 0 : impl_->services[found->second].flows;
}

std::uint64_t flow_table::evictions() const {
    return impl_->evictions;
}

} // namespace tamarack
