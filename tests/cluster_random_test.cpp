// Randomised sequences of changes and failures over whole balancers. A failing sequence is shrunk, and printed with its
// seed; RC_PARAMS="seed=..." repeats it, scripts/soak passes other seeds and sizes.
#define BOOST_TEST_MODULE cluster_random
#include "fakes/deployment.h"
#include "tamarack/invariant.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace fakes;
using namespace std::chrono_literals;

namespace {

// Steps of a sequence. The planned ones must break no flow.
enum class step_kind {
    join,
    drain,
    undrain,
    weigh,
    stop,
    start, // planned
    crash,
    pause,
    cut,
    heal,
    store_outage,
    store_recovery,
    lost_answers,
    stale_reads,
    race,
    wait,
};

struct step {
    step_kind     kind = step_kind::wait;
    std::uint32_t pick = 0; // which host or backend server
};

std::ostream& operator<<(std::ostream& out, const step& item) {
    constexpr std::array<const char*, 16> names = {
        "join", "drain", "undrain",      "weigh",          "stop",         "start",       "crash", "pause",
        "cut",  "heal",  "store_outage", "store_recovery", "lost_answers", "stale_reads", "race",  "wait"};
    return out << names.at(static_cast<std::size_t>(item.kind)) << ' ' << item.pick;
}

deployment small() {
    return {"small",
            5,
            3,
            std::chrono::microseconds(1500),
            2,
            {{"board", {tamarack::ip_address::v4(0x0a010001U), 443}, 4, 1ms},
             {"evidence", {tamarack::ip_address::v4(0x0a010002U), 443}, 2, 1ms}}};
}

class sequence_runner {
public:
    sequence_runner(std::uint64_t seed, double loss) : plan_(small()), target_(make_settings(seed, loss)) {
        tamarack::set_violations_fatal(true);
        build(target_, plan_);
        for (const auto& item : plan_.services)
            target_.add_callers({item.name, item.address, 100'000, 60, 700ms, 0.3, 3});
        target_.run(2s);
    }

    void apply(const step& item) {
        const std::size_t host = item.pick % target_.hosts();
        switch (item.kind) {
        case step_kind::join:
            join();
            break;
        case step_kind::drain:
            submit(tamarack::drain_backend{"board", backend_name(item.pick % 3)}, item.pick);
            break;
        case step_kind::undrain:
            submit(tamarack::undrain_backend{"board", backend_name(item.pick % 3)}, item.pick);
            break;
        case step_kind::weigh:
            submit(tamarack::weigh_backend{"board", backend_name(3), 10 + item.pick % 100}, item.pick);
            break;
        case step_kind::stop:
            stop(host);
            break;
        case step_kind::start:
            start_all();
            break;
        case step_kind::crash:
            crash(host);
            break;
        case step_kind::pause:
            target_.pause(host, std::chrono::milliseconds(200 + item.pick % 6000));
            break;
        case step_kind::cut:
            target_.cut({failure_domain_name(item.pick % plan_.failure_domains)});
            break;
        case step_kind::heal:
            target_.heal();
            break;
        case step_kind::store_outage:
            target_.set_store_outage(true);
            break;
        case step_kind::store_recovery:
            target_.set_store_outage(false);
            break;
        case step_kind::lost_answers:
            target_.set_store_lost_answers(item.pick % 2 == 0 ? 0.5 : 0);
            break;
        case step_kind::stale_reads:
            target_.set_store_stale_reads(item.pick % 2 == 0 ? 0.3 : 0);
            break;
        case step_kind::race:
            submit(tamarack::weigh_backend{"board", backend_name(3), 20}, item.pick);
            submit(tamarack::weigh_backend{"board", backend_name(3), 30}, item.pick + 1);
            break;
        case step_kind::wait:
            break;
        }
        target_.run(std::chrono::milliseconds(300 + item.pick % 3000));
    }

    // Ends all failures and lets everything settle.
    void recover() {
        target_.heal();
        target_.set_store_outage(false);
        target_.set_store_lost_answers(0);
        target_.set_store_stale_reads(0);
        start_all();
        target_.run(20s);
    }

    cluster& target() { return target_; }

private:
    static cluster_settings make_settings(std::uint64_t seed, double loss) {
        auto settings = settings_for(small(), seed);
        settings.loss = loss;
        settings.duplication = loss;
        settings.jitter = 1ms;
        return settings;
    }

    std::size_t running_hosts() const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < target_.hosts(); ++i)
            count += target_.running(i) ? 1 : 0;
        return count;
    }

    void submit(const tamarack::change& what, std::size_t host) {
        host %= target_.hosts();
        if (target_.running(host)) target_.submit(host, what);
    }

    void join() {
        const std::string name = "joined-" + std::to_string(++joined_);
        target_.add_backend("board", name, "domain-1", 2, 1ms);
        submit(target_.join_command("board", name), joined_);
    }

    void stop(std::size_t host) {
        if (running_hosts() < 3) return;
        target_.stop(host);
        for (int waited = 0; target_.running(host) && waited < 400; ++waited)
            target_.run(1s);
    }

    // One crash at a time: the next only after redundancy has been restored.
    void crash(std::size_t host) {
        if (running_hosts() < target_.hosts()) return;
        target_.crash(host);
        target_.run(15s);
    }

    void start_all() {
        for (std::size_t i = 0; i < target_.hosts(); ++i) {
            if (!target_.running(i)) target_.start(i);
        }
        target_.run(5s);
    }

    deployment    plan_;
    cluster       target_;
    std::uint32_t joined_ = 0;
};

rc::Gen<std::vector<step>> sequences(const std::vector<step_kind>& kinds) {
    return rc::gen::container<std::vector<step>>(
        rc::gen::build<step>(rc::gen::set(&step::kind, rc::gen::elementOf(kinds)),
                             rc::gen::set(&step::pick, rc::gen::inRange<std::uint32_t>(0, 10'000))));
}

void assert_promises(cluster& target) {
    const auto totals = target.totals();
    RC_ASSERT(totals.wrong_service == 0U);
    RC_ASSERT(totals.moved == 0U);
    RC_ASSERT(totals.refused_delivered == 0U);
    RC_ASSERT(tamarack::total_violations() == 0U);
    RC_ASSERT(target.largest_control_window() <= 40'960U);
    RC_ASSERT(target.convergence().has_value());
}

} // namespace

// Guards against any planned change, or sequence of them, that breaks a flow or delivers one twice.
BOOST_AUTO_TEST_CASE(planned_changes_break_nothing) {
    const bool passed = rc::check("planned changes break nothing", [](std::uint16_t seed) {
        const auto      steps = *sequences({step_kind::join, step_kind::drain, step_kind::undrain, step_kind::weigh,
                                            step_kind::stop, step_kind::start, step_kind::wait});
        sequence_runner run(seed, 0);
        for (const auto& item : steps)
            run.apply(item);
        run.recover();
        assert_promises(run.target());
        RC_ASSERT(run.target().totals().broken() == 0U);
        RC_ASSERT(run.target().totals().doubled == 0U);
        RC_ASSERT(run.target().totals().refused == 0U);
    });
    BOOST_TEST(passed);
}

// Guards against one failure at a time, with loss, duplication and a faulty platform, breaking a flow.
BOOST_AUTO_TEST_CASE(single_failures_break_nothing) {
    const bool passed = rc::check("single failures break nothing", [](std::uint16_t seed) {
        const auto steps =
            *sequences({step_kind::join, step_kind::drain, step_kind::undrain, step_kind::weigh, step_kind::start,
                        step_kind::crash, step_kind::store_outage, step_kind::store_recovery, step_kind::lost_answers,
                        step_kind::stale_reads, step_kind::race, step_kind::wait});
        sequence_runner run(seed, 0.01);
        for (const auto& item : steps)
            run.apply(item);
        run.recover();
        assert_promises(run.target());
        RC_ASSERT(run.target().totals().broken() == 0U);
        RC_ASSERT(run.target().totals().doubled == 0U);
    });
    BOOST_TEST(passed);
}

// Guards against violated promises under pauses and cuts that come with everything else. Flows may break here: a cut
// can separate a caller's packets from both holders.
BOOST_AUTO_TEST_CASE(promises_hold_under_pauses_and_cuts) {
    const bool passed = rc::check("promises hold under pauses and cuts", [](std::uint16_t seed) {
        const auto      steps = *sequences({step_kind::join, step_kind::drain, step_kind::weigh, step_kind::start,
                                            step_kind::crash, step_kind::pause, step_kind::cut, step_kind::heal,
                                            step_kind::store_outage, step_kind::store_recovery, step_kind::lost_answers,
                                            step_kind::stale_reads, step_kind::race, step_kind::wait});
        sequence_runner run(seed, 0.01);
        for (const auto& item : steps)
            run.apply(item);
        run.recover();
        assert_promises(run.target());
    });
    BOOST_TEST(passed);
}
