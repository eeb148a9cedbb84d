#include <future>
#include <string>
#include <vector>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "common/digest.h"
#include "support/deployment.h"
#include "support/http_call.h"

namespace jujubemast::tests {

struct caller_limits_fixture {
    deployment system;

    caller_limits_fixture() {
        system.add_pool("encoders", "service", 1, {"--service_time_us=1000000"});
        system.add_entry("requests: {max_in_progress: 2}\n");
        system.publish_membership();
        system.accept_ticket("pools:\n  encoders: {kind: service}\n"
                             "pipelines:\n  encode: {priority: standard, deadline_ms: 9000, "
                             "stages: [{name: encode, pool: encoders, operation: encode}]}\n"
                             "workspaces:\n  demo: {weight: 1, key_sha256: \"" +
                             common::sha256_hex("demo-key") + "\"}\n");
        system.wait_until_ready();
    }

    [[nodiscard]] http::response submit() const {
        return system.submit(0, "encode", R"({"input":"x"})");
    }

    [[nodiscard]] std::int64_t in_progress() const {
        const auto dump =
            boost::json::parse(call(system.entry_admin_address(0), {"GET", "/dump", {}, {}}).body);
        return dump.at("children").at("coordinator").at("detail").at("requests").as_int64();
    }
};

BOOST_FIXTURE_TEST_SUITE(caller_limits_test, caller_limits_fixture)

// Guards against an entry that accumulates requests without limit while its upstreams are slow.
BOOST_AUTO_TEST_CASE(entry_when_too_many_requests_are_in_progress_refuses_more_as_not_run) {
    std::vector<std::future<http::response>> accepted;
    accepted.push_back(std::async(std::launch::async, [this] { return submit(); }));
    accepted.push_back(std::async(std::launch::async, [this] { return submit(); }));
    wait_until("both are in progress", [this] { return in_progress() == 2; });
    const auto refused = submit();
    BOOST_TEST(refused.status == 429U);
    const auto document = boost::json::parse(refused.body);
    BOOST_TEST(document.at("title").as_string() == "overloaded");
    BOOST_TEST(document.at("execution").as_string() == "not_run");
    BOOST_TEST(!http::find_header(refused.fields, "Retry-After").empty());
    for (auto& it : accepted) {
        BOOST_TEST(it.get().status == 200U);
    }
    BOOST_TEST(submit().status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
