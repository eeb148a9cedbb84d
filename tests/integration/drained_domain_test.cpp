#include <csignal>
#include <future>
#include <set>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "support/fault_proxy.h"

namespace jujubemast::tests {

/// Three gateways, the last of which reaches the store through a proxy. The upstreams e2 and d2 are
/// in the failure domain y, the others in z.
struct drained_domain_fixture : gateway_fixture {
    // The evacuate_ms of the users' platform.
    static constexpr std::chrono::milliseconds evacuation_time{5000};
    static constexpr const char* drain_value = "e30=";

    std::unique_ptr<fault_proxy> proxy;
    std::vector<std::string> admin_addresses;

    drained_domain_fixture() : gateway_fixture{{0.1, 0.1}} {
        const auto store = store_address;
        proxy = std::make_unique<fault_proxy>(store);
        store_address = proxy->address();
        // The largest gateway is one of the two that follow the store for the others.
        add_gateway(2, 1);
        store_address = store;
        for (const auto& it : gateways) {
            admin_addresses.push_back(it->listening_address("jujubemast-gateway/admin/listener"));
        }
        move_upstream("e2", "y");
        move_upstream("d2", "y");
        wait_until("the gateways know each other and the domains", [&] {
            return all_dumps([](const std::string& it) {
                return count(it, R"("failure_domain":"y")") == 2 &&
                       it.find(R"("known":2)") != std::string::npos;
            });
        });
    }

    static std::size_t count(const std::string& text, const std::string& part) {
        std::size_t n = 0;
        for (auto pos = text.find(part); pos != std::string::npos; pos = text.find(part, pos + 1)) {
            ++n;
        }
        return n;
    }

    [[nodiscard]] std::string dump(std::size_t gateway) const {
        return std::string{call(admin_addresses[gateway], {"GET", "/dump", {}, {}}).body};
    }

    [[nodiscard]] bool all_dumps(const std::function<bool(const std::string&)>& condition) const {
        for (std::size_t n = 0; n < gateways.size(); ++n) {
            if (!condition(dump(n))) {
                return false;
            }
        }
        return true;
    }

    /// Writes the entry of an upstream with another failure domain.
    void move_upstream(const std::string& id, const std::string& domain) const {
        const auto text = dump(0);
        const auto found = boost::json::parse(text);
        const auto& upstreams = find_member(found, "upstreams")->as_array();
        for (const auto& it : upstreams) {
            if (it.at("id").as_string() != id) {
                continue;
            }
            auto entry = upstream_entry(std::string{it.at("service").as_string()},
                                        std::string{it.at("address").as_string()});
            entry["zone"] = domain;
            const boost::json::object row{{"id", id}, {"entry", entry}};
            call(store_address, {"POST", "/upstream", {}, boost::json::serialize(row)});
        }
    }

    /// Returns the first list with this name anywhere in a document.
    static const boost::json::value* find_member(const boost::json::value& in,
                                                 std::string_view name) {
        if (!in.is_object()) {
            return nullptr;
        }
        for (const auto& it : in.as_object()) {
            if (it.key() == name && it.value().is_array()) {
                return &it.value();
            }
            if (const auto* found = find_member(it.value(), name)) {
                return found;
            }
        }
        return nullptr;
    }

    /// Writes or deletes the row that drains a failure domain.
    void set_drained(const std::string& domain, bool drained) const {
        boost::json::object row{{"table", "op"}, {"part", ""}, {"key", "evacuate/" + domain}};
        if (drained) {
            row["value"] = drain_value;
        }
        const boost::json::array rows{row};
        const boost::json::array none;
        call(store_address,
             {"POST",
              "/rows-tx",
              {},
              boost::json::serialize(boost::json::object{{"expect", none},
                                                         {"puts", drained ? rows : none},
                                                         {"remove", drained ? none : rows}})});
    }

    /// Replaces the configuration by a version in which the routes have these allowed regions, and
    /// waits until it is in force.
    void set_allowed_regions(int version, const boost::json::value& regions) const {
        const auto former = call(store_address, {"GET", "/configuration", {}, {}}).body;
        auto document = boost::json::parse(former);
        document.at("version") = version;
        for (auto& it : document.at("routes").as_array()) {
            it.as_object()["allowed_regions"] = regions;
        }
        call(store_address, {"POST", "/configuration-bytes", {}, boost::json::serialize(document)});
        const auto text = R"("configuration":)" + std::to_string(version) + ',';
        wait_until("the configuration is in force", [&] {
            return all_dumps([&](const std::string& it) { return count(it, text) >= 2; });
        });
    }

    void wait_until_known(const std::string& domain, bool drained) const {
        const auto text =
            R"("domain":")" + domain + R"(","drained":)" + (drained ? "true" : "false");
        wait_until("the drain of " + domain + " is known", [&] {
            return all_dumps(
                [&](const std::string& it) { return it.find(text) != std::string::npos; });
        });
    }

    /// Sends requests through all gateways and returns the instances that got them.
    [[nodiscard]] std::set<std::string> used_instances(const std::string& name) const {
        constexpr int requests = 8;
        std::set<std::string> used;
        for (std::size_t gateway = 0; gateway < gateways.size(); ++gateway) {
            for (int n = 0; n < requests; ++n) {
                const auto attempt = name + std::to_string(gateway) + "-" + std::to_string(n);
                const auto prompt = "p" + std::to_string(n) + ":10,q:1";
                BOOST_TEST(send("GET", "/read/1", attempt, {}, gateway).status == 200U);
                BOOST_TEST(send("POST", "/stream/1", attempt,
                                {{"X-Model", "m"}, {"X-Prompt-Prefix", prompt}}, gateway)
                               .complete);
                for (const auto& it : records(attempt)) {
                    used.emplace(it.at("upstream").as_string());
                }
            }
        }
        return used;
    }
};

BOOST_FIXTURE_TEST_SUITE(drained_domain_test, drained_domain_fixture)

// Guards against work for a drained failure domain from a gateway that cannot reach the store when
// the domain is drained.
BOOST_AUTO_TEST_CASE(drained_domain_gets_no_work_while_a_gateway_is_cut_off_from_the_store) {
    BOOST_TEST(used_instances("before").contains("d2"));
    proxy->set_refusing(true);
    proxy->reset_connections();
    const auto begin = std::chrono::steady_clock::now();
    set_drained("y", true);
    wait_until_known("y", true);
    BOOST_TEST((std::chrono::steady_clock::now() - begin < evacuation_time));
    const auto used = used_instances("drained");
    BOOST_TEST(used.contains("d1"));
    BOOST_TEST(used.contains("e1"));
    BOOST_TEST(!used.contains("d2"));
    BOOST_TEST(!used.contains("e2"));
    set_drained("y", false);
    wait_until_known("y", false);
    BOOST_TEST(used_instances("after").contains("d2"));
}

// Guards against requests that arrive at a frozen gateway and are sent to the drained domain before
// the gateway learns of the drain.
BOOST_AUTO_TEST_CASE(frozen_gateway_sends_no_work_to_a_domain_that_was_drained_meanwhile) {
    // After this time, no message about the drain waits in the sockets of the frozen gateway: its
    // long polls have ended, and the others no longer send to it.
    constexpr std::chrono::milliseconds freeze{3000};
    constexpr int requests = 12;
    const auto begin = std::chrono::steady_clock::now();
    gateways[0]->send_signal(SIGSTOP);
    wait_until("the freeze is long enough",
               [&] { return std::chrono::steady_clock::now() - begin > freeze; });
    set_drained("y", true);
    wait_until("the others know the drain",
               [&] { return dump(1).find(R"("domain":"y","drained":true)") != std::string::npos; });
    std::vector<std::future<received_response>> responses;
    responses.reserve(requests);
    for (int n = 0; n < requests; ++n) {
        responses.push_back(std::async(std::launch::async, [this, n] {
            return send("GET", "/read/1", "frozen-" + std::to_string(n));
        }));
    }
    gateways[0]->send_signal(SIGCONT);
    for (auto& it : responses) {
        BOOST_TEST(it.get().status == 200U);
    }
    for (int n = 0; n < requests; ++n) {
        for (const auto& it : records("frozen-" + std::to_string(n))) {
            BOOST_TEST(it.at("upstream").as_string() != "d2");
        }
    }
}

// Guards against a request that is sent although its domain is drained, and against stages that are
// made for a request that cannot be sent.
BOOST_AUTO_TEST_CASE(request_whose_instances_are_all_drained_is_refused_before_its_stages) {
    move_upstream("s2", "x");
    wait_until("the stages are in a domain that is not drained", [&] {
        return all_dumps([](const std::string& it) {
            return it.find(R"("failure_domain":"x")") != std::string::npos;
        });
    });
    set_drained("z", true);
    set_drained("y", true);
    wait_until_known("z", true);
    wait_until_known("y", true);
    const http::request staged{"POST",
                               "/slow/1",
                               {{"Host", "a.example"},
                                {"X-Attempt-Id", "staged"},
                                {"X-Deadline-Ms", "5000"},
                                {"Authorization", "Bearer key-1"},
                                {"X-Model", "m"},
                                {"X-Pieces", "1"},
                                {"X-Piece-Key", "k"}},
                               "body"};
    for (const auto& it : addresses) {
        const auto response = call(it, staged);
        BOOST_TEST(response.status == 503U);
        BOOST_TEST(!http::find_header(response.fields, "Retry-After").empty());
    }
    BOOST_TEST(records("staged").empty());
    BOOST_TEST(send("GET", "/read/1", "refused").status == 503U);
    BOOST_TEST(records("refused").empty());
    set_drained("y", false);
    wait_until_known("y", false);
    BOOST_TEST(send("GET", "/read/1", "plain").status == 200U);
}

// Guards against requests that run in a region that the operator has excluded.
BOOST_AUTO_TEST_CASE(request_with_allowed_regions_runs_only_there) {
    set_allowed_regions(5, boost::json::array{"r2"});
    const auto used = used_instances("r2");
    BOOST_TEST(used.contains("d2"));
    BOOST_TEST(used.contains("e2"));
    BOOST_TEST(!used.contains("d1"));
    BOOST_TEST(!used.contains("e1"));
    // The instances of the stages are in the other region.
    BOOST_TEST(send_staged("staged", "k", 0).status == 503U);
    BOOST_TEST(records("staged").empty());
    set_allowed_regions(6, boost::json::array{"r1", "r2"});
    BOOST_TEST(send_staged("allowed", "k", 0).complete);
    int version = 7;
    for (const auto* regions : {R"(["other"])", "[]", R"("r1")", "[7]"}) {
        const auto attempt = "refused-" + std::to_string(version);
        set_allowed_regions(version++, boost::json::parse(regions));
        BOOST_TEST(send("GET", "/read/1", attempt).status == 503U);
        BOOST_TEST(records(attempt).empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
