#include "gateway/ownership.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::gateway;

struct ownership_fixture {
    std::vector<owner_candidate> candidates{{"a", 0.5}, {"b", 0.09}, {"c", 0.25}, {"d", 0.2}};
};

BOOST_FIXTURE_TEST_SUITE(ownership_test, ownership_fixture)

// Guards against owners that have too little processor time for the orders of all gateways.
BOOST_AUTO_TEST_CASE(eligible_owners_have_at_least_half_of_the_largest_share) {
    BOOST_TEST(eligible_owners(candidates) == (std::vector<std::string>{"a", "c"}),
               boost::test_tools::per_element());
}

// Guards against services without an owner when all large gateways are gone.
BOOST_AUTO_TEST_CASE(eligible_owners_without_large_gateways_are_the_small_ones) {
    candidates = {{"b", 0.09}, {"e", 0.09}};
    BOOST_TEST(eligible_owners(candidates) == (std::vector<std::string>{"b", "e"}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(eligible_owners_with_unknown_shares_are_all) {
    candidates = {{"a", 0}, {"b", 0}};
    BOOST_TEST(eligible_owners(candidates).size() == 2U);
}

// Guards against moving a service when a gateway that did not own it is lost.
BOOST_AUTO_TEST_CASE(choose_owner_without_a_gateway_moves_only_its_services) {
    for (int n = 0; n < 50; ++n) {
        const auto service = "s" + std::to_string(n);
        const auto before = choose_owner(service, {"a", "b", "c"});
        const auto after = choose_owner(service, {"a", "b"});
        BOOST_TEST((before == "c" || before == after));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
