#include "gateway/instances/domain_index.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::instances;

struct domain_index_fixture {
    domain_index subject;

    static upstream_map_pointer upstreams_in(const std::string& domain) {
        const upstream_map known{
            {"i", {.id = "i", .address = {"10.0.0.1", 80}, .failure_domain = domain}}};
        return std::make_shared<const upstream_map>(known);
    }
};

BOOST_FIXTURE_TEST_SUITE(domain_index_test, domain_index_fixture)

BOOST_AUTO_TEST_CASE(domain_of_a_result_is_that_of_its_instance) {
    const auto known = upstreams_in("fd-1");
    BOOST_TEST(subject.domain_of("10.0.0.1:80/17", known) == "fd-1");
    BOOST_TEST(subject.domain_of("10.0.0.2:80/17", known).empty());
    BOOST_TEST(subject.domain_of("", nullptr).empty());
}

// Guards against an address that is reused in another domain.
BOOST_AUTO_TEST_CASE(domain_after_a_change_of_the_upstreams_is_the_new_one) {
    BOOST_TEST(subject.domain_of("10.0.0.1:80/17", upstreams_in("fd-1")) == "fd-1");
    BOOST_TEST(subject.domain_of("10.0.0.1:80/17", upstreams_in("fd-2")) == "fd-2");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
