// Cost of the steps of the packet path, and of building a ranking.
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

// A TCP segment without flags over IPv4, from flow_number(1).
std::vector<std::byte> tcp_packet(std::size_t size) {
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

flow_tuple flow_number(std::uint64_t number) {
    return {transport::tcp,
            {ip_address::v4(static_cast<std::uint32_t>(number)), caller_port},
            {ip_address::v4(1), service_port}};
}

placement established() {
    placement item;
    item.service = 1;
    item.backend_server = 11;
    item.state = flow_state::established;
    return item;
}

// A table with a cap of a million flows that holds the given number, and the keys in random order.
struct filled_table {
    explicit filled_table(benchmark::State& state)
        : filled_table(static_cast<std::size_t>(state.range(0)), state.range(1) != 0) {}
    filled_table(std::size_t flows, bool huge_pages)
        : table({.max_flows = 1'000'000, .max_service_share = 1.0, .huge_pages = huge_pages}) {
        for (std::size_t i = 0; i < flows; ++i) {
            keys.push_back(make_flow_key(flow_number(i + 1), hash_seed));
            table.insert(keys.back(), established(), {});
        }
        std::shuffle(keys.begin(), keys.end(), std::mt19937_64(1));
    }
    flow_table            table;
    std::vector<flow_key> keys;
};

relay_header place_header() {
    relay_header header;
    header.kind = relay_kind::place;
    header.sender = header.owner = 3;
    header.placement = {11, 1, {ip_address::v4(2), 6080}, 1, true};
    return header;
}

// Flows held, without and with huge pages.
void table_sizes(benchmark::internal::Benchmark* item) {
    item->ArgNames({"flows", "huge"});
    item->ArgsProduct({{1'000, 10'000, 100'000, 1'000'000}, {0, 1}});
}

void parse(benchmark::State& state) {
    const auto packet = tcp_packet(static_cast<std::size_t>(state.range(0)));
    for (auto step : state)
        benchmark::DoNotOptimize(parse_packet(packet));
}
BENCHMARK(parse)->Arg(packet_sizes[0])->Arg(packet_sizes[1]);

void flow_key_of_a_tuple(benchmark::State& state) {
    flow_tuple flow = flow_number(1);
    for (auto step : state) {
        ++flow.source.port;
        benchmark::DoNotOptimize(make_flow_key(flow, hash_seed));
    }
}
BENCHMARK(flow_key_of_a_tuple);

// Each search starts when the one before it has ended, as far as the processor allows.
void find(benchmark::State& state) {
    filled_table filled(state);
    std::size_t  next = 0;
    for (auto step : state) {
        const placement* held = filled.table.find(filled.keys[next]);
        benchmark::DoNotOptimize(held->backend_server);
        if (++next == filled.keys.size()) next = 0;
    }
    state.counters["bytes_per_flow"] =
        static_cast<double>(filled.table.memory_bytes()) / static_cast<double>(filled.table.capacity());
}
BENCHMARK(find)->Apply(table_sizes);

// The next key depends on the placement found: no search overlaps with the next.
void find_in_sequence(benchmark::State& state) {
    filled_table filled(state);
    std::size_t  next = 0;
    for (auto step : state) {
        const placement* held = filled.table.find(filled.keys[next]);
        next += held->backend_server - 10U;
        if (next >= filled.keys.size()) next = 0;
    }
}
BENCHMARK(find_in_sequence)->Apply(table_sizes);

void find_absent(benchmark::State& state) {
    filled_table  filled(state);
    std::uint64_t number = std::uint64_t{1} << 31U;
    for (auto step : state)
        benchmark::DoNotOptimize(filled.table.find(make_flow_key(flow_number(number++), hash_seed)));
}
BENCHMARK(find_absent)->Apply(table_sizes);

// What every packet of a known flow costs in these modules, with packets of random flows. The argument batch tells how
// many keys are prefetched before the first is looked for; 1: none.
void parse_key_find_touch(benchmark::State& state) {
    filled_table               filled(state);
    auto                       packet = tcp_packet(packet_sizes[0]);
    const auto                 batch = static_cast<std::size_t>(state.range(2));
    std::vector<flow_key>      keys(batch);
    std::vector<std::uint32_t> sources(filled.keys.size());
    for (std::size_t i = 0; i < sources.size(); ++i)
        sources[i] = static_cast<std::uint32_t>(i + 1);
    std::shuffle(sources.begin(), sources.end(), std::mt19937_64(2));
    std::size_t next = 0;
    std::size_t missing = 0;
    for (auto step : state) {
        for (flow_key& key : keys) {
            boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(packet.data()) + 12, sources[next]);
            key = make_flow_key(parse_packet(packet).assume_value().flow, hash_seed);
            if (batch > 1) filled.table.prefetch(key);
            if (++next == sources.size()) next = 0;
        }
        for (const flow_key& key : keys) {
            placement* held = filled.table.find(key);
            held != nullptr ? filled.table.touch(*held, {}) : static_cast<void>(++missing);
        }
    }
    state.counters["per_packet"] = benchmark::Counter(
        static_cast<double>(batch), benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
    if (missing > 0) state.SkipWithError("packets of unknown flows");
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
        filled.keys[next] = make_flow_key(flow_number(number++), hash_seed);
        filled.table.insert(filled.keys[next], established(), {});
        if (++next == filled.keys.size()) next = 0;
    }
}
BENCHMARK(insert_and_erase)->Apply(table_sizes);

// A full table of half-open flows: each insert evicts one.
void insert_with_eviction(benchmark::State& state) {
    flow_table    table({.max_flows = 1'000'000, .huge_pages = state.range(0) != 0});
    placement     opening = established();
    std::uint64_t number = 0;
    opening.state = flow_state::half_open;
    while (table.evictions() == 0)
        table.insert(make_flow_key(flow_number(number++), hash_seed), opening, {});
    for (auto step : state)
        benchmark::DoNotOptimize(table.insert(make_flow_key(flow_number(number++), hash_seed), opening, {}));
}
BENCHMARK(insert_with_eviction)->ArgName("huge")->Arg(0)->Arg(1);

void encode_relay_frame(benchmark::State& state) {
    const auto             packet = tcp_packet(static_cast<std::size_t>(state.range(0)));
    const relay_header     header = place_header();
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
    append_relay_frame(place_header(), tcp_packet(static_cast<std::size_t>(state.range(0))), {}, frame);
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
