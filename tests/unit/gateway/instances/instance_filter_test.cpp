#include "gateway/instances/instance_filter.h"

#include <boost/test/unit_test.hpp>

#include "gateway/instances/drained_services.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::instances;

/// Two instances of a service with different software versions.
struct instance_filter_fixture {
    instance_filter subject;
    upstream_map known{{"a", {.id = "a", .service = "s", .version = "v1"}},
                       {"b", {.id = "b", .service = "s", .version = "v2"}}};
};

BOOST_FIXTURE_TEST_SUITE(instance_filter_test, instance_filter_fixture)

BOOST_AUTO_TEST_CASE(filter_without_versions_allows_every_instance) {
    BOOST_TEST(subject.allows(known["a"]));
    BOOST_TEST(subject.allows(known["b"]));
    BOOST_TEST(!subject.is_restricted());
}

BOOST_AUTO_TEST_CASE(filter_that_is_bound_to_a_version_allows_only_its_instances) {
    const auto bound = subject.bound_to("v1");
    BOOST_TEST(bound.allows(known["a"]));
    BOOST_TEST(!bound.allows(known["b"]));
    BOOST_TEST(bound.is_restricted());
}

// Guards against requests that take each other for restricted while a version is not listed yet:
// all of them wait for the same instances.
BOOST_AUTO_TEST_CASE(filter_with_listed_versions_is_not_restricted) {
    const auto listed = subject.with_versions({"v2"});
    BOOST_TEST(!listed.allows(known["a"]));
    BOOST_TEST(listed.allows(known["b"]));
    BOOST_TEST(!listed.is_restricted());
    BOOST_TEST(!subject.with_versions({}).allows(known["a"]));
}

BOOST_AUTO_TEST_CASE(service_whose_instance_of_the_version_stops_has_none_for_a_bound_request) {
    BOOST_TEST(has_instance_in(known, "s", subject.bound_to("v1")));
    known["a"].phase = upstream_phase::draining;
    BOOST_TEST(!has_instance_in(known, "s", subject.bound_to("v1")));
    BOOST_TEST(has_instance_in(known, "s", subject));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
