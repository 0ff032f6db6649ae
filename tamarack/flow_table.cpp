// Flow table: open addressing over groups of 16 slots, with two groups for each key.
//
// Layout. A key lies in one of its two groups. A byte per slot (the tag) holds 8 bits of the key's hash, so that a
// search reads two lines of tags, which stay in the processor's cache, and then as a rule only the slot itself; the
// same holds for a search without result. Inserting takes the emptier group. At 93% load both are full at times; then a
// placement of one of them moves to its other group. Erasing frees the slot at once: there are no tombstones, and
// searches do not grow longer under churn.
//
// Eviction. Half-open and closing placements are linked in two lists for each service, in the order in which they
// entered the state; the oldest gives way. Lists are doubly linked through the slots' numbers with the list's head as a
// node of its own, so that leaving a list takes constant time. Callers change a placement's state, and for a higher
// generation its backend server, in place; the table files it anew when it next touches, visits or evicts it. An insert
// files at most max_refiled placements anew, which bounds its work.
//
// Memory per slot: 48 bytes of key and placement, 1 of tag, 2 of account and 8 of links. With slots_per_flow that is
// 63.4 bytes for each flow of the cap.
#include "tamarack/flow_table.h"

#include "tamarack/invariant.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <new>
#include <sys/mman.h>
#include <unordered_map>
#ifdef __SSE2__
#include <emmintrin.h>
#endif

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

// Memory from the system: zero, and not touched until it is used.
class page_memory {
public:
    page_memory(std::size_t size, bool huge_pages) : size_(size) {
        void* start = ::mmap(nullptr, size, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
        if (start == MAP_FAILED) throw std::bad_alloc();
        start_ = start;
        if (huge_pages) ::madvise(start, size, MADV_HUGEPAGE); // only a hint: without effect where not supported
    }
    page_memory(const page_memory&) = delete;
    page_memory& operator=(const page_memory&) = delete;
    ~page_memory() { ::munmap(start_, size_); }

    std::size_t size() const { return size_; }
    // Takes the next part, aligned to a cache line.
    template <class Item>
    Item* take(std::size_t count) {
        Item* items = reinterpret_cast<Item*>(static_cast<std::byte*>(start_) + taken_);
        taken_ += bytes_for<Item>(count);
        return items;
    }
    template <class Item>
    static constexpr std::size_t bytes_for(std::size_t count) {
        return (count * sizeof(Item) + cache_line - 1) / cache_line * cache_line;
    }

private:
    void*       start_ = nullptr;
    std::size_t size_ = 0;
    std::size_t taken_ = 0;
};

// The two groups of a key, and its tag.
struct hashed_key {
    std::size_t  first = 0;
    std::size_t  second = 0;
    std::uint8_t tag = 1; // never 0
};

// The keys are hashes already; mixing again keeps the groups even when traffic partitions take a part of the bits.
std::uint64_t mix(const flow_key& key) {
    std::uint64_t value = key.high ^ (key.low * 0x9e3779b97f4a7c15U);
    value ^= value >> 32U;
    return value * 0xd6e8feb86659fd93U;
}

// A tag for each of the group's slots; 0: free.
struct alignas(group_size) tag_group {
    std::array<std::uint8_t, group_size> tags;
};

// Bit i is set if the tag of slot i equals the given one.
std::uint32_t matching(const tag_group& group, std::uint8_t tag) {
#ifdef __SSE2__
    const __m128i tags = _mm_load_si128(reinterpret_cast<const __m128i*>(group.tags.data()));
    const __m128i equal = _mm_cmpeq_epi8(tags, _mm_set1_epi8(static_cast<char>(tag)));
    return static_cast<std::uint32_t>(_mm_movemask_epi8(equal));
#else
    std::uint32_t found = 0;
    for (std::size_t i = 0; i < group_size; ++i)
        found |= (group.tags[i] == tag ? 1U : 0U) << i;
    return found;
#endif
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
          service_share(share_in_flows(wanted.max_service_share, cap)), groups(groups_for(cap)),
          slot_count(groups * group_size), memory(bytes_for(groups), wanted.huge_pages),
          slots(memory.take<slot>(slot_count)), tags(memory.take<tag_group>(groups)),
          filings(memory.take<filing>(slot_count)), links(memory.take<link>(slot_count)) {}

    static std::size_t groups_for(std::size_t cap) {
        return static_cast<std::size_t>(static_cast<double>(cap) * slots_per_flow) / group_size + 1;
    }
    static std::size_t bytes_for(std::size_t groups) {
        const std::size_t count = groups * group_size;
        return page_memory::bytes_for<slot>(count) + page_memory::bytes_for<tag_group>(groups) +
               page_memory::bytes_for<filing>(count) + page_memory::bytes_for<link>(count);
    }
    static std::size_t share_in_flows(double share, std::size_t cap) {
        const double flows = std::clamp(share, 0.0, 1.0) * static_cast<double>(cap);
        return std::max<std::size_t>(static_cast<std::size_t>(flows), 1);
    }

    // Search
    hashed_key  hash(const flow_key& key) const;
    slot_number search(const flow_key& key) const;
    template <class Examine>
    slot_number match(const flow_key& key, Examine examine) const;
    void        prefetch_slot(slot_number number) const;
    slot_number claim_slot(const hashed_key& hashed);
    bool        move_out(std::size_t group);
    void        move_slot(slot_number from, slot_number to);
    bool        used(slot_number number) const { return tag_of(number) != 0; }
    slot_number number_of(const placement& item) const;

    std::uint8_t tag_of(slot_number number) const { return tags[number / group_size].tags[number % group_size]; }
    void set_tag(slot_number number, std::uint8_t tag) { tags[number / group_size].tags[number % group_size] = tag; }
    std::uint32_t free_in(std::size_t group) const { return matching(tags[group], 0); }

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

    flow_table_settings settings;
    std::size_t         cap;
    std::size_t         service_share; // of the cap, in flows; at least 1
    std::size_t         groups;
    std::size_t         slot_count;
    page_memory         memory;  // of the arrays below
    slot*               slots;   // constructed where the tag is not 0
    tag_group*          tags;    // one per group
    filing*             filings; // one per slot, as is
    link*               links;   // valid while the placement is in a list

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
    constexpr std::uint64_t low_half = 0xffffffff;
    const std::uint64_t     value = mix(key);
    // Groups are fewer than 2^28, so that 32 bits are enough for each.
    const std::size_t       first = (value >> 32U) * groups >> 32U;
    std::size_t             second = (value & low_half) * groups >> 32U;
    if (second == first) second = first + 1 == groups ? 0 : first + 1;
    const auto tag = static_cast<std::uint8_t>(value);
    return {first, second, tag == 0 ? std::uint8_t{1} : tag};
}

// Calls examine for the slots whose tag equals the key's, until it returns true.
template <class Examine>
slot_number flow_table::impl::match(const flow_key& key, Examine examine) const {
    const hashed_key    hashed = hash(key);
    // Both groups are searched at once, since a branch on the group would be hard to predict.
    const std::uint32_t in_first = matching(tags[hashed.first], hashed.tag);
    const std::uint32_t in_second = matching(tags[hashed.second], hashed.tag);
    for (std::uint32_t found = in_first | in_second << group_size; found != 0; found &= found - 1) {
        const auto bit = static_cast<std::size_t>(std::countr_zero(found));
        const auto group = bit < group_size ? hashed.first : hashed.second;
        const auto number = static_cast<slot_number>(group * group_size + bit % group_size);
        if (examine(number)) [[likely]]
            return number;
    }
    return no_slot;
}

slot_number flow_table::impl::search(const flow_key& key) const {
    return match(key, [&](slot_number number) {
        prefetch_slot(number);
        return slots[number].key == key;
    });
}

// A slot may lie on two lines.
void flow_table::impl::prefetch_slot(slot_number number) const {
    __builtin_prefetch(&slots[number]);
    __builtin_prefetch(reinterpret_cast<const char*>(&slots[number + 1]) - 1);
    __builtin_prefetch(&filings[number]);
}

// Takes a free slot of the emptier group. Where both are full, one of their placements moves to its other group; with
// 32 placements to choose from, and 7% of the slots free, one practically always can.
slot_number flow_table::impl::claim_slot(const hashed_key& hashed) {
    const int   free_first = std::popcount(free_in(hashed.first));
    const int   free_second = std::popcount(free_in(hashed.second));
    std::size_t group = free_first >= free_second ? hashed.first : hashed.second;
    if (free_first == 0 && free_second == 0 && !move_out(group)) {
        group = hashed.second;
        if (!move_out(group)) return no_slot;
    }
    const auto place = static_cast<std::size_t>(std::countr_zero(free_in(group)));
    const auto number = static_cast<slot_number>(group * group_size + place);
    set_tag(number, hashed.tag);
    return number;
}

// Frees a slot of a full group. False if the other groups of all its placements are full too.
bool flow_table::impl::move_out(std::size_t group) {
    for (std::size_t place = 0; place < group_size; ++place) {
        const auto          from = static_cast<slot_number>(group * group_size + place);
        const hashed_key    hashed = hash(slots[from].key);
        const std::size_t   other = hashed.first == group ? hashed.second : hashed.first;
        const std::uint32_t free = free_in(other);
        if (free == 0) continue;
        move_slot(from,
                  static_cast<slot_number>(other * group_size + static_cast<std::size_t>(std::countr_zero(free))));
        return true;
    }
    return false;
}

void flow_table::impl::move_slot(slot_number from, slot_number to) {
    std::construct_at(&slots[to], slots[from]);
    set_tag(to, tag_of(from));
    set_tag(from, 0);
    filings[to] = filings[from];
    if (filings[from].list() == list_kind::none) return;
    links[to] = links[from];
    node(links[to].previous).next = to;
    node(links[to].next).previous = to;
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
    if (number < slot_count) return links[number];
    const std::size_t past = number - slot_count;
    return services[past / lists_per_service].heads[past % lists_per_service];
}

slot_number flow_table::impl::head(std::size_t service_index, list_kind list) const {
    return static_cast<slot_number>(slot_count + service_index * lists_per_service + static_cast<std::size_t>(list));
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
    set_tag(number, 0);
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
    const std::size_t steps = max_slots >= cap ? slot_count : max_slots;
    if (position >= slot_count) position = 0;
    for (std::size_t i = 0; i < steps; ++i) {
        const auto number = static_cast<slot_number>(position);
        position = position + 1 == slot_count ? 0 : position + 1;
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

void flow_table::prefetch(const flow_key& key) const {
    impl_->match(key, [this](slot_number number) {
        impl_->prefetch_slot(number);
        return true; // a second slot with the same tag is rare
    });
}

placement* flow_table::insert(const flow_key& key, const placement& value, steady_time now) {
    if (placement* present = find(key)) return present;
    if (!impl_->make_room(value.service)) return nullptr;

    const slot_number number = impl_->claim_slot(impl_->hash(key));
    if (number == impl::no_slot) return nullptr;
    const auto account = impl_->open_account(value.service, value.backend_server);
    if (!account) {
        impl_->set_tag(number, 0);
        return nullptr;
    }
    slot* item = std::construct_at(&impl_->slots[number], slot{key, value});
    item->value.last_seen = ticks_of(now);
    impl_->count_in(*account);
    impl_->filings[number] = filing(*account, list_for(value.state));
    impl_->enter_list(number, impl_->accounts[*account].service_index, list_for(value.state));
    ++impl_->size;
    check(invariant::table_cap, impl_->size <= impl_->cap, "flow table holds more flows than its cap");
    return &item->value;
}

void flow_table::set_limits(const flow_table_settings& settings) {
    const std::size_t max_flows = impl_->settings.max_flows;
    const bool        huge_pages = impl_->settings.huge_pages;
    impl_->settings = settings;
    impl_->settings.max_flows = max_flows;
    impl_->settings.huge_pages = huge_pages;
    impl_->service_share = impl::share_in_flows(settings.max_service_share, impl_->cap);
    impl_->over_share.clear();
    for (const auto& [id, index] : impl_->service_indexes) {
        if (impl_->services[index].flows > impl_->service_share) impl_->over_share.push_back(index);
    }
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
    return impl_->slot_count;
}

// The records of services and backend servers are not counted: they are few.
std::size_t flow_table::memory_bytes() const {
    return impl_->memory.size();
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
