#include "load/arrival_schedule.h"

#include <cmath>
#include <map>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "support/experiments.h"

namespace jujubemast::tests {

struct arrival_schedule_fixture {
    load::experiment source = load::parse_experiment(small_experiment(), "small");

    [[nodiscard]] std::vector<load::planned_request> draw_all() const {
        load::arrival_schedule schedule{source};
        std::vector<load::planned_request> result;
        while (auto it = schedule.next()) {
            result.push_back(std::move(*it));
        }
        return result;
    }
};

BOOST_FIXTURE_TEST_SUITE(arrival_schedule_test, arrival_schedule_fixture)

BOOST_AUTO_TEST_CASE(schedule_when_drawn_twice_gives_the_same_requests) {
    const auto first = draw_all();
    const auto second = draw_all();
    BOOST_TEST_REQUIRE(first.size() == second.size());
    for (std::size_t n = 0; n < first.size(); ++n) {
        BOOST_TEST_REQUIRE((first[n].send_time == second[n].send_time &&
                            first[n].input == second[n].input &&
                            first[n].workspace == second[n].workspace));
    }
}

// Guards against an offered load lower than the experiment file specifies, which would make every
// result look better than it is.
BOOST_AUTO_TEST_CASE(schedule_when_poisson_keeps_rate_shares_and_spread) {
    std::map<std::string, double> by_class;
    std::map<std::string, double> by_workspace;
    std::vector<double> gaps;
    common::duration last{};
    for (const auto& it : draw_all()) {
        if (it.phase != 0) {
            break;
        }
        ++by_class[it.traffic->name];
        if (it.traffic->name == "lookup") {
            ++by_workspace[it.workspace->name];
        }
        gaps.push_back(std::chrono::duration<double>(it.send_time - last).count());
        last = it.send_time;
    }
    // 60 s at 140/s are 8400 requests; four standard deviations are 367.
    BOOST_TEST(std::abs(by_class["lookup"] + by_class["tag"] - 8400.0) < 367.0);
    BOOST_TEST(std::abs(by_class["lookup"] / by_class["tag"] - 3.0) < 0.3);
    BOOST_TEST(std::abs(by_workspace["large"] / by_workspace["small"] - 20.0) < 6.0);
    double sum = 0.0;
    double squares = 0.0;
    for (const auto it : gaps) {
        sum += it;
        squares += it * it;
    }
    // Exponentially distributed gaps have a standard deviation equal to their mean.
    const auto mean = sum / static_cast<double>(gaps.size());
    const auto deviation = std::sqrt(squares / static_cast<double>(gaps.size()) - mean * mean);
    BOOST_TEST(std::abs(deviation / mean - 1.0) < 0.1);
}

BOOST_AUTO_TEST_CASE(schedule_when_bursts_are_asked_for_sends_whole_bursts_at_the_same_rate) {
    std::map<common::duration, int> sizes;
    int total = 0;
    for (const auto& it : draw_all()) {
        if (it.phase == 1 && it.traffic->name == "tag") {
            ++sizes[it.send_time];
            ++total;
        }
    }
    for (const auto& [at, size] : sizes) {
        BOOST_TEST_REQUIRE(size == 50);
    }
    // 2025/s for 10 s are 405 bursts; four standard deviations are 80 bursts of 50.
    BOOST_TEST(std::abs(total - 20250) < 4000);
}

BOOST_AUTO_TEST_CASE(schedule_when_inputs_recur_gives_equal_requests_for_equal_inputs) {
    std::map<std::string, std::uint64_t> tokens;
    common::duration last{};
    for (const auto& it : draw_all()) {
        BOOST_TEST_REQUIRE((it.send_time >= last));
        last = it.send_time;
        const auto [known, added] = tokens.emplace(it.input, it.max_tokens);
        BOOST_TEST_REQUIRE((added || known->second == it.max_tokens));
        if (it.traffic->name == "lookup") {
            BOOST_TEST_REQUIRE((it.input.size() >= 40 && it.max_tokens >= 4 && it.max_tokens <= 8));
        }
    }
    BOOST_TEST(tokens.size() == 1010U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
