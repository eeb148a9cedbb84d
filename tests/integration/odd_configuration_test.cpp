#include <algorithm>
#include <functional>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace jujubemast::tests {

/// Two gateways whose store gets a new version of the configuration with a malformed part. The
/// version replaces the key "key-of-version-1" by "key-of-version-2" and adds the route /added/.
struct odd_configuration_fixture : gateway_fixture {
    // The config_apply_ms of the users' platform.
    static constexpr std::chrono::seconds apply_limit{2};

    /// Writes the version after a change of its document.
    void write_version(const std::function<void(boost::json::value&)>& change) const {
        auto document =
            boost::json::parse(call(store_address, {"GET", "/configuration", {}, {}}).body);
        document.at("version") = 2;
        document.at("tenants").at(0).at("api_keys") =
            boost::json::array{"key-1", "key-of-version-2"};
        auto& routes = document.at("routes").as_array();
        auto added = routes.back().as_object();
        added["name"] = added["prefix"] = "/added/";
        routes.emplace_back(added);
        change(document);
        call(store_address, {"POST", "/configuration-bytes", {}, boost::json::serialize(document)});
    }

    /// Writes the version with this value of the member `stages` in the route /draft/.
    void write_version_with_stages(const boost::json::value& stages) const {
        write_version([&](auto& document) { document.at("routes").at(0).at("stages") = stages; });
    }

    static boost::json::object stage(const boost::json::array& after) {
        return {{"service", "stages"}, {"after", after}, {"byte_count", 100}};
    }

    void check_version_is_in_force() const {
        const auto limit = std::chrono::steady_clock::now() + apply_limit;
        for (std::size_t n = 0; n < gateways.size(); ++n) {
            wait_until("the new key is known", [&] {
                return status_with_key_of(2, n) == 200 || std::chrono::steady_clock::now() > limit;
            });
            BOOST_TEST(status_with_key_of(2, n) == 200U);
            BOOST_TEST(status_with_key_of(1, n) != 200U);
            BOOST_TEST(send("GET", "/added/1", "added", {}, n).status == 200U);
            BOOST_TEST(ready_status(n) == 200U);
        }
    }

    received_response send_draft(const std::string& attempt) const {
        return send("POST", "/draft/1", attempt,
                    {{"X-Model", "m"}, {"X-Pieces", "1,2"}, {"X-Piece-Key", "k"}});
    }
};

BOOST_FIXTURE_TEST_SUITE(odd_configuration_test, odd_configuration_fixture)

// Guards against a withdrawn key that still runs requests, because a version of the configuration
// is dropped as a whole for the order of a route's stages.
BOOST_AUTO_TEST_CASE(version_with_a_stage_that_needs_a_later_one_is_in_force) {
    BOOST_REQUIRE(status_with_key_of(1, 0) == 200U);
    write_version_with_stages({stage({1}), stage({})});
    check_version_is_in_force();
    BOOST_TEST(send_draft("draft").complete);
    // The second stage is made first, and its two results are the inputs of the first one.
    const auto calls = records("draft");
    const auto is_call_of_stage = [](const boost::json::object& it, int number) {
        return it.at("target").as_string() == "/stage-run" &&
               it.at("body").as_string().find("\"stage\":" + std::to_string(number)) !=
                   boost::json::string::npos;
    };
    const auto first_of = [&](int number) {
        return std::find_if(calls.begin(), calls.end(),
                            [&](const auto& it) { return is_call_of_stage(it, number); });
    };
    BOOST_REQUIRE((first_of(0) != calls.end()));
    BOOST_TEST((first_of(1) < first_of(0)));
    BOOST_TEST(first_of(0)->at("body").as_string().find("\"inputs\"") != boost::json::string::npos);
}

// Guards against a malformed route that keeps the rest of its version out of force, and against its
// requests that wait until their deadline.
BOOST_AUTO_TEST_CASE(version_with_a_malformed_route_is_in_force_for_the_other_routes) {
    write_version_with_stages({stage({1}), stage({0})});
    check_version_is_in_force();
    const auto begin = std::chrono::steady_clock::now();
    const auto refused = send_draft("draft");
    BOOST_TEST((std::chrono::steady_clock::now() - begin < std::chrono::seconds{1}));
    BOOST_TEST(refused.status == 503U);
    BOOST_TEST(records("draft").empty());
    const auto log = gateways[0]->log();
    BOOST_TEST(log.find("Could not decode a part of the configuration.") != std::string::npos);
    BOOST_TEST(log.find("unusable_route") != std::string::npos);
}

// Guards against a gateway that never becomes ready because it starts with a malformed route.
BOOST_AUTO_TEST_CASE(gateway_that_starts_with_a_malformed_route_is_ready) {
    write_version_with_stages("no stages");
    check_version_is_in_force();
    add_gateway(2, 1);
    BOOST_TEST(status_with_key_of(2, 2) == 200U);
    BOOST_TEST(status_with_key_of(1, 2) != 200U);
}

// Guards against gateways that get a version from others and drop it as a whole.
BOOST_AUTO_TEST_CASE(version_with_a_malformed_route_is_in_force_at_gateways_that_follow_others) {
    add_gateway(2, 1);
    add_gateway(3, 1);
    const auto followers = [&] {
        return std::count_if(gateways.begin(), gateways.end(), [](const auto& it) {
            return it->log().find("Follows other gateways.") != std::string::npos;
        });
    };
    wait_until("two gateways follow the others", [&] { return followers() == 2; });
    write_version_with_stages({stage({1}), stage({0})});
    check_version_is_in_force();
}

// Guards against a permanent refusal of a request that a malformed part may allow.
BOOST_AUTO_TEST_CASE(request_that_a_malformed_part_may_allow_is_refused_for_now) {
    BOOST_TEST(status_with_key_of(7, 0) == 401U);
    BOOST_TEST(send("GET", "/unknown/1", "unknown").status == 404U);
    write_version([](auto& document) {
        document.at("tenants").as_array().emplace_back(boost::json::object{{"name", "v"}});
        document.at("routes").as_array().emplace_back(boost::json::object{{"host", "a.example"}});
    });
    check_version_is_in_force();
    BOOST_TEST(status_with_key_of(7, 0) == 503U);
    BOOST_TEST(status_with_key_of(1, 0) == 503U);
    BOOST_TEST(send("GET", "/unknown/1", "unknown").status == 503U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
