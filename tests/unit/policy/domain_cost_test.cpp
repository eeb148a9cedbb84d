#include "policy/domain_cost.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::policy;

struct domain_cost_fixture {
    transfer_terms terms{.price_ms_per_gb = 25'000, .one_way_ms = 0.9};
};

BOOST_FIXTURE_TEST_SUITE(domain_cost_test, domain_cost_fixture)

BOOST_AUTO_TEST_CASE(cost_of_a_large_result_in_another_domain_has_time_and_price) {
    const auto cost = estimate_cost(terms, {.remote_bytes = 800'000, .remote_passages = 2});
    BOOST_TEST(cost.time_ms == 1.8, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(cost.price_ms == 20, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(cost.bytes == 800'000);
}

BOOST_AUTO_TEST_CASE(cost_without_a_price_is_time_only) {
    terms.price_ms_per_gb = 0;
    BOOST_TEST(!terms.enabled());
    BOOST_TEST(estimate_cost(terms, {.remote_bytes = 1e9, .wait_ms = 3}).total_ms() == 3);
}

// Guards against work that stays in its domain to save bytes while the instances there are full.
BOOST_AUTO_TEST_CASE(wait_at_full_instances_exceeds_the_price_of_a_large_result) {
    BOOST_TEST(queue_wait_ms(0.5) == 0);
    BOOST_TEST(queue_wait_ms(1) > price_of(terms, 2 * 800'000));
    BOOST_TEST(queue_wait_ms(1.5) > queue_wait_ms(1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
