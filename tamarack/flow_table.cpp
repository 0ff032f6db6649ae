// Flow table: open addressing with groups of 16 slots and two candidate groups per key.
//
// Layout. A key is stored in one of its two groups. Each slot has a tag byte with 8 bits of the key's hash. A search
// reads two cache lines of tags, which usually stay in the processor's cache, and then usually at most the slot itself,
// whether the key is present or not. An insert uses the emptier group. At 93% load both groups are sometimes full; then
// a placement of one of them moves to its other group. Erasing frees the slot at once: there are no tombstones, and
// searches do not get longer under churn.
//
// Eviction. Each service has two lists, of its half-open and of its closing placements, in the order in which they
// entered the state; the oldest is evicted. The lists are doubly linked by slot number, with the list head as a node,
// so that removal takes constant time. Users of the table change a placement's state, and for a higher generation its
// backend server, in place; the table reindexes the placement (moves it to the right list and count) when it next
// touches, visits or evicts it. An insert reindexes at most max_reindexed placements, which bounds its work.
//
// Memory per slot: 48 bytes for key and placement, 1 for the tag, 2 for the index entry and 8 for the list links. With
// slots_per_flow that is 63.4 bytes per flow of the cap.
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
constexpr double      slots_per_flow = 1.07;          // 93% load at the cap
constexpr std::size_t max_cap = std::size_t{1} << 31; // slots and list heads are numbered with 32 bits
constexpr std::size_t cache_line = 64;

constexpr double      nearly_full_load = 0.9; // of the cap; from this load on, the shares of services are enforced
constexpr std::size_t max_reindexed = 64;     // placements reindexed per insert

// Eviction lists. Established placements are in no list.
enum class list_kind : std::uint8_t { half_open, closing, none };
constexpr std::size_t lists_per_service = 2;

list_kind list_for(flow_state state) {
    if (state == flow_state::half_open) return list_kind::half_open;
    return state == flow_state::closing ? list_kind::closing : list_kind::none;
}

// Anonymous memory mapping: zero-initialized, with pages allocated on first use.
class page_memory {
public:
    page_memory(std::size_t size, bool huge_pages) : size_(size) {
        void* start = ::mmap(nullptr, size, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
        if (start == MAP_FAILED) throw std::bad_alloc();
        start_ = start;
        if (huge_pages) ::madvise(start, size, MADV_HUGEPAGE); // a hint; no effect where it is not supported
    }
    page_memory(const page_memory&) = delete;
    page_memory& operator=(const page_memory&) = delete;
    ~page_memory() { ::munmap(start_, size_); }

    std::size_t size() const { return size_; }
    // Allocates the next array, aligned to a cache line.
    template <class Item>
    Item* allocate(std::size_t count) {
        Item* items = reinterpret_cast<Item*>(static_cast<std::byte*>(start_) + allocated_);
        allocated_ += bytes_for<Item>(count);
        return items;
    }
    template <class Item>
    static constexpr std::size_t bytes_for(std::size_t count) {
        return (count * sizeof(Item) + cache_line - 1) / cache_line * cache_line;
    }

private:
    void*       start_ = nullptr;
    std::size_t size_ = 0;
    std::size_t allocated_ = 0;
};

// The two candidate groups of a key, and its tag.
struct hashed_key {
    std::size_t  first = 0;
    std::size_t  second = 0;
    std::uint8_t tag = 1; // never 0
};

// The keys are hashes already. They are mixed again because traffic partitions select keys by some of their bits, which
// would fill the groups unevenly.
std::uint64_t mix(const flow_key& key) {
    std::uint64_t value = key.high ^ (key.low * 0x9e3779b97f4a7c15U);
    value ^= value >> 32U;
    return value * 0xd6e8feb86659fd93U;
}

// Tags of a group's slots; 0: free.
struct alignas(group_size) tag_group {
    std::array<std::uint8_t, group_size> tags;
};

// Bit i is set if the tag of slot i equals the given one.
std::uint32_t slots_with_tag(const tag_group& group, std::uint8_t tag) {
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

// Target and list that a placement is counted under: target number * 4 + list kind.
class index_entry {
public:
    index_entry() = default;
    index_entry(std::size_t target, list_kind list)
        : value_(static_cast<std::uint16_t>(target << 2U | static_cast<std::size_t>(list))) {}
    std::size_t target() const { return value_ >> 2U; }
    list_kind   list() const { return static_cast<list_kind>(value_ & 3U); }

private:
    std::uint16_t value_ = 0;
};

// A target is a pair of a service and one of its backend servers. This limit on targets with placements at the same
// time exceeds the 13,000 expected.
constexpr std::size_t max_targets = std::size_t{1} << 14;

struct target_flows {
    service_id        service = 0;
    backend_server_id backend_server = 0;
    std::size_t       flows = 0;
    std::size_t       service_index = 0;
};

struct service_flows {
    service_id                          id = 0;
    std::size_t                         flows = 0;
    std::array<link, lists_per_service> list_heads; // next: oldest, previous: newest
};

} // namespace

struct flow_table::impl {
    explicit impl(const flow_table_settings& requested)
        : settings(requested), cap(std::clamp<std::size_t>(requested.max_flows, 1, max_cap)),
          service_share(share_in_flows(requested.max_service_share, cap)), groups(groups_for(cap)),
          slot_count(groups * group_size), memory(bytes_for(groups), requested.huge_pages),
          slots(memory.allocate<slot>(slot_count)), tags(memory.allocate<tag_group>(groups)),
          index_entries(memory.allocate<index_entry>(slot_count)), links(memory.allocate<link>(slot_count)) {}

    static std::size_t groups_for(std::size_t cap) {
        return static_cast<std::size_t>(static_cast<double>(cap) * slots_per_flow) / group_size + 1;
    }
    static std::size_t bytes_for(std::size_t groups) {
        const std::size_t count = groups * group_size;
        return page_memory::bytes_for<slot>(count) + page_memory::bytes_for<tag_group>(groups) +
               page_memory::bytes_for<index_entry>(count) + page_memory::bytes_for<link>(count);
    }
    static std::size_t share_in_flows(double share, std::size_t cap) {
        const double flows = std::clamp(share, 0.0, 1.0) * static_cast<double>(cap);
        return std::max<std::size_t>(static_cast<std::size_t>(flows), 1);
    }

    // Search
    hashed_key  hash(const flow_key& key) const;
    slot_number find_slot(const flow_key& key) const;
    template <class Predicate>
    slot_number find_tagged(const flow_key& key, Predicate predicate) const;
    void        prefetch_slot(slot_number number) const;
    slot_number claim_slot(const hashed_key& hashed);
    bool        free_one_slot(std::size_t group);
    void        move_slot(slot_number from, slot_number to);
    bool        is_used(slot_number number) const { return tag_of(number) != 0; }
    slot_number number_of(const placement& item) const;

    std::uint8_t tag_of(slot_number number) const { return tags[number / group_size].tags[number % group_size]; }
    void set_tag(slot_number number, std::uint8_t tag) { tags[number / group_size].tags[number % group_size] = tag; }
    std::uint32_t free_slots_in(std::size_t group) const { return slots_with_tag(tags[group], 0); }

    // Targets
    std::optional<std::size_t> find_or_add_target(service_id service, backend_server_id backend_server);
    void                       remove_target(std::size_t number);
    std::size_t                find_or_add_service(service_id service);
    void                       remove_service(std::size_t index);
    void                       add_flow_to(std::size_t target_number);
    void                       remove_flow_from(std::size_t target_number);

    // Lists
    link&       list_node(slot_number number);
    slot_number list_head(std::size_t service_index, list_kind list) const;
    void        append_to_list(slot_number number, std::size_t service_index, list_kind list);
    void        remove_from_list(slot_number number);
    void        reindex(slot_number number);
    bool        is_indexed_correctly(slot_number number) const;

    // Eviction
    bool make_room(service_id service);
    bool evict_from(std::size_t service_index, std::size_t& reindexed);
    bool evict_oldest(std::size_t service_index, list_kind list, std::size_t& reindexed);
    void remove_slot(slot_number number);

    template <class Visit>
    void for_each_used_slot(std::size_t& position, std::size_t max_slots, Visit visit);

    static constexpr slot_number no_slot = std::numeric_limits<slot_number>::max();

    flow_table_settings settings;
    std::size_t         cap;
    std::size_t         service_share; // in flows; at least 1
    std::size_t         groups;
    std::size_t         slot_count;
    page_memory         memory;        // holds the arrays below
    slot*               slots;         // constructed where the tag is not 0
    tag_group*          tags;          // one per group
    index_entry*        index_entries; // one per slot
    link*               links;         // valid while the placement is in a list

    std::size_t   size = 0; // never above cap
    std::uint64_t evictions = 0;
    std::size_t   expire_position = 0;

    std::vector<target_flows>                          targets;
    std::vector<std::size_t>                           free_targets;
    std::unordered_map<std::uint64_t, std::size_t>     target_numbers; // by target_key
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
    // There are fewer than 2^28 groups, so 32 bits are enough to select one.
    const std::size_t       first = (value >> 32U) * groups >> 32U;
    std::size_t             second = (value & low_half) * groups >> 32U;
    if (second == first) second = first + 1 == groups ? 0 : first + 1;
    const auto tag = static_cast<std::uint8_t>(value);
    return {first, second, tag == 0 ? std::uint8_t{1} : tag};
}

// Calls predicate for each slot whose tag equals the key's, until it returns true. Returns that slot, or no_slot.
template <class Predicate>
slot_number flow_table::impl::find_tagged(const flow_key& key, Predicate predicate) const {
    const hashed_key    hashed = hash(key);
    // Both groups are searched together, because a branch on the group would be hard to predict.
    const std::uint32_t in_first = slots_with_tag(tags[hashed.first], hashed.tag);
    const std::uint32_t in_second = slots_with_tag(tags[hashed.second], hashed.tag);
    for (std::uint32_t found = in_first | in_second << group_size; found != 0; found &= found - 1) {
        const auto bit = static_cast<std::size_t>(std::countr_zero(found));
        const auto group = bit < group_size ? hashed.first : hashed.second;
        const auto number = static_cast<slot_number>(group * group_size + bit % group_size);
        if (predicate(number)) [[likely]]
            return number;
    }
    return no_slot;
}

slot_number flow_table::impl::find_slot(const flow_key& key) const {
    return find_tagged(key, [&](slot_number number) {
        prefetch_slot(number);
        return slots[number].key == key;
    });
}

// A slot may span two cache lines.
void flow_table::impl::prefetch_slot(slot_number number) const {
    __builtin_prefetch(&slots[number]);
    __builtin_prefetch(reinterpret_cast<const char*>(&slots[number + 1]) - 1);
    __builtin_prefetch(&index_entries[number]);
}

// Claims a free slot in the emptier group. If both groups are full, one of their placements moves to its other group;
// with 32 placements to choose from and 7% of the slots free, one practically always can.
slot_number flow_table::impl::claim_slot(const hashed_key& hashed) {
    const int   free_first = std::popcount(free_slots_in(hashed.first));
    const int   free_second = std::popcount(free_slots_in(hashed.second));
    std::size_t group = free_first >= free_second ? hashed.first : hashed.second;
    if (free_first == 0 && free_second == 0 && !free_one_slot(group)) {
        group = hashed.second;
        if (!free_one_slot(group)) return no_slot;
    }
    const auto index_in_group = static_cast<std::size_t>(std::countr_zero(free_slots_in(group)));
    const auto number = static_cast<slot_number>(group * group_size + index_in_group);
    set_tag(number, hashed.tag);
    return number;
}

// Frees a slot of a full group by moving one placement to its other group. False if the other groups of all its
// placements are full too.
bool flow_table::impl::free_one_slot(std::size_t group) {
    for (std::size_t index_in_group = 0; index_in_group < group_size; ++index_in_group) {
        const auto          from = static_cast<slot_number>(group * group_size + index_in_group);
        const hashed_key    hashed = hash(slots[from].key);
        const std::size_t   other = hashed.first == group ? hashed.second : hashed.first;
        const std::uint32_t free = free_slots_in(other);
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
    index_entries[to] = index_entries[from];
    if (index_entries[from].list() == list_kind::none) return;
    links[to] = links[from];
    list_node(links[to].previous).next = to;
    list_node(links[to].next).previous = to;
}

slot_number flow_table::impl::number_of(const placement& item) const {
    const auto offset = reinterpret_cast<const char*>(&item) - reinterpret_cast<const char*>(&slots[0]);
    return static_cast<slot_number>(static_cast<std::size_t>(offset) / sizeof(slot));
}

//----------------------------------------------------------------------------------------------------------------------
// Targets: counts per service and backend server
//----------------------------------------------------------------------------------------------------------------------

namespace {

std::uint64_t target_key(service_id service, backend_server_id backend_server) {
    return std::uint64_t{service} << 32U | backend_server;
}

// Returns the index of an unused element; appends one if there is none.
template <class Item>
std::size_t allocate_element(std::vector<Item>& items, std::vector<std::size_t>& unused) {
    if (unused.empty()) {
        items.emplace_back();
        return items.size() - 1;
    }
    const std::size_t number = unused.back();
    unused.pop_back();
    return number;
}

} // namespace

// Returns nothing if all target numbers are in use.
std::optional<std::size_t> flow_table::impl::find_or_add_target(service_id service, backend_server_id backend_server) {
    const auto found = target_numbers.find(target_key(service, backend_server));
    if (found != target_numbers.end()) return found->second;
    if (free_targets.empty() && targets.size() == max_targets) return std::nullopt;
    const std::size_t number = allocate_element(targets, free_targets);
    targets[number] = {service, backend_server, 0, find_or_add_service(service)};
    target_numbers.emplace(target_key(service, backend_server), number);
    return number;
}

void flow_table::impl::remove_target(std::size_t number) {
    target_numbers.erase(target_key(targets[number].service, targets[number].backend_server));
    free_targets.push_back(number);
}

std::size_t flow_table::impl::find_or_add_service(service_id service) {
    const auto found = service_indexes.find(service);
    if (found != service_indexes.end()) return found->second;
    const std::size_t index = allocate_element(services, free_services);
    services[index] = {service, 0, {}};
    for (const list_kind list : {list_kind::half_open, list_kind::closing}) {
        const slot_number number = list_head(index, list);
        list_node(number) = {number, number};
    }
    service_indexes.emplace(service, index);
    return index;
}

void flow_table::impl::remove_service(std::size_t index) {
    service_indexes.erase(services[index].id);
    free_services.push_back(index);
}

void flow_table::impl::add_flow_to(std::size_t target_number) {
    target_flows&  entry = targets[target_number];
    service_flows& service = services[entry.service_index];
    ++entry.flows;
    ++backend_server_flows[entry.backend_server];
    if (++service.flows == service_share + 1) over_share.push_back(entry.service_index);
}

void flow_table::impl::remove_flow_from(std::size_t target_number) {
    target_flows&  entry = targets[target_number];
    service_flows& service = services[entry.service_index];
    const auto     flows = backend_server_flows.find(entry.backend_server);
    if (--flows->second == 0) backend_server_flows.erase(flows);
    if (service.flows-- == service_share + 1) std::erase(over_share, entry.service_index);
    if (service.flows == 0) remove_service(entry.service_index);
    if (--entry.flows == 0) remove_target(target_number);
}

//----------------------------------------------------------------------------------------------------------------------
// Lists
//----------------------------------------------------------------------------------------------------------------------

// Numbers from slot_count on denote the list heads of the services.
link& flow_table::impl::list_node(slot_number number) {
    if (number < slot_count) return links[number];
    const std::size_t head_number = number - slot_count;
    return services[head_number / lists_per_service].list_heads[head_number % lists_per_service];
}

slot_number flow_table::impl::list_head(std::size_t service_index, list_kind list) const {
    return static_cast<slot_number>(slot_count + service_index * lists_per_service + static_cast<std::size_t>(list));
}

void flow_table::impl::append_to_list(slot_number number, std::size_t service_index, list_kind list) {
    if (list == list_kind::none) return;
    const slot_number head = list_head(service_index, list);
    const slot_number newest = list_node(head).previous;
    links[number] = {newest, head};
    list_node(newest).next = number;
    list_node(head).previous = number;
}

void flow_table::impl::remove_from_list(slot_number number) {
    if (index_entries[number].list() == list_kind::none) return;
    const link removed = links[number];
    list_node(removed.previous).next = removed.next;
    list_node(removed.next).previous = removed.previous;
}

bool flow_table::impl::is_indexed_correctly(slot_number number) const {
    const placement&    item = slots[number].value;
    const index_entry   current = index_entries[number];
    const target_flows& entry = targets[current.target()];
    return current.list() == list_for(item.state) && entry.backend_server == item.backend_server &&
           entry.service == item.service;
}

// Moves a placement to the list and target of its present state.
void flow_table::impl::reindex(slot_number number) {
    const placement&  item = slots[number].value;
    const std::size_t old_target = index_entries[number].target();
    // Without a free target number the placement stays counted under its old target.
    const std::size_t new_target = find_or_add_target(item.service, item.backend_server).value_or(old_target);
    remove_from_list(number);
    if (new_target != old_target) {
        add_flow_to(new_target);
        remove_flow_from(old_target);
    }
    index_entries[number] = index_entry(new_target, list_for(item.state));
    append_to_list(number, targets[new_target].service_index, list_for(item.state));
}

//----------------------------------------------------------------------------------------------------------------------
// Eviction
//----------------------------------------------------------------------------------------------------------------------

void flow_table::impl::remove_slot(slot_number number) {
    remove_from_list(number);
    remove_flow_from(index_entries[number].target());
    set_tag(number, 0);
    --size;
}

// Evicts the oldest placement whose state still matches the list.
bool flow_table::impl::evict_oldest(std::size_t service_index, list_kind list, std::size_t& reindexed) {
    const slot_number head = list_head(service_index, list);
    while (list_node(head).next != head) {
        const slot_number oldest = list_node(head).next;
        if (is_indexed_correctly(oldest)) {
            remove_slot(oldest);
            ++evictions;
            return true;
        }
        if (++reindexed > max_reindexed) return false;
        reindex(oldest);
    }
    return false;
}

bool flow_table::impl::evict_from(std::size_t service_index, std::size_t& reindexed) {
    return evict_oldest(service_index, list_kind::half_open, reindexed) ||
           evict_oldest(service_index, list_kind::closing, reindexed);
}

// Makes room for a flow of the service. False if the flow must be refused.
bool flow_table::impl::make_room(service_id service) {
    const auto        found = service_indexes.find(service);
    const std::size_t held_flows = found == service_indexes.end() ? 0 : services[found->second].flows;
    const bool        shares_apply = static_cast<double>(size) >= nearly_full_load * static_cast<double>(cap);
    if (size < cap && !(shares_apply && held_flows >= service_share)) return true;

    std::size_t reindexed = 0;
    if (held_flows > 0 && evict_from(found->second, reindexed)) return true;
    // At most 1 / max_service_share services exceed their share; flows of the largest one are evicted first.
    std::vector<std::size_t> others = over_share;
    std::sort(others.begin(), others.end(), [this](std::size_t left, std::size_t right) {
        return services[left].flows != services[right].flows ? services[left].flows > services[right].flows
                                                             : services[left].id < services[right].id;
    });
    return std::any_of(others.begin(), others.end(), [&](std::size_t index) {
        return services[index].id != service && evict_from(index, reindexed);
    });
}

//----------------------------------------------------------------------------------------------------------------------
// Iteration
//----------------------------------------------------------------------------------------------------------------------

// Calls visit for the used slots among the next max_slots slots. A max_slots of capacity() or more covers the whole
// table.
template <class Visit>
void flow_table::impl::for_each_used_slot(std::size_t& position, std::size_t max_slots, Visit visit) {
    const std::size_t steps = max_slots >= cap ? slot_count : max_slots;
    if (position >= slot_count) position = 0;
    for (std::size_t i = 0; i < steps; ++i) {
        const auto number = static_cast<slot_number>(position);
        position = position + 1 == slot_count ? 0 : position + 1;
        if (is_used(number)) visit(number);
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
    const slot_number number = impl_->find_slot(key);
    return number == impl::no_slot ? nullptr : &impl_->slots[number].value;
}

void flow_table::prefetch(const flow_key& key) const {
    impl_->find_tagged(key, [this](slot_number number) {
        impl_->prefetch_slot(number);
        return true; // a second slot with the same tag is rare
    });
}

placement* flow_table::insert(const flow_key& key, const placement& value, steady_time now) {
    if (placement* present = find(key)) return present;
    if (!impl_->make_room(value.service)) return nullptr;

    const slot_number number = impl_->claim_slot(impl_->hash(key));
    if (number == impl::no_slot) return nullptr;
    const auto target = impl_->find_or_add_target(value.service, value.backend_server);
    if (!target) {
        impl_->set_tag(number, 0);
        return nullptr;
    }
    slot* item = std::construct_at(&impl_->slots[number], slot{key, value});
    item->value.last_seen = ticks_of(now);
    impl_->add_flow_to(*target);
    impl_->index_entries[number] = index_entry(*target, list_for(value.state));
    impl_->append_to_list(number, impl_->targets[*target].service_index, list_for(value.state));
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
    const slot_number number = impl_->find_slot(key);
    if (number != impl::no_slot) impl_->remove_slot(number);
}

void flow_table::touch(placement& item, steady_time now) {
    item.last_seen = ticks_of(now);
    const slot_number number = impl_->number_of(item);
    if (!impl_->is_indexed_correctly(number)) impl_->reindex(number);
}

bool flow_table::expired(const placement& item, transport protocol, steady_time now) const {
    const flow_table_settings& limits = impl_->settings;
    duration                   timeout = protocol == transport::udp ? limits.udp_idle_timeout : limits.idle_timeout;
    if (protocol == transport::tcp && item.state == flow_state::half_open) timeout = limits.half_open_timeout;
    if (protocol == transport::tcp && item.state == flow_state::closing) timeout = limits.closing_timeout;
    return idle_time(item, now) >= timeout;
}

duration flow_table::idle_time(const placement& item, steady_time now) const {
    // The difference is signed: a placement touched after the given time must not seem very old.
    return static_cast<std::int32_t>(ticks_of(now) - item.last_seen) * tick_length;
}

std::size_t flow_table::expire(steady_time now, std::size_t                                   max_slots,
                               transport (*protocol_of)(service_id, const void*), const void* context) {
    std::size_t erased = 0;
    impl_->for_each_used_slot(impl_->expire_position, max_slots, [&](slot_number number) {
        const placement& item = impl_->slots[number].value;
        if (expired(item, protocol_of(item.service, context), now)) {
            impl_->remove_slot(number);
            ++erased;
        } else if (!impl_->is_indexed_correctly(number)) {
            impl_->reindex(number);
        }
    });
    return erased;
}

void flow_table::scan(std::size_t& position, std::size_t max_slots, visitor& callback) {
    impl_->for_each_used_slot(position, max_slots, [&](slot_number number) {
        callback.visit(impl_->slots[number].key, impl_->slots[number].value);
        if (impl_->is_used(number) && !impl_->is_indexed_correctly(number)) impl_->reindex(number);
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

// Excludes the records of services and targets, which are few.
std::size_t flow_table::memory_bytes() const {
    return impl_->memory.size();
}

std::size_t flow_table::backend_flow_count(backend_server_id id) const {
    const auto found = impl_->backend_server_flows.find(id);
    return found == impl_->backend_server_flows.end() ? 0 : found->second;
}

std::size_t flow_table::service_flow_count(service_id id) const {
    const auto found = impl_->service_indexes.find(id);
    return found == impl_->service_indexes.end() ? 0 : impl_->services[found->second].flows;
}

std::uint64_t flow_table::evictions() const {
    return impl_->evictions;
}

} // namespace tamarack
