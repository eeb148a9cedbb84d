#include "gateway/instances/drained_services.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::instances;

/// Two instances of a service.
struct drained_services_fixture {
    upstream_map known{{"a", {.id = "a", .service = "s"}}, {"b", {.id = "b", .service = "s"}}};

    [[nodiscard]] bool is_drained() const { return find_drained_services(known).contains("s"); }
};

BOOST_FIXTURE_TEST_SUITE(drained_services_test, drained_services_fixture)

BOOST_AUTO_TEST_CASE(service_with_an_instance_outside_the_drained_domains_is_usable) {
    known["a"].domain_drained = true;
    BOOST_TEST(!is_drained());
    known["b"].domain_drained = true;
    BOOST_TEST(is_drained());
}

// Guards against stages that are made for a request that no instance takes: the only one outside
// the drained domains is about to stop.
BOOST_AUTO_TEST_CASE(service_whose_other_instances_stop_counts_as_drained) {
    known["a"].domain_drained = true;
    known["b"].phase = upstream_phase::draining;
    BOOST_TEST(is_drained());
}

// Guards against a reason that misleads the operator.
BOOST_AUTO_TEST_CASE(service_without_drained_instances_does_not_count_as_drained) {
    known["a"].phase = known["b"].phase = upstream_phase::draining;
    BOOST_TEST(!is_drained());
    known.clear();
    BOOST_TEST(!is_drained());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
