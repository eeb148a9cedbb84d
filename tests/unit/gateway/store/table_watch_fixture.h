#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "gateway/store/table_watch.h"
#include "support/loop_server.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::store;
using std::chrono::milliseconds;

/// A call that the store has received.
struct store_call {
    std::string target;
    common::time_point at;
    http::responder reply;
};

/// A table watch connected to a store whose responses the test cases define. The adapter encodes
/// calls as plain paths: /read, and /watch/ with the wait time in milliseconds.
struct table_watch_fixture {
    // Long enough to tell the wait times apart on a busy machine.
    static constexpr milliseconds wait{600};
    static constexpr milliseconds response_timeout{400};
    static constexpr milliseconds kept_connection_timeout{200};
    static constexpr milliseconds first_read_timeout{150};
    static constexpr milliseconds retry_delay{250};
    static constexpr milliseconds batch_interval{150};
    static constexpr milliseconds relayed_wait{300};
    static constexpr milliseconds max_relayed_age{800};
    static constexpr milliseconds slack{500};
    static constexpr milliseconds heartbeat{1200};

    event_loop loop;
    std::vector<store_call> calls;
    /// Responds to a call. Empty for a store that loses every call.
    std::function<void(const store_call&)> respond = respond_at_once;
    std::vector<common::time_point> confirmed;
    std::vector<bool> states;
    /// For how long the store had not been seen when it was available again.
    std::vector<common::duration> unseen_times;
    std::vector<table_update> updates;
    /// Called at each update. May be empty.
    std::function<void()> on_update;
    /// Timers of responses that take time.
    std::vector<std::unique_ptr<runtime::timer>> delayed;
    /// Version and rows in the responses of the store.
    std::uint64_t stored_version = 0;
    /// The era that the responses name.
    std::optional<std::uint64_t> stored_era;
    /// The eras that the watch has reported.
    std::vector<std::uint64_t> eras;
    std::vector<store_row> stored_rows;
    std::shared_ptr<runtime::task_lifecycle> client_life = make_lifecycle("catalog");
    std::unique_ptr<loop_server> server;
    std::unique_ptr<http::client> client;
    std::unique_ptr<table_watch> watch;

    table_watch_fixture() {
        server = std::make_unique<loop_server>(
            loop, [this](const http::request& message, const http::responder& reply) {
                calls.push_back({message.target, common::monotonic_clock::now(), reply});
                if (respond) {
                    respond(calls.back());
                }
                return http::disconnect_hook{};
            });
        client = std::make_unique<http::client>(loop.context(client_life), server->address());
        watch = make_watch();
        watch->begin();
    }
    table_watch_fixture(const table_watch_fixture&) = delete;
    table_watch_fixture& operator=(const table_watch_fixture&) = delete;

    ~table_watch_fixture() {
        watch->cancel();
        client->close();
        client_life->running = false;
        server->close();
        loop.run_ready();
    }

    std::unique_ptr<table_watch> make_watch(milliseconds timeout = response_timeout) {
        table_watch_hooks hooks;
        hooks.on_update = [this](const table_update& it) {
            updates.push_back(it);
            if (on_update) {
                on_update();
            }
        };
        hooks.on_unavailable = [this] { states.push_back(false); };
        hooks.on_available = [this](common::duration unseen) {
            states.push_back(true);
            unseen_times.push_back(unseen);
        };
        hooks.on_era = [this](std::uint64_t it) {
            eras.push_back(it);
            watch->begin_era(it, common::duration::zero());
        };
        hooks.on_confirmed = [this](common::time_point at) { confirmed.push_back(at); };
        table_watch_limits limits;
        limits.wait = wait;
        limits.response_timeout = timeout;
        limits.kept_connection_timeout = kept_connection_timeout;
        limits.batch_interval = batch_interval;
        limits.first_read_timeout = first_read_timeout;
        limits.retry_delay = retry_delay;
        limits.relayed_wait = relayed_wait;
        limits.max_relayed_age = max_relayed_age;
        return std::make_unique<table_watch>(loop.context(client_life), *client,
                                             std::make_shared<const adapter>(make_adapter()),
                                             store_table::configuration, hooks, limits);
    }

    adapter make_adapter() {
        adapter result;
        result.encode_read = [](store_table /*table*/, const std::string& /*from*/) {
            return http::request{"GET", "/read", {}, {}};
        };
        result.encode_watch = [](store_table /*table*/, std::uint64_t /*after*/,
                                 common::duration limit) {
            const auto n = std::chrono::duration_cast<milliseconds>(limit).count();
            return http::request{"GET", "/watch/" + std::to_string(n), {}, {}};
        };
        result.decode_rows = [this](const http::response& response) {
            const auto outcome = response.status == 200   ? store_outcome::done
                                 : response.status == 410 ? store_outcome::history_lost
                                 : response.status == 429 ? store_outcome::throttled
                                                          : store_outcome::unavailable;
            return store_response{outcome, {stored_rows, false, stored_version}, {}, stored_era};
        };
        return result;
    }

    static void respond_at_once(const store_call& call) { call.reply.respond({200, {}, "rows"}); }

    /// Responds to reads only; watches are lost.
    static void respond_to_reads(const store_call& call) {
        if (call.target == "/read") {
            respond_at_once(call);
        }
    }

    void wait_for_calls(std::size_t n) {
        BOOST_REQUIRE(loop.run_until([&] { return calls.size() >= n; }));
    }

    void run_for(common::duration time) {
        const auto end = common::monotonic_clock::now() + time;
        BOOST_REQUIRE(loop.run_until([&] { return common::monotonic_clock::now() >= end; }));
    }

    [[nodiscard]] common::duration between(std::size_t first, std::size_t second) const {
        return calls[second].at - calls[first].at;
    }
};

} // namespace jujubemast::tests
