#include "gateway/instances/domain_balance.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::gateway::instances;
using std::chrono::milliseconds;

/// A gateway in the first of three domains with 20 slots and two gateways each.
struct domain_balance_fixture {
    domain_balance subject{policy::make_gradual_overflow({})};
    domain_balance::slot_counts slots{{"fd-0", 20}, {"fd-1", 20}, {"fd-2", 20}};
    common::time_point now{std::chrono::seconds{100}};

    domain_balance_fixture() {
        subject.set_gateways("fd-0", {{"fd-0", 2}, {"fd-1", 2}, {"fd-2", 2}});
    }

    /// Returns how often each domain is chosen in 1,000 requests within 10 s.
    std::map<std::string, int> choose(std::size_t in_progress) {
        std::map<std::string, int> counts;
        for (int n = 0; n < 1000; ++n) {
            now += milliseconds{10};
            ++counts[subject.choose(slots, in_progress, now)];
        }
        return counts;
    }
};

BOOST_FIXTURE_TEST_SUITE(domain_balance_test, domain_balance_fixture)

// Guards against single calls that cross domains by the draw of an instance: with four domains more
// than half of them did.
BOOST_AUTO_TEST_CASE(balance_at_ordinary_load_keeps_all_requests_in_the_own_domain) {
    BOOST_TEST(choose(6)["fd-0"] == 1000);
}

BOOST_AUTO_TEST_CASE(balance_of_a_domain_with_fewer_instances_sends_the_rest_to_the_others) {
    slots["fd-0"] = 4;
    choose(6);
    auto counts = choose(6);
    BOOST_TEST(counts["fd-0"] > 150);
    BOOST_TEST(counts["fd-0"] < 350);
    BOOST_TEST(counts["fd-1"] > 300);
    BOOST_TEST(counts["fd-2"] > 300);
}

BOOST_AUTO_TEST_CASE(balance_of_a_domain_without_instances_sends_all_requests_at_once) {
    choose(6);
    slots["fd-0"] = 0;
    BOOST_TEST(choose(6)["fd-0"] == 0);
}

// Guards against instances that have just returned and get their full load at once.
BOOST_AUTO_TEST_CASE(balance_after_the_return_of_the_instances_brings_requests_back_gradually) {
    slots["fd-0"] = 0;
    choose(6);
    slots["fd-0"] = 20;
    const auto back = choose(6)["fd-0"];
    BOOST_TEST(back > 300);
    BOOST_TEST(back < 700);
    choose(6);
    BOOST_TEST(choose(6)["fd-0"] == 1000);
}

// Guards against a gateway that is not in the list of gateways yet and takes its demand for zero.
BOOST_AUTO_TEST_CASE(balance_without_known_gateways_counts_its_own_requests) {
    subject.set_gateways("fd-0", {});
    choose(60);
    BOOST_TEST(choose(60)["fd-0"] < 500);
}

BOOST_AUTO_TEST_CASE(balance_in_a_single_domain_chooses_none) {
    slots = {{"fd-0", 20}};
    BOOST_TEST(choose(60)[""] == 1000);
}

BOOST_AUTO_TEST_CASE(balance_without_a_hook_chooses_none) {
    subject = domain_balance{{}};
    subject.set_gateways("fd-0", {{"fd-0", 2}});
    BOOST_TEST(choose(6)[""] == 1000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
