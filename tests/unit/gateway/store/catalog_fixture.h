#pragma once

#include <algorithm>
#include <cctype>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "common/error.h"
#include "gateway/store/catalog.h"
#include "support/loop_server.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::store;
using std::chrono::milliseconds;

/// A catalog connected to a store whose tables the test cases fill. The adapter encodes calls as
/// plain paths: /read/TABLE and /watch/TABLE, with the table's name; /register; /unregister.
struct catalog_fixture {
    static constexpr const char* own_name = "self";
    /// So short that entries may have expired after any failed call.
    static constexpr milliseconds short_heartbeat{20};

    milliseconds heartbeat;

    event_loop loop;
    std::vector<std::string> requested_paths;
    /// Rows in the next response for a table.
    std::map<std::string, std::vector<store_row>> rows;
    /// Version of each table in the responses.
    std::map<std::string, std::uint64_t> versions;
    store_outcome outcome = store_outcome::done;
    /// The era that the responses name.
    std::optional<std::uint64_t> era;
    /// Paths that get no response.
    std::vector<std::string> unanswered_paths;
    std::size_t confirmations = 0;
    /// Number of times that the configuration has ceased to be confirmed.
    std::size_t doubts = 0;
    std::size_t name_confirmations = 0;
    std::vector<table_relay> relayed;
    std::vector<discovery_update> published;
    std::vector<domain_drains> announced;
    std::vector<std::string> not_ready_reasons;
    std::shared_ptr<runtime::task_lifecycle> catalog_life = make_lifecycle("catalog");
    std::unique_ptr<loop_server> server;
    std::shared_ptr<runtime::mailbox<catalog_message>> catalog_inbox =
        runtime::make_mailbox<catalog_message>(loop.executor(), 100);
    std::shared_ptr<catalog> subject;

    explicit catalog_fixture(milliseconds renewal = short_heartbeat) : heartbeat{renewal} {
        server = std::make_unique<loop_server>(
            loop, [this](const http::request& message, const http::responder& reply) {
                requested_paths.push_back(message.target);
                if (std::find(unanswered_paths.begin(), unanswered_paths.end(), message.target) ==
                    unanswered_paths.end()) {
                    reply.respond({200, {}, message.target});
                }
                return http::disconnect_hook{};
            });
        table_watch_limits limits;
        limits.wait = common::duration::zero();
        limits.batch_interval = milliseconds{20};
        subject = std::make_shared<catalog>(
            loop.context(catalog_life), catalog_inbox, server->address(),
            std::make_shared<const adapter>(make_adapter()),
            gateway_record{own_name, "10.0.0.1:1", 7}, make_hooks(), limits, heartbeat);
        catalog_life->instance = subject;
    }
    catalog_fixture(const catalog_fixture&) = delete;
    catalog_fixture& operator=(const catalog_fixture&) = delete;

    ~catalog_fixture() {
        catalog_life->running = false;
        subject->close();
        server->close();
        loop.run_ready();
    }

    catalog_hooks make_hooks() {
        catalog_hooks hooks;
        hooks.publish = [this](const discovery_update& it) { published.push_back(it); };
        hooks.publish_gateways = [](const std::vector<gateway_record>& /*known*/) {};
        hooks.confirm_configuration = [this](const configuration_confirmed& it) {
            confirmations += it.at ? 1 : 0;
            doubts += it.at ? 0 : 1;
        };
        hooks.confirm_gateways = [this](const gateway_names_confirmed& /*message*/) {
            ++name_confirmations;
        };
        hooks.relay = [this](const table_relay& it) { relayed.push_back(it); };
        hooks.confirm_drains = [](const drains_confirmed& /*message*/) {};
        hooks.announce_drains = [this](const domain_drains& it) { announced.push_back(it); };
        hooks.set_not_ready_reason = [this](const std::string& it) {
            not_ready_reasons.push_back(it);
        };
        return hooks;
    }

    static std::string path(const char* verb, store_table table) {
        return std::string{verb} + std::string{common::to_name(table)};
    }

    adapter make_adapter() {
        const auto get = [](const std::string& target) {
            return http::request{"GET", target, {}, {}};
        };
        adapter result;
        result.encode_read = [=](store_table table, const std::string& /*from*/) {
            return get(path("/read/", table));
        };
        result.encode_watch = [=](store_table table, std::uint64_t /*after*/,
                                  common::duration /*wait*/) {
            return get(path("/watch/", table));
        };
        result.encode_register = [=](const gateway_record& /*self*/) { return get("/register"); };
        result.encode_unregister = [=](const std::string& /*name*/) { return get("/unregister"); };
        result.decode_rows = [this](const http::response& response) {
            store_response decoded;
            decoded.outcome = outcome;
            decoded.era = era;
            if (outcome != store_outcome::done) {
                return decoded;
            }
            const auto table = response.body.substr(response.body.rfind('/') + 1);
            decoded.content.rows = std::exchange(rows[table], {});
            decoded.content.version = versions[table];
            return decoded;
        };
        // A row's value is the version of the configuration. An empty value is malformed.
        result.decode_configuration = [](const store_row& row) -> std::optional<configuration> {
            if (row.key != "config") {
                return std::nullopt;
            }
            if (row.value->empty()) {
                throw common::format_error{"empty"};
            }
            configuration decoded;
            decoded.version = std::stoull(*row.value);
            return std::optional{decoded};
        };
        // A key that begins with "drain/" drains a domain. An empty value is malformed.
        result.decode_drain = [](const store_row& row) -> std::optional<drain_row> {
            if (!row.key.starts_with("drain/")) {
                return std::nullopt;
            }
            return drain_row{row.key.substr(6), row.value == "" ? "empty" : ""};
        };
        // The value is the failure domain, or the time in ms for which the instance stays cold. An
        // empty value is malformed.
        result.decode_upstream = [](const store_row& row, common::time_point received) {
            if (row.value->empty()) {
                throw common::format_error{"empty"};
            }
            upstream_instance decoded;
            decoded.id = row.key;
            if (std::isdigit(static_cast<unsigned char>(row.value->front())) == 0) {
                decoded.failure_domain = *row.value;
                return decoded;
            }
            const milliseconds cold_left{std::stoi(*row.value)};
            if (cold_left > common::duration::zero()) {
                decoded.cold_until = received + cold_left;
            }
            return decoded;
        };
        // A row's value is the address.
        result.decode_gateway = [](const store_row& row) {
            return gateway_record{row.key, *row.value, 7};
        };
        return result;
    }

    [[nodiscard]] std::size_t count_requests(const std::string& target) const {
        return static_cast<std::size_t>(
            std::count(requested_paths.begin(), requested_paths.end(), target));
    }

    /// Runs until the store has answered several more watches of a table.
    void run_rounds(store_table table) {
        const auto target = path("/watch/", table);
        const auto end = count_requests(target) + 3;
        BOOST_REQUIRE(loop.run_until([&] { return count_requests(target) >= end; }));
    }
};

} // namespace jujubemast::tests
