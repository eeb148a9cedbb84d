#include <boost/test/unit_test.hpp>

#include "support/pipeline_replay.h"

namespace jujubemast::tests {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two kinds of request with the same stages and priority: questions, whose response has to begin
/// soon, and summaries, which have more time. A third kind is less urgent.
struct overload_replay_fixture {
    replay_setup setup;

    overload_replay_fixture() {
        setup.services = {service("records", 10, 240, 21, 4), service("weights", 48, 240, 4, 4),
                          service("plans", 30, 240, 7, 4)};
        const std::vector<std::pair<std::string, std::uint32_t>> stages{
            {"records", 1}, {"weights", 8}, {"plans", 6}};
        setup.kinds = {{"question", 10, seconds{2}, 1, stages},
                       {"summary", 12, seconds{6}, 1, stages}};
        setup.gateways = 8;
    }

    static replay_service service(const std::string& name, std::size_t batch, int call_ms,
                                  int piece_ms, std::size_t instances) {
        gateway::piece_limits limits;
        limits.batch = batch;
        limits.call_time = milliseconds{call_ms};
        limits.piece_time = milliseconds{piece_ms};
        limits.result_lifetime = seconds{4};
        return {name, limits, instances};
    }

    /// Mean share of the requests of a kind that are on time, over several seeds.
    double share_on_time(const std::string& kind) {
        constexpr std::uint64_t seeds = 5;
        double sum = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            setup.seed = seed;
            auto counts = pipeline_replay{setup}.run();
            sum += counts[kind].share_on_time();
            for (const auto& [name, it] : counts) {
                BOOST_TEST_MESSAGE(seed << ' ' << name << ": asked " << it.asked << ", on time "
                                        << it.on_time << ", late " << it.late << ", refused "
                                        << it.refused << ", expired " << it.expired);
            }
        }
        return sum / seeds;
    }
};

BOOST_FIXTURE_TEST_SUITE(overload_replay_test, overload_replay_fixture)

BOOST_AUTO_TEST_CASE(replay_of_ordinary_load_serves_all_kinds_on_time) {
    BOOST_TEST(share_on_time("question") >= 0.97);
    BOOST_TEST(share_on_time("summary") >= 0.97);
}

// A flood of summaries. Guards against questions that are refused because the queue is long,
// although it serves them before most of the summaries.
BOOST_AUTO_TEST_CASE(replay_of_a_flood_with_much_time_keeps_requests_with_little_time) {
    setup.bursts = {{"summary", seconds{2}, seconds{14}, 5}};
    const double kept = share_on_time("question");
    const double summaries = share_on_time("summary");
    setup.pieces_ahead = gateway::stages::pieces_ahead_by_priority;
    const double kept_before = share_on_time("question");
    const double summaries_before = share_on_time("summary");
    BOOST_TEST_MESSAGE("question " << kept_before << " -> " << kept << ", summary "
                                   << summaries_before << " -> " << summaries);
    BOOST_TEST(kept >= 0.8);
    BOOST_TEST(kept_before < 0.8);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
