#include "gateway/store/stream_registry.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "adapter.h"
#include "support/loop_server.h"
#include "support/users_store.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::store;
using std::chrono::milliseconds;

/// What a gateway has: its registry, and the messages to its forwarder.
struct registry_of_gateway {
    std::shared_ptr<runtime::mailbox<stream_registry_message>> inbox;
    std::shared_ptr<runtime::mailbox<forwarder_message>> forwarder;
    std::shared_ptr<runtime::task_lifecycle> life = make_lifecycle("streams");
    std::shared_ptr<stream_registry> task;
    std::map<std::string, usable_versions> listed;
    std::optional<stream_found> found;
    std::optional<stream_recorded> recorded;
};

/// The registries of two gateways with one store.
struct stream_registry_fixture {
    static constexpr std::size_t capacity = 100;

    event_loop loop;
    users_store store{loop.executor()};
    std::unique_ptr<loop_server> server;
    registry_of_gateway a;
    registry_of_gateway b;
    /// The store rejects all writes.
    bool rejects_writes = false;

    stream_registry_fixture() {
        server = std::make_unique<loop_server>(
            loop, [this](const http::request& message, const http::responder& reply) {
                if (rejects_writes && message.target == "/rows-tx") {
                    reply.respond({429, {}, ""});
                } else {
                    store.serve(message, reply);
                }
                return http::disconnect_hook{};
            });
        start(a);
        start(b);
    }
    stream_registry_fixture(const stream_registry_fixture&) = delete;
    stream_registry_fixture& operator=(const stream_registry_fixture&) = delete;

    ~stream_registry_fixture() {
        for (auto* it : {&a, &b}) {
            it->life->running = false;
            it->task->close();
        }
        server->close();
        loop.run_ready();
    }

    void start(registry_of_gateway& gateway) const {
        gateway.inbox = runtime::make_mailbox<stream_registry_message>(loop.executor(), capacity);
        gateway.forwarder = runtime::make_mailbox<forwarder_message>(loop.executor(), capacity);
        gateway.forwarder->attach([&gateway](const forwarder_message& message) {
            if (const auto* it = std::get_if<stream_versions_changed>(&message)) {
                gateway.listed = it->listed;
            } else if (const auto* found = std::get_if<stream_found>(&message)) {
                gateway.found = *found;
            } else if (const auto* recorded = std::get_if<stream_recorded>(&message)) {
                gateway.recorded = *recorded;
            }
        });
        gateway.task = std::make_shared<stream_registry>(
            loop.context(gateway.life), gateway.inbox,
            runtime::address<forwarder_message>{gateway.forwarder}, server->address(),
            std::make_shared<const adapter>(users_platform::make_adapter()),
            common::system_random());
        gateway.life->instance = gateway.task;
        gateway.task->start();
    }

    /// Tells the gateway that the service has instances of these versions.
    static void discover(const registry_of_gateway& gateway,
                         const std::vector<std::string>& versions, std::size_t restores = 0) {
        configuration config;
        config.routes.push_back({.kind = repeatability::stream, .resumable = true});
        config.routes.back().services.push_back({.service = "s"});
        upstream_map known;
        for (const auto& it : versions) {
            known["i-" + it] = {.id = "i-" + it, .service = "s", .version = it};
        }
        gateway.inbox->post(discovery_update{std::make_shared<const configuration>(config),
                                             std::make_shared<const upstream_map>(known), 0,
                                             restores});
    }

    /// Lists the version so early that the list is complete.
    void list_before(const std::string& version) {
        const boost::json::object row{
            {"versions", boost::json::array{version}}, {"era", 1}, {"complete_since_ms", 0}};
        store.put("versions", "s", row);
    }

    void wait_until_listed(const registry_of_gateway& gateway,
                           const std::set<std::string>& versions) {
        BOOST_REQUIRE(loop.run_until([&] {
            const auto it = gateway.listed.find("s");
            return it != gateway.listed.end() && it->second.versions == versions;
        }));
    }

    stream_found find(registry_of_gateway& gateway, const std::string& attempt) {
        gateway.found.reset();
        gateway.inbox->post(find_stream{7, {"s", attempt}});
        BOOST_REQUIRE(loop.run_until([&] { return gateway.found.has_value(); }));
        return *gateway.found;
    }

    record_outcome record(registry_of_gateway& gateway, const std::string& attempt,
                          const std::string& version) {
        gateway.recorded.reset();
        gateway.inbox->post(record_stream{7, {"s", attempt}, version});
        BOOST_REQUIRE(loop.run_until([&] { return gateway.recorded.has_value(); }));
        return gateway.recorded->outcome;
    }

    void run_for(common::duration time) {
        const auto end = common::monotonic_clock::now() + time;
        while (common::monotonic_clock::now() < end) {
            const auto step =
                std::min(common::monotonic_clock::now() + std::chrono::seconds{5}, end);
            BOOST_REQUIRE(loop.run_until([&] { return common::monotonic_clock::now() >= step; }));
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(stream_registry_test, stream_registry_fixture)

BOOST_AUTO_TEST_CASE(stream_of_a_service_with_one_version_is_found_without_a_row) {
    list_before("v1");
    discover(a, {"v1"});
    wait_until_listed(a, {"v1"});
    discover(b, {"v1"});
    wait_until_listed(b, {"v1"});
    const auto result = find(b, "a1");
    BOOST_TEST((result.outcome == find_outcome::found));
    BOOST_TEST(result.version == "v1");
    BOOST_TEST(result.request == 7U);
    BOOST_TEST(b.listed["s"].is_complete);
    BOOST_TEST(store.keys_of("streams").empty());
}

// Guards against a list that counts as complete although the store may have lost an earlier one.
BOOST_AUTO_TEST_CASE(list_that_the_store_lacked_is_complete_after_a_time) {
    discover(a, {"v1"});
    wait_until_listed(a, {"v1"});
    BOOST_TEST(!a.listed["s"].is_complete);
    BOOST_TEST((find(b, "a1").outcome == find_outcome::unknown));
    BOOST_REQUIRE(loop.run_until([&] { return a.listed["s"].is_complete; }));
    BOOST_TEST((find(b, "a1").outcome == find_outcome::found));
}

BOOST_AUTO_TEST_CASE(stream_that_was_recorded_is_found_by_another_gateway) {
    discover(a, {"v1", "v2"});
    wait_until_listed(a, {"v1", "v2"});
    BOOST_TEST((record(a, "a1", "v1") == record_outcome::recorded));
    BOOST_TEST((record(a, "a2", "v2") == record_outcome::recorded));
    BOOST_TEST(find(b, "a1").version == "v1");
    BOOST_TEST(find(b, "a2").version == "v2");
}

// Guards against the report in issue 60: a gateway that knows one version only, because it stood
// still while engines of another joined, takes a stream of these for one of its own version.
BOOST_AUTO_TEST_CASE(stream_of_a_version_that_this_gateway_has_not_seen_goes_on_at_that_version) {
    discover(b, {"v1"});
    wait_until_listed(b, {"v1"});
    discover(a, {"v1", "v2"});
    wait_until_listed(a, {"v1", "v2"});
    BOOST_TEST((record(a, "a1", "v2") == record_outcome::recorded));
    BOOST_TEST(find(b, "a1").version == "v2");
    BOOST_TEST((find(b, "unknown").outcome == find_outcome::unknown));
}

BOOST_AUTO_TEST_CASE(stream_that_is_recorded_during_the_search_is_found) {
    discover(a, {"v1", "v2"});
    wait_until_listed(a, {"v1", "v2"});
    b.inbox->post(find_stream{7, {"s", "a1"}});
    run_for(milliseconds{50});
    BOOST_TEST(!b.found.has_value());
    a.inbox->post(record_stream{8, {"s", "a1"}, "v1"});
    BOOST_REQUIRE(loop.run_until([&] { return b.found.has_value(); }));
    BOOST_TEST(b.found->version == "v1");
}

BOOST_AUTO_TEST_CASE(versions_that_two_gateways_list_at_once_are_both_kept) {
    discover(a, {"v1"});
    discover(b, {"v2"});
    BOOST_REQUIRE(loop.run_until([&] { return a.listed.contains("s") && b.listed.contains("s"); }));
    const auto row = store.bytes_of("versions", "s");
    BOOST_TEST(row.find("v1") != std::string::npos, row);
    BOOST_TEST(row.find("v2") != std::string::npos, row);
}

BOOST_AUTO_TEST_CASE(store_that_is_silent_ends_a_search_and_a_record_in_time) {
    discover(a, {"v1", "v2"});
    wait_until_listed(a, {"v1", "v2"});
    store.set_silent(true);
    const auto begin = common::monotonic_clock::now();
    BOOST_TEST((find(a, "a1").outcome == find_outcome::unavailable));
    BOOST_TEST((record(a, "a1", "v1") == record_outcome::unavailable));
    BOOST_TEST((common::monotonic_clock::now() - begin < std::chrono::seconds{3}));
    store.set_silent(false);
    // The row is written once the store is back.
    BOOST_REQUIRE(loop.run_until([&] { return store.keys_of("streams").size() == 1; }));
    BOOST_TEST(find(b, "a1").version == "v1");
}

// Guards against versions that begin streams although the store does not know them.
BOOST_AUTO_TEST_CASE(version_that_joins_while_the_store_is_silent_is_listed_when_it_is_back) {
    discover(a, {"v1"});
    wait_until_listed(a, {"v1"});
    store.set_silent(true);
    discover(a, {"v1", "v2"});
    run_for(milliseconds{300});
    BOOST_TEST(a.listed["s"].versions.size() == 1U);
    store.set_silent(false);
    wait_until_listed(a, {"v1", "v2"});
}

BOOST_AUTO_TEST_CASE(list_with_a_malformed_row_is_written_again) {
    store.put_bytes("versions", "s", "{");
    discover(a, {"v1"});
    wait_until_listed(a, {"v1"});
    BOOST_TEST(store.bytes_of("versions", "s").find("v1") != std::string::npos);
}

// Guards against a stream that cannot be resumed although its gateway and its version are there:
// an outage that is longer than the time after which rows are given up.
BOOST_AUTO_TEST_CASE(stream_that_began_early_in_an_outage_is_found_after_it) {
    discover(a, {"v1", "v2"});
    wait_until_listed(a, {"v1", "v2"});
    rejects_writes = true;
    BOOST_TEST((record(a, "a1", "v2") == record_outcome::unavailable));
    run_for(std::chrono::seconds{12});
    rejects_writes = false;
    run_for(std::chrono::seconds{2});
    BOOST_TEST((find(b, "a1").outcome == find_outcome::found));
}

// Guards against a list that a gateway which has not known a version completes first after a
// restore: a stream of that version goes on at another one, although its row names it and another
// gateway has known it.
BOOST_AUTO_TEST_CASE(stream_of_a_version_that_a_restore_has_lost_does_not_go_on_at_another) {
    list_before("v1");
    discover(b, {"v1"});
    wait_until_listed(b, {"v1"});
    store.take_copy("none");
    discover(a, {"v1", "v2"});
    wait_until_listed(a, {"v1", "v2"});
    BOOST_TEST((record(a, "a1", "v2") == record_outcome::recorded));
    discover(a, {"v1"});
    store.restore();
    discover(b, {"v1"}, 1);
    run_for(milliseconds{300});
    discover(a, {"v1"}, 1);
    run_for(milliseconds{300});
    // The forwarder records the streams in progress again.
    BOOST_TEST((record(a, "a1", "v2") == record_outcome::recorded));
    run_for(relisting_time);
    BOOST_TEST(find(b, "a1").version == "v2");
    // One that was in progress nowhere during the restore has no row.
    BOOST_TEST((find(b, "a2").outcome == find_outcome::unknown));
}

// Guards against a single lost response that uses up the time of the whole search.
BOOST_AUTO_TEST_CASE(search_whose_first_response_is_lost_asks_again) {
    discover(a, {"v1", "v2"});
    wait_until_listed(a, {"v1", "v2"});
    BOOST_TEST((record(a, "a1", "v1") == record_outcome::recorded));
    store.set_silent(true);
    b.inbox->post(find_stream{7, {"s", "a1"}});
    run_for(milliseconds{100});
    store.set_silent(false);
    BOOST_REQUIRE(loop.run_until([&] { return b.found.has_value(); }));
    BOOST_TEST((b.found->outcome == find_outcome::found));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
