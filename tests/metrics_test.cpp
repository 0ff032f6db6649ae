// Metrics. Guards against values in the wrong bucket, counts lost by concurrent updates, and text that metrics
// collectors reject.
#define BOOST_TEST_MODULE metrics
#include "tamarack/metrics.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <thread>

using namespace tamarack;

BOOST_AUTO_TEST_CASE(a_value_equal_to_a_bound_is_counted_in_the_bucket_of_the_bound) {
    const std::vector<double> bounds = {1, 2, 4};
    distribution              sizes(bounds);
    for (const double size : {0.0, 1.0, 1.5, 2.0, 4.0, 4.1, 1e9})
        sizes.add(size);
    const auto                       snapshot = sizes.snapshot();
    const std::vector<std::uint64_t> expected = {2, 2, 1, 2};
    BOOST_TEST(snapshot.counts == expected, boost::test_tools::per_element());
    BOOST_TEST(snapshot.total() == 7U);
    BOOST_TEST(snapshot.sum == 1e9 + 12.6);
    BOOST_TEST(snapshot.quantile(0.5) == 2.0);
    BOOST_TEST(snapshot.quantile(0.7) == 4.0);
    BOOST_TEST(std::isinf(snapshot.quantile(1.0)));
    BOOST_TEST(distribution_snapshot().quantile(0.5) == 0.0);
}

BOOST_AUTO_TEST_CASE(no_value_is_lost_by_concurrent_updates) {
    constexpr int values_per_thread = 50'000;
    distribution  values(latency_bounds());
    {
        const auto fill = [&values] {
            for (int i = 0; i < values_per_thread; ++i)
                values.add(i % 2 == 0 ? 0.25 : 2.0);
        };
        const std::jthread threads[] = {std::jthread(fill), std::jthread(fill), std::jthread(fill), std::jthread(fill)};
    }
    auto merged = values.snapshot();
    BOOST_TEST(merged.total() == 4U * values_per_thread);
    BOOST_TEST(merged.sum == 2.25 * 2 * values_per_thread);
    merged.merge(values.snapshot());
    BOOST_TEST(merged.counts.back() == 4U * values_per_thread);
    BOOST_TEST(merged.total() == 8U * values_per_thread);
}

BOOST_AUTO_TEST_CASE(the_text_is_in_the_exposition_format) {
    const std::vector<double> bounds = {0.5, 1};
    distribution              values(bounds);
    values.add(0.1);
    values.add(0.75);
    values.add(3);
    const std::string text = exposition_text({{"tamarack_packets_relayed", 7}, {"flows_held", 3}, {"odd name-1", 1}},
                                             {{"batch_seconds", values.snapshot()}});
    const std::string expected = "# HELP tamarack_flows_held Placements in the flow table.\n"
                                 "# TYPE tamarack_flows_held gauge\n"
                                 "tamarack_flows_held 3\n"
                                 "# TYPE tamarack_odd_name_1 untyped\n"
                                 "tamarack_odd_name_1 1\n"
                                 "# HELP tamarack_packets_relayed Packets sent to peers.\n"
                                 "# TYPE tamarack_packets_relayed counter\n"
                                 "tamarack_packets_relayed 7\n"
                                 "# HELP tamarack_batch_seconds Time to handle a batch, without sending it.\n"
                                 "# TYPE tamarack_batch_seconds histogram\n"
                                 "tamarack_batch_seconds_bucket{le=\"0.5\"} 1\n"
                                 "tamarack_batch_seconds_bucket{le=\"1\"} 2\n"
                                 "tamarack_batch_seconds_bucket{le=\"+Inf\"} 3\n"
                                 "tamarack_batch_seconds_sum 3.85\n"
                                 "tamarack_batch_seconds_count 3\n";
    BOOST_TEST(text == expected);
}
