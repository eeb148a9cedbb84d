#include "gateway/listener_limits.h"

#include <boost/test/unit_test.hpp>

#include "gateway/descriptor_shares.h"

namespace jujubemast::tests {

struct listener_limits_fixture {};

BOOST_FIXTURE_TEST_SUITE(listener_limits_test, listener_limits_fixture)

// Guards against shares that together exceed what they divide.
BOOST_AUTO_TEST_CASE(shares_of_memory_and_descriptors_leave_a_quarter_for_the_rest) {
    for (const std::size_t megabytes : {64, 120, 160, 512, 16'000}) {
        const auto bytes = megabytes * 1'000'000;
        const auto memory = gateway::divide_memory(bytes);
        BOOST_TEST(memory.request_bodies + memory.response_bodies + memory.output + memory.input +
                       memory.admin_output <=
                   bytes / 4 * 3);
    }
    for (const std::size_t limit : {256, 1024, 20'000, 1'000'000}) {
        const auto shares = gateway::divide_descriptors(limit);
        // Each request of a caller may need a connection to an instance.
        BOOST_TEST(2 * shares.callers + shares.ready + shares.admin + 3 * shares.refusals <=
                   limit - 32);
    }
}

// Guards against a limit of the configuration that is ignored, or one of the settings that is lost.
BOOST_AUTO_TEST_CASE(limits_without_a_value_in_the_configuration_are_those_of_the_settings) {
    http::server_limits settings;
    settings.max_body_bytes = 7000;
    auto found = gateway::limits_of_requests(settings, nullptr);
    BOOST_TEST(found.max_body_bytes == 7000U);
    BOOST_TEST(found.max_header_bytes == settings.max_header_bytes);
    BOOST_TEST((found.header_timeout == settings.read_timeout));
    gateway::configuration configuration;
    configuration.limits.max_header_bytes = 500;
    configuration.limits.header_timeout = std::chrono::seconds{3};
    found = gateway::limits_of_requests(
        settings, std::make_shared<const gateway::configuration>(configuration));
    BOOST_TEST(found.max_header_bytes == 500U);
    BOOST_TEST(found.max_body_bytes == 7000U);
    BOOST_TEST((found.header_timeout == std::chrono::seconds{3}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
