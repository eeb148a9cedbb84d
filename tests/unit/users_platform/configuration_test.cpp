#include "configuration.h"

#include <algorithm>
#include <set>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "common/error.h"
#include "gateway/stages/stage_progress.h"
#include "support/property.h"

namespace jujubemast::tests {

/// A configuration with three routes, two services and two workspaces, parts of which the test
/// cases replace. The routes "plain" and "other" need only the service "desk".
struct configuration_fixture {
    boost::json::value document = boost::json::parse(R"({
        "version": 12,
        "routes": [
            {"name": "plain", "host": "h", "prefix": "/plain/", "kind": "unsafe",
             "service": "desk", "timeout_ms": 800},
            {"name": "staged", "host": "h", "prefix": "/staged/", "kind": "streaming",
             "service": "pool", "timeout_ms": 12000, "goal_ms": 1500, "priority": 1,
             "max_attempts": 2, "public": false, "resumable": true, "gap_target_ms": 600,
             "stages": [{"service": "maker", "after": [], "byte_count": 8000},
                        {"service": "maker", "after": [0], "byte_count": 600}]},
            {"name": "other", "host": "h", "prefix": "/other/", "kind": "safe",
             "traffic_split": [{"service": "desk", "weight": 1}], "timeout_ms": 800}],
        "services": [
            {"name": "desk", "max_conns": 9},
            {"name": "maker", "pieces": {"slots": 1, "queue": 2, "batch": 8, "call_ms": 240,
             "item_ms": 26, "headroom_mb": 9.6, "handle_s": 4}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "w", "api_keys": ["k1", "k2"], "priority": 0},
                    {"name": "v", "api_keys": ["k3"]}]})");

    static gateway::configuration decode(const std::string& text) {
        auto result = users_platform::decode_configuration({"config", text, 3});
        BOOST_REQUIRE(result.has_value());
        gateway::index_routes(*result);
        gateway::check_stages(*result);
        return std::move(*result);
    }

    [[nodiscard]] gateway::configuration decode() const {
        return decode(boost::json::serialize(document));
    }

    /// Returns the configuration in which the value at a JSON pointer is replaced by other bytes.
    /// An empty value removes the member.
    [[nodiscard]] gateway::configuration decode_with(const std::string& pointer,
                                                     const std::string& value) const {
        constexpr const char* mark = "the value to replace";
        auto edited = document;
        const auto end = pointer.rfind('/');
        auto& parent = edited.at_pointer(pointer.substr(0, end));
        const auto member = pointer.substr(end + 1);
        if (parent.is_array()) {
            parent.as_array().at(std::stoul(member)) = mark;
        } else if (value.empty()) {
            parent.as_object().erase(member);
            return decode(boost::json::serialize(edited));
        } else {
            parent.as_object()[member] = mark;
        }
        auto text = boost::json::serialize(edited);
        const auto quoted = '"' + std::string{mark} + '"';
        text.replace(text.find(quoted), quoted.size(), value);
        return decode(text);
    }

    static bool is_usable(const gateway::configuration& config, const std::string& path) {
        const auto* route = gateway::find_route(config, "h", path);
        BOOST_REQUIRE(route != nullptr);
        return route->usable;
    }

    static bool names_element(const gateway::configuration& config, const std::string& element) {
        return std::any_of(config.faults.begin(), config.faults.end(), [&](const auto& it) {
            return it.element.find(element) != std::string::npos && !it.reason.empty();
        });
    }
};

BOOST_FIXTURE_TEST_SUITE(configuration_test, configuration_fixture)

BOOST_AUTO_TEST_CASE(service_with_a_warm_up_rate_has_a_limit_for_its_cold_instances) {
    auto& desk = document.at("services").at(0).as_object();
    desk["cold_s"] = 3;
    BOOST_TEST(!decode().services.at("desk").warm_up.has_value());
    desk["cold_per_s"] = 0;
    BOOST_TEST(!decode().services.at("desk").warm_up.has_value());
    desk["cold_per_s"] = 9.3;
    const auto limit = decode().services.at("desk").warm_up;
    BOOST_REQUIRE(limit.has_value());
    BOOST_TEST(limit->rate == 9.3);
    BOOST_TEST((limit->time == std::chrono::seconds{3}));
}

// Guards against instances that crash because their limit could not be decoded.
BOOST_AUTO_TEST_CASE(service_with_a_malformed_warm_up_rate_has_the_lowest_limit) {
    for (const auto* value : {R"("9")", "-1", "1e300", "[]"}) {
        auto& desk = document.at("services").at(0).as_object();
        desk["cold_s"] = 3;
        desk["cold_per_s"] = boost::json::parse(value);
        const auto config = decode();
        const auto limit = config.services.at("desk").warm_up;
        BOOST_REQUIRE(limit.has_value());
        BOOST_TEST(limit->rate == 0);
        BOOST_TEST(config.faults.size() == 1U);
        BOOST_TEST(config.services.at("desk").max_connections.has_value());
    }
}

BOOST_AUTO_TEST_CASE(valid_configuration_has_no_faults) {
    const auto config = decode();
    BOOST_TEST(config.faults.empty());
    BOOST_TEST(config.routes_complete);
    BOOST_TEST(config.keys_complete);
    BOOST_TEST(config.keys_required);
    BOOST_TEST(is_usable(config, "/staged/1"));
    BOOST_TEST(gateway::find_workspace(config, "k3")->name == "v");
}

// Guards against dropping a whole version, and the withdrawal of keys with it, because a stage
// needs the results of a later one.
BOOST_AUTO_TEST_CASE(stage_that_depends_on_a_later_one_is_decoded) {
    const auto config =
        decode_with("/routes/1/stages", R"([{"service": "maker", "after": [1], "byte_count": 600},)"
                                        R"({"service": "maker", "after": []}])");
    BOOST_TEST(config.faults.empty());
    const auto* route = gateway::find_route(config, "h", "/staged/1");
    BOOST_TEST(route->usable);
    BOOST_TEST(route->stages.at(0).dependencies == std::vector<std::size_t>{1},
               boost::test_tools::per_element());
}

// Guards against a piece that gets the same input twice.
BOOST_AUTO_TEST_CASE(dependency_that_is_listed_twice_counts_once) {
    const auto config =
        decode_with("/routes/1/stages", R"([{"service": "maker", "after": []},)"
                                        R"({"service": "maker", "after": [0, 0]}])");
    const auto& stages = gateway::find_route(config, "h", "/staged/1")->stages;
    gateway::stages::stage_progress progress{stages, {2, 1}};
    progress.complete(0, {"h1", "h2"});
    BOOST_TEST(progress.inputs_of(1) == (std::vector<std::string>{"h1", "h2"}),
               boost::test_tools::per_element());
}

// Guards against an old version that stays in force, with withdrawn keys and dropped routes,
// because one route of the new version is malformed.
BOOST_AUTO_TEST_CASE(malformed_route_is_unusable_and_the_rest_of_the_version_is_decoded) {
    const std::vector<std::pair<const char*, std::vector<const char*>>> odd_values{
        {"kind", {"", "null", "7", R"("batch")"}},
        {"timeout_ms", {"", "null", R"("800")", "-1", "1e300", "[]"}},
        {"service", {"", "null", "7", "{}"}},
        {"traffic_split",
         {"[]", "7", "{}", R"(["desk"])", R"([{"service": "desk"}])", R"([{"weight": 1}])",
          R"([{"service": "desk", "weight": -1}])", R"([{"service": "desk", "weight": 0}])"}},
        {"stages",
         {"{}", "7", "[7]", "[{}]", R"([{"service": 7}])", R"([{"service": "maker", "after": 0}])",
          R"([{"service": "maker", "after": [0]}])", R"([{"service": "maker", "after": [1]}])",
          R"([{"service": "maker", "after": [-1]}])", R"([{"service": "maker", "after": [0.5]}])",
          R"([{"service": "maker", "after": ["0"]}])",
          R"([{"service": "maker", "after": [1]}, {"service": "maker", "after": [0]}])"}}};
    for (const auto& [member, values] : odd_values) {
        for (const auto* value : values) {
            BOOST_TEST_CONTEXT(member << " " << value) {
                const auto config = decode_with(std::string{"/routes/1/"} + member, value);
                BOOST_TEST(!is_usable(config, "/staged/1"));
                BOOST_TEST(names_element(config, "staged"));
                BOOST_TEST(is_usable(config, "/plain/1"));
                BOOST_TEST(is_usable(config, "/other/1"));
                BOOST_TEST(config.workspaces_by_key.size() == 3U);
                BOOST_TEST(config.keys_complete);
            }
        }
    }
}

// Guards against a request that runs in a region that the operator has excluded, because the list
// of regions could not be decoded.
BOOST_AUTO_TEST_CASE(malformed_regions_make_the_route_or_the_workspace_unusable) {
    for (const auto* value : {"7", R"("r1")", "{}", "[7]", "[null]", R"(["r1", ""])"}) {
        BOOST_TEST_CONTEXT(value) {
            const auto route = decode_with("/routes/1/allowed_regions", value);
            BOOST_TEST(!is_usable(route, "/staged/1"));
            BOOST_TEST(is_usable(route, "/plain/1"));
            BOOST_TEST(names_element(route, "staged"));
            const auto tenant = decode_with("/tenants/0/allowed_regions", value);
            BOOST_TEST(!gateway::find_workspace(tenant, "k1")->usable);
            BOOST_TEST(gateway::find_workspace(tenant, "k3")->usable);
            BOOST_TEST(names_element(tenant, "tenants[0]"));
        }
    }
}

BOOST_AUTO_TEST_CASE(regions_of_routes_and_workspaces_are_decoded) {
    const auto config = decode_with("/routes/1/allowed_regions", R"(["r1", "r2"])");
    const auto& regions = gateway::find_route(config, "h", "/staged/1")->regions;
    BOOST_TEST(regions.allows("r2"));
    BOOST_TEST(!regions.allows("r3"));
    BOOST_TEST(!regions.allows(""));
    BOOST_TEST(!gateway::find_route(config, "h", "/plain/1")->regions.is_restricted());
    const auto tenant = decode_with("/tenants/0/allowed_regions", R"(["r2", "r3"])");
    const auto both = regions.restricted_by(gateway::find_workspace(tenant, "k1")->regions);
    BOOST_TEST((both.names() == std::set<std::string>{"r2"}));
    // An empty list allows no region.
    const auto none = decode_with("/routes/1/allowed_regions", "[]");
    BOOST_TEST(is_usable(none, "/staged/1"));
    BOOST_TEST(!gateway::find_route(none, "h", "/staged/1")->regions.allows("r1"));
}

// Guards against a route that is unusable because of a member with a default.
BOOST_AUTO_TEST_CASE(route_with_a_malformed_option_uses_the_default) {
    const std::vector<std::pair<const char*, std::vector<const char*>>> odd_values{
        {"name", {"", "null", "7"}},
        {"resumable", {R"("yes")", "1"}},
        {"public", {R"("yes")", "1"}},
        {"goal_ms", {"-1", R"("1")", "1e300"}},
        {"gap_target_ms", {"-1", "[]"}},
        {"priority", {"-1", "1.5", "1e300", R"("high")"}},
        {"max_attempts", {"0", "-1", "1e300", "{}"}}};
    for (const auto& [member, values] : odd_values) {
        for (const auto* value : values) {
            BOOST_TEST_CONTEXT(member << " " << value) {
                const auto config = decode_with(std::string{"/routes/1/"} + member, value);
                BOOST_TEST(is_usable(config, "/staged/1"));
                BOOST_TEST(config.faults.size() == 1U);
                BOOST_TEST(!gateway::find_route(config, "h", "/staged/1")->is_public);
            }
        }
    }
}

// Guards against members that a writer sets to null where it means that they are missing.
BOOST_AUTO_TEST_CASE(optional_member_that_is_null_counts_as_missing) {
    for (const auto* pointer :
         {"/routes/1/stages", "/routes/1/stages/0/after", "/routes/1/stages/0/byte_count",
          "/routes/1/traffic_split", "/routes/1/resumable", "/routes/1/public", "/routes/1/goal_ms",
          "/routes/1/gap_target_ms", "/routes/1/priority", "/routes/1/max_attempts",
          "/services/0/max_conns", "/services/1/pieces", "/limits", "/limits/idle_timeout_ms",
          "/limits/max_header_bytes", "/limits/max_body_bytes", "/limits/header_timeout_ms",
          "/tenants/0/priority"}) {
        BOOST_TEST_CONTEXT(pointer) {
            const auto config = decode_with(pointer, "null");
            BOOST_TEST(config.faults.empty());
            BOOST_TEST(is_usable(config, "/staged/1"));
            BOOST_TEST(config.workspaces_by_key.size() == 3U);
        }
    }
}

// Guards against a permanent refusal of a request whose route could not be identified.
BOOST_AUTO_TEST_CASE(route_without_host_or_prefix_leaves_the_routes_incomplete) {
    for (const auto* value : {"7", "null", "[]", "{}", R"({"host": "h"})", R"({"prefix": "/p/"})",
                              R"({"host": 7, "prefix": "/p/"})"}) {
        BOOST_TEST_CONTEXT(value) {
            const auto config = decode_with("/routes/1", value);
            BOOST_TEST(!config.routes_complete);
            BOOST_TEST(names_element(config, "routes[1]"));
            BOOST_TEST(is_usable(config, "/plain/1"));
            BOOST_TEST(is_usable(config, "/other/1"));
            BOOST_TEST(config.workspaces_by_key.size() == 3U);
        }
    }
    for (const auto* value : {"", "null", "{}", "7"}) {
        const auto config = decode_with("/routes", value);
        BOOST_TEST(!config.routes_complete);
        BOOST_TEST(config.workspaces_by_key.size() == 3U);
    }
}

// Guards against a key that stays in force, or that everyone may do without, because the list of
// keys is malformed.
BOOST_AUTO_TEST_CASE(malformed_workspace_has_no_keys_and_leaves_the_keys_incomplete) {
    for (const auto* value :
         {"7", "null", "{}", R"({"name": "w"})", R"({"name": "w", "api_keys": null})",
          R"({"name": "w", "api_keys": "k1"})", R"({"name": 7, "api_keys": ["k1"]})",
          R"({"name": "", "api_keys": ["k1"]})", R"({"api_keys": ["k1"]})"}) {
        BOOST_TEST_CONTEXT(value) {
            const auto config = decode_with("/tenants/0", value);
            BOOST_TEST(!config.keys_complete);
            BOOST_TEST(config.keys_required);
            BOOST_TEST(config.workspaces_by_key.size() == 1U);
            BOOST_TEST(is_usable(config, "/staged/1"));
        }
    }
    for (const auto* value : {"null", "{}", "7"}) {
        const auto config = decode_with("/tenants", value);
        BOOST_TEST(!config.keys_complete);
        BOOST_TEST(config.keys_required);
        BOOST_TEST(config.workspaces_by_key.empty());
    }
}

BOOST_AUTO_TEST_CASE(malformed_key_is_left_out) {
    for (const auto* value : {"7", "null", R"("")", "[]"}) {
        BOOST_TEST_CONTEXT(value) {
            const auto config = decode_with("/tenants/0/api_keys/0", value);
            BOOST_TEST(!config.keys_complete);
            BOOST_TEST(gateway::find_workspace(config, "k1") == nullptr);
            BOOST_TEST(gateway::find_workspace(config, "") == nullptr);
            BOOST_TEST(gateway::find_workspace(config, "k2")->name == "w");
        }
    }
    const auto config = decode_with("/tenants/0/priority", R"("high")");
    BOOST_TEST(config.keys_complete);
    BOOST_TEST(config.faults.size() == 1U);
    BOOST_TEST(!gateway::find_workspace(config, "k1")->priority.has_value());
}

BOOST_AUTO_TEST_CASE(malformed_service_has_no_limits) {
    for (const auto* value : {"0", "-1", "1.5", R"("9")", "1e300"}) {
        BOOST_TEST(!decode_with("/services/0/max_conns", value)
                        .services.at("desk")
                        .max_connections.has_value());
    }
    for (const auto* member : {"slots", "batch", "call_ms", "item_ms", "headroom_mb", "handle_s"}) {
        for (const auto* value : {"", "null", "-1", R"("1")", "1e300"}) {
            BOOST_TEST_CONTEXT(member << " " << value) {
                const auto config = decode_with(std::string{"/services/1/pieces/"} + member, value);
                const bool in_range =
                    std::string_view{member} == "headroom_mb" && std::string_view{value} == "1e300";
                BOOST_TEST(config.services.at("maker").pieces.has_value() == in_range);
                BOOST_TEST(config.workspaces_by_key.size() == 3U);
                BOOST_TEST(is_usable(config, "/plain/1"));
            }
        }
    }
    for (const auto* value : {"", "null", "7"}) {
        BOOST_TEST(is_usable(decode_with("/services", value), "/plain/1"));
    }
}

BOOST_AUTO_TEST_CASE(malformed_limits_use_the_default) {
    const auto expected = gateway::caller_limits{}.idle_timeout;
    for (const auto* value :
         {"{}", "7", "[]", R"({"idle_timeout_ms": "x"})", R"({"idle_timeout_ms": -1})"}) {
        BOOST_TEST((decode_with("/limits", value).limits.idle_timeout == expected));
    }
}

BOOST_AUTO_TEST_CASE(limits_of_callers_are_decoded) {
    const auto limits = decode_with("/version", "4").limits;
    BOOST_TEST((limits.max_header_bytes == 16384U));
    BOOST_TEST((limits.max_body_bytes == 4194304U));
    BOOST_TEST((limits.header_timeout == std::chrono::seconds{3}));
    BOOST_TEST((limits.idle_timeout == std::chrono::seconds{15}));
}

// Guards against a malformed limit that makes the gateway refuse all requests or ignores the
// others.
BOOST_AUTO_TEST_CASE(malformed_limit_uses_the_default_and_leaves_the_others_in_force) {
    for (const auto* name : {"max_header_bytes", "max_body_bytes", "header_timeout_ms"}) {
        for (const auto* value : {"\"x\"", "-1", "1e30", "[]"}) {
            BOOST_TEST_CONTEXT(name << " " << value) {
                const auto config = decode_with("/limits/" + std::string{name}, value);
                const auto& limits = config.limits;
                BOOST_TEST(config.faults.size() == 1U);
                BOOST_TEST((limits.idle_timeout == std::chrono::seconds{15}));
                const int set = (limits.max_header_bytes ? 1 : 0) +
                                (limits.max_body_bytes ? 1 : 0) + (limits.header_timeout ? 1 : 0);
                BOOST_TEST(set == 2);
            }
        }
    }
}

// Guards against a version that a malformed document replaces: without a version or without JSON
// nothing in it can be told to be newer.
BOOST_AUTO_TEST_CASE(document_without_version_is_rejected) {
    for (const auto* text : {"", "7", "[]", "{}", R"({"version": "7"})", R"({"version": -1})"}) {
        BOOST_CHECK_THROW(users_platform::decode_configuration({"config", text, 3}),
                          common::format_error);
    }
}

// Guards against code behind the decoder that relies on what the decoder rejects: with any value in
// any place, the other workspace keeps its key, and the stages of the usable routes end.
BOOST_AUTO_TEST_CASE(configuration_with_any_odd_value_keeps_the_other_parts) {
    const std::vector<std::string> pointers{"/routes/1",
                                            "/routes/1/kind",
                                            "/routes/1/stages",
                                            "/routes/1/stages/0",
                                            "/routes/1/stages/0/after",
                                            "/routes/1/stages/1/after",
                                            "/routes/1/timeout_ms",
                                            "/routes/1/priority",
                                            "/services/1/pieces",
                                            "/services/1/pieces/batch",
                                            "/services",
                                            "/tenants/0",
                                            "/tenants/0/api_keys",
                                            "/limits"};
    const std::vector<std::string> values{"null",
                                          "true",
                                          "0",
                                          "-1",
                                          "1e400",
                                          "1e300",
                                          "18446744073709551615",
                                          R"("")",
                                          "[]",
                                          "{}",
                                          "[null]",
                                          "[0]",
                                          "[1]",
                                          "[0,0,1]",
                                          "[18446744073709551615]",
                                          "[[[[]]]]",
                                          R"({"a": {}})"};
    check_property(20261205, 2000, [&] {
        const auto pointer = *rc::gen::elementOf(pointers);
        const auto value = *rc::gen::elementOf(values);
        gateway::configuration config;
        try {
            config = decode_with(pointer, value);
        } catch (const common::format_error&) {
            RC_ASSERT(value == "1e400"); // The whole document is no JSON then.
            return;
        }
        RC_ASSERT(gateway::find_workspace(config, "k3") != nullptr);
        RC_ASSERT(gateway::find_route(config, "h", "/plain/1")->usable);
        for (const auto& route : config.routes) {
            if (!route.usable) {
                continue;
            }
            gateway::stages::stage_progress progress{
                route.stages, std::vector<std::uint32_t>(route.stages.size(), 1)};
            std::size_t made = 0;
            for (auto ready = progress.take_ready([](std::uint32_t) { return false; });
                 !ready.empty(); ready = progress.take_ready([](std::uint32_t) { return false; })) {
                for (const auto stage : ready) {
                    progress.complete(stage, {"h" + std::to_string(stage)});
                    ++made;
                }
            }
            RC_ASSERT(made == route.stages.size());
            RC_ASSERT(progress.done());
        }
    });
}

BOOST_AUTO_TEST_CASE(drain_row_names_its_failure_domain) {
    const auto drained = users_platform::decode_drain({"evacuate/z1", "{}", 3});
    BOOST_REQUIRE(drained.has_value());
    BOOST_TEST(drained->domain == "z1");
    BOOST_TEST(drained->fault.empty());
    const auto deleted = users_platform::decode_drain({"evacuate/z1", std::nullopt, 4});
    BOOST_REQUIRE(deleted.has_value());
    BOOST_TEST(deleted->domain == "z1");
    BOOST_TEST(!users_platform::decode_drain({"config", "{}", 3}).has_value());
    BOOST_TEST(!users_platform::decode_configuration({"evacuate/z1", "{}", 3}).has_value());
}

// Guards against a malformed row that leaves a domain in use although the operator has drained it.
BOOST_AUTO_TEST_CASE(malformed_drain_row_still_names_its_failure_domain) {
    for (const auto* value : {"", "{", "[]", "null", "\xff"}) {
        const auto drained = users_platform::decode_drain({"evacuate/z1", value, 3});
        BOOST_REQUIRE(drained.has_value());
        BOOST_TEST(drained->domain == "z1");
        BOOST_TEST(!drained->fault.empty());
    }
    BOOST_TEST(!users_platform::decode_drain({"evacuate/", "{}", 3})->fault.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
