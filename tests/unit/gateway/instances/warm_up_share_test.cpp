#include "gateway/instances/warm_up_share.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::instances;
using std::chrono::seconds;

struct warm_up_share_fixture {
    static constexpr double rate = 9.3;
    static constexpr std::uint64_t instance = 77;
    common::time_point start{seconds{100}};
    common::time_point now = start;

    static std::vector<std::string> names(std::size_t count) {
        std::vector<std::string> result;
        for (std::size_t n = 0; n < count; ++n) {
            result.push_back("g" + std::to_string(n));
        }
        return result;
    }

    /// Returns a share that knows the names for long.
    warm_up_share make_established(const std::string& self,
                                   const std::vector<std::string>& known) const {
        warm_up_share result{self};
        result.set_names(known, start - seconds{100});
        result.confirm_names(start);
        return result;
    }
};

BOOST_FIXTURE_TEST_SUITE(warm_up_share_test, warm_up_share_fixture)

BOOST_AUTO_TEST_CASE(permits_of_any_number_of_gateways_sum_up_to_the_divided_part) {
    for (const std::size_t count : {1U, 2U, 5U, 14U, 27U, 100U, 350U}) {
        const auto known = names(count);
        std::size_t sum = 0;
        for (const auto& it : known) {
            sum += make_established(it, known).permits(instance, rate, now).count;
        }
        BOOST_TEST(sum == divide_warm_up_rate(rate).full, "gateways: " << count);
    }
}

// Guards against parts of gateways with different names of which the sum exceeds the total.
BOOST_AUTO_TEST_CASE(part_of_a_gateway_when_another_is_added_at_any_rank_does_not_rise) {
    for (std::size_t total = 1; total < 40; ++total) {
        for (std::size_t count = 1; count < 60; ++count) {
            for (std::size_t rank = 0; rank < count; ++rank) {
                const auto before = deal_permits(total, rank, count);
                BOOST_REQUIRE(deal_permits(total, rank, count + 1) <= before);
                BOOST_REQUIRE(deal_permits(total, rank + 1, count + 1) <= before);
            }
        }
    }
}

// Guards against a limit above what an instance tolerates, with both shares in use.
BOOST_AUTO_TEST_CASE(total_of_full_and_reduced_shares_is_what_a_cold_instance_tolerates) {
    BOOST_TEST(divide_warm_up_rate(9.3).full == 14U);
    BOOST_TEST(divide_warm_up_rate(9.3).reduced == 4U);
    BOOST_TEST(divide_warm_up_rate(0).full == 4U);
    BOOST_TEST(divide_warm_up_rate(0).reduced == 1U);
}

// Guards against a new gateway that adds to the permits of others that do not know it yet.
BOOST_AUTO_TEST_CASE(new_gateway_gets_its_full_share_after_all_others_know_it) {
    warm_up_share subject{"g0"};
    BOOST_TEST(subject.permits(instance, rate, now).count == 0U);
    subject.set_names({"g0"}, now);
    BOOST_TEST((subject.level(now) == share_level::none));
    const auto reduced_at = now + warm_up_share_options{}.join_delay + send_window::length;
    BOOST_TEST((subject.permits(instance, rate, now).next_change == reduced_at));
    now = reduced_at;
    BOOST_TEST((subject.level(now) == share_level::reduced));
    now = *subject.permits(instance, rate, now).next_change;
    subject.confirm_names(now);
    BOOST_TEST((subject.level(now) == share_level::full));
    BOOST_TEST(subject.permits(instance, rate, now).count == 14U);
}

// Guards against gateways that join while this one is cut off from the store and all others.
BOOST_AUTO_TEST_CASE(gateway_whose_names_are_not_confirmed_has_the_reduced_share) {
    auto subject = make_established("g0", {"g0"});
    now += warm_up_share_options{}.max_names_age + std::chrono::milliseconds{1};
    BOOST_TEST((subject.level(now) == share_level::reduced));
    BOOST_TEST(subject.permits(instance, rate, now).count == 4U);
    subject.confirm_names(now);
    BOOST_TEST((subject.level(now) == share_level::full));
}

// Guards against the permits of a gateway that stops and still sends being used by others.
BOOST_AUTO_TEST_CASE(gateway_that_is_removed_counts_until_its_last_sends_have_left_the_window) {
    auto subject = make_established("g0", {"g0", "g1"});
    subject.set_names({"g0"}, now);
    BOOST_TEST(subject.permits(instance, rate, now).count == 7U);
    now += warm_up_share_options{}.max_names_age + send_window::length;
    subject.confirm_names(now);
    BOOST_TEST(subject.permits(instance, rate, now).count == 14U);
}

// Guards against a gateway that is forgotten although its row came back while this process was
// frozen. Found by the property test.
BOOST_AUTO_TEST_CASE(gateway_that_is_removed_counts_again_after_a_time_without_confirmations) {
    auto subject = make_established("g0", {"g0", "g1"});
    subject.set_names({"g0"}, now);
    now += seconds{10};
    subject.set_names({"g0"}, now);
    subject.confirm_names(now);
    BOOST_TEST(subject.permits(instance, rate, now).count == 7U);
}

// Guards against a gateway whose row was removed by mistake: the others forget it.
BOOST_AUTO_TEST_CASE(gateway_that_is_not_among_the_names_has_no_permits) {
    auto subject = make_established("g0", {"g0", "g1"});
    subject.set_names({"g1"}, now);
    BOOST_TEST((subject.level(now) == share_level::none));
    BOOST_TEST(subject.permits(instance, rate, now).count == 0U);
}

BOOST_AUTO_TEST_CASE(end_of_the_cold_time_is_the_latest_of_row_and_start) {
    upstream_instance it;
    BOOST_TEST(!cold_end(it, seconds{3}).has_value());
    it.warms_up_from = now;
    BOOST_TEST((cold_end(it, seconds{3}) == now + seconds{3}));
    it.cold_until = now + seconds{2};
    BOOST_TEST((cold_end(it, seconds{3}) == now + seconds{3}));
    it.cold_until = now + seconds{5};
    BOOST_TEST((cold_end(it, seconds{3}) == now + seconds{5}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
