// Micro-benchmarks of the steps of the packet path, and of building an ownership ranking.
//
//   build/path-bench --benchmark_min_time=1
#include "tamarack/flow_table.h"
#include "tamarack/ownership.h"
#include "tamarack/relay.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <boost/endian/conversion.hpp>
#include <random>

namespace {

using namespace tamarack;

constexpr std::uint64_t hash_seed = 7;
constexpr std::size_t   packet_sizes[] = {60, 1'500};
constexpr std::uint16_t caller_port = 40'000;
constexpr std::uint16_t service_port = 443;

// A TCP segment without flags over IPv4, from flow_tuple_of(1).
std::vector<std::byte> make_tcp_packet(std::size_t size) {
    std::vector<std::byte> packet(size);
    packet[0] = std::byte{0x45};
    packet[2] = static_cast<std::byte>(size >> 8U);
    packet[3] = static_cast<std::byte>(size);
    packet[9] = std::byte{6};
    packet[15] = packet[19] = std::byte{1};
    packet[20] = static_cast<std::byte>(caller_port >> 8U);
    packet[21] = static_cast<std::byte>(caller_port & 0xffU);
    packet[22] = static_cast<std::byte>(service_port >> 8U);
    packet[23] = static_cast<std::byte>(service_port & 0xffU);
    packet[32] = std::byte{0x50};
    return packet;
}

flow_tuple flow_tuple_of(std::uint64_t number) {
    return {transport::tcp,
            {ip_address::v4(static_cast<std::uint32_t>(number)), caller_port},
            {ip_address::v4(1), service_port}};
}

placement established_placement() {
    placement item;
    item.service = 1;
    item.backend_server = 11;
    item.state = flow_state::established;
    return item;
}

// A flow table with a capacity of a million flows that holds the given number, and their keys in random order.
struct filled_table {
    explicit filled_table(benchmark::State& state)
        : filled_table(static_cast<std::size_t>(state.range(0)), state.range(1) != 0) {}
    filled_table(std::size_t flows, bool huge_pages)
        : table({.max_flows = 1'000'000, .max_service_share = 1.0, .huge_pages = huge_pages}) {
        for (std::size_t i = 0; i < flows; ++i) {
            keys.push_back(make_flow_key(flow_tuple_of(i + 1), hash_seed));
            table.insert(keys.back(), established_placement(), {});
        }
        std::shuffle(keys.begin(), keys.end(), std::mt19937_64(1));
    }
    flow_table            table;
    std::vector<flow_key> keys;
};

relay_header make_place_header() {
    relay_header header;
    header.kind = relay_kind::place;
    header.sender = header.owner = 3;
    header.placement = {11, 1, {ip_address::v4(2), 6080}, 1, true};
    return header;
}

// Registers the numbers of flows held, each without and with huge pages.
void apply_table_sizes(benchmark::internal::Benchmark* item) {
    item->ArgNames({"flows", "huge"});
    item->ArgsProduct({{1'000, 10'000, 100'000, 1'000'000}, {0, 1}});
}

void parse(benchmark::State& state) {
    const auto packet = make_tcp_packet(static_cast<std::size_t>(state.range(0)));
    for (auto step : state)
        benchmark::DoNotOptimize(parse_packet(packet));
}
BENCHMARK(parse)->Arg(packet_sizes[0])->Arg(packet_sizes[1]);

void flow_key_of_a_tuple(benchmark::State& state) {
    flow_tuple flow = flow_tuple_of(1);
    for (auto step : state) {
        ++flow.source.port;
        benchmark::DoNotOptimize(make_flow_key(flow, hash_seed));
    }
}
BENCHMARK(flow_key_of_a_tuple);

// Independent look-ups: the processor may overlap one with the next.
void find(benchmark::State& state) {
    filled_table filled(state);
    std::size_t  next = 0;
    for (auto step : state) {
        const placement* found = filled.table.find(filled.keys[next]);
        benchmark::DoNotOptimize(found->backend_server);
        if (++next == filled.keys.size()) next = 0;
    }
    state.counters["bytes_per_flow"] =
        static_cast<double>(filled.table.memory_bytes()) / static_cast<double>(filled.table.capacity());
}
BENCHMARK(find)->Apply(apply_table_sizes);

// Dependent look-ups: the next key depends on the placement found, so that no look-up overlaps with the next.
void find_in_sequence(benchmark::State& state) {
    filled_table filled(state);
    std::size_t  next = 0;
    for (auto step : state) {
        const placement* found = filled.table.find(filled.keys[next]);
        next += found->backend_server - 10U;
        if (next >= filled.keys.size()) next = 0;
    }
}
BENCHMARK(find_in_sequence)->Apply(apply_table_sizes);

void find_absent(benchmark::State& state) {
    filled_table  filled(state);
    std::uint64_t number = std::uint64_t{1} << 31U;
    for (auto step : state)
        benchmark::DoNotOptimize(filled.table.find(make_flow_key(flow_tuple_of(number++), hash_seed)));
}
BENCHMARK(find_absent)->Apply(apply_table_sizes);

// Cost of a packet of an existing flow in these modules, with packets of random flows. The argument batch is the number
// of keys that are prefetched before the first look-up; 1: no prefetch.
void parse_key_find_touch(benchmark::State& state) {
    filled_table               filled(state);
    auto                       packet = make_tcp_packet(packet_sizes[0]);
    const auto                 batch = static_cast<std::size_t>(state.range(2));
    std::vector<flow_key>      keys(batch);
    std::vector<std::uint32_t> sources(filled.keys.size());
    for (std::size_t i = 0; i < sources.size(); ++i)
        sources[i] = static_cast<std::uint32_t>(i + 1);
    std::shuffle(sources.begin(), sources.end(), std::mt19937_64(2));
    std::size_t next = 0;
    std::size_t missing_flows = 0;
    for (auto step : state) {
        for (flow_key& key : keys) {
            boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(packet.data()) + 12, sources[next]);
            key = make_flow_key(parse_packet(packet).assume_value().flow, hash_seed);
            if (batch > 1) filled.table.prefetch(key);
            if (++next == sources.size()) next = 0;
        }
        for (const flow_key& key : keys) {
            placement* found = filled.table.find(key);
            found != nullptr ? filled.table.touch(*found, {}) : static_cast<void>(++missing_flows);
        }
    }
    state.counters["per_packet"] = benchmark::Counter(
        static_cast<double>(batch), benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
    if (missing_flows > 0) state.SkipWithError("packets of unknown flows");
}
BENCHMARK(parse_key_find_touch)
    ->ArgNames({"flows", "huge", "batch"})
    ->ArgsProduct({{1'000, 10'000, 100'000, 1'000'000}, {0, 1}, {1, 32}});

void insert_and_erase(benchmark::State& state) {
    filled_table  filled(state);
    std::uint64_t number = std::uint64_t{1} << 31U;
    std::size_t   next = 0;
    for (auto step : state) {
        filled.table.erase(filled.keys[next]);
        filled.keys[next] = make_flow_key(flow_tuple_of(number++), hash_seed);
        filled.table.insert(filled.keys[next], established_placement(), {});
        if (++next == filled.keys.size()) next = 0;
    }
}
BENCHMARK(insert_and_erase)->Apply(apply_table_sizes);

// A full table of half-open flows: each insert evicts one.
void insert_with_eviction(benchmark::State& state) {
    flow_table    table({.max_flows = 1'000'000, .huge_pages = state.range(0) != 0});
    placement     opening = established_placement();
    std::uint64_t number = 0;
    opening.state = flow_state::half_open;
    while (table.evictions() == 0)
        table.insert(make_flow_key(flow_tuple_of(number++), hash_seed), opening, {});
    for (auto step : state)
        benchmark::DoNotOptimize(table.insert(make_flow_key(flow_tuple_of(number++), hash_seed), opening, {}));
}
BENCHMARK(insert_with_eviction)->ArgName("huge")->Arg(0)->Arg(1);

void encode_relay_frame(benchmark::State& state) {
    const auto             packet = make_tcp_packet(static_cast<std::size_t>(state.range(0)));
    const relay_header     header = make_place_header();
    std::vector<std::byte> out;
    for (auto step : state) {
        out.clear();
        append_relay_frame(header, packet, {}, out);
        benchmark::DoNotOptimize(out.data());
    }
    state.counters["overhead_bytes"] = static_cast<double>(out.size() - packet.size());
}
BENCHMARK(encode_relay_frame)->Arg(packet_sizes[0])->Arg(packet_sizes[1]);

void decode_relay_frame(benchmark::State& state) {
    std::vector<std::byte> frame;
    append_relay_frame(make_place_header(), make_tcp_packet(static_cast<std::size_t>(state.range(0))), {}, frame);
    for (auto step : state)
        benchmark::DoNotOptimize(parse_relay_frame(frame, {}));
}
BENCHMARK(decode_relay_frame)->Arg(packet_sizes[0])->Arg(packet_sizes[1]);

void build_ownership(benchmark::State& state) {
    std::vector<member> members(static_cast<std::size_t>(state.range(0)));
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].id = static_cast<member_id>(i + 1);
        members[i].failure_domain = std::to_string(i % 4);
    }
    for (auto step : state)
        benchmark::DoNotOptimize(ownership(members).member_count());
}
BENCHMARK(build_ownership)->Arg(9)->Arg(64)->Arg(267)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
