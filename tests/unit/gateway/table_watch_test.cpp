#include "gateway/table_watch.h"

#include <algorithm>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "http/server.h"
#include "support/event_loop.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
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
    static constexpr milliseconds retry_delay{250};
    static constexpr milliseconds slack{500};

    event_loop loop;
    std::vector<store_call> calls;
    /// Responds to a call. Empty for a store that loses every call.
    std::function<void(const store_call&)> respond = respond_at_once;
    std::vector<common::time_point> confirmed;
    std::vector<bool> states;
    std::shared_ptr<runtime::task_lifecycle> server_life = make_lifecycle("store");
    std::shared_ptr<runtime::task_lifecycle> client_life = make_lifecycle("catalog");
    std::shared_ptr<runtime::task> server;
    std::unique_ptr<http::client> client;
    std::unique_ptr<table_watch> watch;

    table_watch_fixture() {
        http::endpoint address;
        http::server_options options;
        options.listen = {"127.0.0.1", 0};
        options.on_listening = [&](const http::endpoint& bound) { address = bound; };
        const auto listener = http::make_server(
            "store", options, [this](const http::request& message, const http::responder& reply) {
                calls.push_back({message.target, common::monotonic_clock::now(), reply});
                if (respond) {
                    respond(calls.back());
                }
                return http::disconnect_hook{};
            });
        server = listener.make(loop.context(server_life));
        server_life->instance = server;
        server->start();
        BOOST_REQUIRE(loop.run_until([&] { return address.port != 0; }));
        client = std::make_unique<http::client>(loop.context(client_life), address);
        table_watch_hooks hooks;
        hooks.on_update = [](const table_update& /*update*/) {};
        hooks.on_state = [this](bool available) { states.push_back(available); };
        hooks.on_confirmed = [this](common::time_point at) { confirmed.push_back(at); };
        table_watch_limits limits;
        limits.wait = wait;
        limits.response_timeout = response_timeout;
        limits.retry_delay = retry_delay;
        watch = std::make_unique<table_watch>(loop.context(client_life), *client,
                                              std::make_shared<const adapter>(make_adapter()),
                                              store_table::configuration, hooks, limits);
        watch->begin();
    }
    table_watch_fixture(const table_watch_fixture&) = delete;
    table_watch_fixture& operator=(const table_watch_fixture&) = delete;

    ~table_watch_fixture() {
        watch->cancel();
        client->close();
        client_life->running = server_life->running = false;
        server->close();
        loop.run_ready();
    }

    static adapter make_adapter() {
        adapter result;
        result.encode_read = [](store_table /*table*/, const std::string& /*from*/) {
            return http::request{"GET", "/read", {}, {}};
        };
        result.encode_watch = [](store_table /*table*/, std::uint64_t /*after*/,
                                 common::duration limit) {
            const auto n = std::chrono::duration_cast<milliseconds>(limit).count();
            return http::request{"GET", "/watch/" + std::to_string(n), {}, {}};
        };
        result.decode_rows = [](const http::response& response) {
            const auto outcome = response.status == 200   ? store_outcome::done
                                 : response.status == 410 ? store_outcome::history_lost
                                                          : store_outcome::unavailable;
            return store_response{outcome, {}, {}};
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

BOOST_FIXTURE_TEST_SUITE(table_watch_test, table_watch_fixture)

// Guards against a lost call that hides the table's changes for longer than its limit, and against
// a second long poll that could hide the recovery of the store for just as long.
BOOST_AUTO_TEST_CASE(lost_long_poll_is_followed_at_once_by_a_call_that_does_not_wait) {
    respond = respond_to_reads;
    wait_for_calls(4);
    BOOST_TEST(calls[1].target == "/watch/600");
    BOOST_TEST(calls[2].target == "/watch/0");
    BOOST_TEST(calls[3].target == "/watch/0");
    BOOST_TEST((between(1, 2) < wait + response_timeout + slack));
    BOOST_TEST((between(2, 3) >= response_timeout - milliseconds{1}));
    BOOST_TEST((between(2, 3) < response_timeout + slack));
    BOOST_TEST((states == std::vector<bool>{false}));
}

// Guards against a large response that never arrives completely over a slow link because every call
// for it is abandoned. The limit of a call covers only the start of its response.
BOOST_AUTO_TEST_CASE(response_that_takes_longer_than_the_limit_but_keeps_arriving_is_read) {
    wait_for_calls(2);
    const auto before = confirmed.size();
    respond = {};
    wait_for_calls(calls.size() + 1);
    const auto slow = calls.back();
    slow.reply.begin({200, {}, {}});
    while (common::monotonic_clock::now() < slow.at + 2 * (wait + response_timeout)) {
        slow.reply.write("a");
        run_for(milliseconds{50});
    }
    const auto n = calls.size();
    slow.reply.end();
    BOOST_REQUIRE(
        loop.run_until([&] { return confirmed.size() > before + 1 || calls.size() > n; }));
    BOOST_TEST((calls[n - 1].at == slow.at));
    BOOST_TEST(states.empty());
}

// Guards against a copy that counts as the newest after its process was paused. A response that
// waited in the socket meanwhile shows only what the store held when it was sent.
BOOST_AUTO_TEST_CASE(response_that_waited_for_a_paused_process_does_not_count_as_new) {
    static constexpr auto pause = 2 * (wait + response_timeout);
    wait_for_calls(2);
    run_for(milliseconds{100});
    respond = [this](const store_call& call) {
        respond_at_once(call);
        // Runs after the response was written and before it is read.
        loop.executor().post([] { std::this_thread::sleep_for(pause); });
        respond = {};
    };
    const auto before = calls.size();
    const auto confirmations = confirmed.size();
    wait_for_calls(before + 2);
    for (auto n = confirmations; n < confirmed.size(); ++n) {
        BOOST_TEST((confirmed[n] <= calls[before].at + wait));
    }
}

// Guards against gateways that do not start, or call the store in a tight loop, if the configured
// staleness limit is very short.
BOOST_AUTO_TEST_CASE(limits_for_a_staleness_below_the_minimum_are_those_of_the_minimum) {
    BOOST_TEST((limits_for_staleness(milliseconds{500}).wait ==
                limits_for_staleness(min_staleness_limit).wait));
    BOOST_TEST((limits_for_staleness(milliseconds{500}).wait > common::duration::zero()));
}

// Guards against calling a store in a tight loop while it refuses calls.
BOOST_AUTO_TEST_CASE(store_that_refuses_is_called_again_after_a_pause) {
    respond = [](const store_call& call) { call.reply.respond({503, {}, ""}); };
    wait_for_calls(5);
    for (std::size_t n = 1; n < 5; ++n) {
        BOOST_TEST((between(n - 1, n) >= retry_delay - milliseconds{1}));
    }
}

// Guards against a tight loop of calls while the store keeps losing its history.
BOOST_AUTO_TEST_CASE(table_whose_history_is_lost_repeatedly_is_read_with_pauses) {
    respond = [](const store_call& call) {
        call.reply.respond({call.target == "/read" ? 200U : 410U, {}, "rows"});
    };
    wait_for_calls(2);
    const auto begin = common::monotonic_clock::now();
    const auto before = calls.size();
    run_for(4 * retry_delay);
    const auto rounds = (common::monotonic_clock::now() - begin) / milliseconds{150};
    BOOST_TEST(calls.size() - before <= 2U * static_cast<std::size_t>(rounds + 1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
