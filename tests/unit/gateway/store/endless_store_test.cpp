#include <map>

#include <boost/test/unit_test.hpp>

#include "gateway/store/table_watch.h"
#include "support/event_loop.h"
#include "support/raw_response_server.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::store;
using namespace std::chrono_literals;

/// A table watch whose store sends endless responses. The adapter encodes calls as plain paths.
struct endless_store_fixture {
    event_loop loop;
    std::shared_ptr<runtime::task_lifecycle> life = make_lifecycle("test");
    /// Endless responses to the first calls with this path. Later calls get a valid response.
    std::map<std::string, std::vector<raw_response>> endless;
    std::unique_ptr<raw_response_server> store;
    std::unique_ptr<http::client> client;
    std::unique_ptr<table_watch> watch;
    int updates = 0;
    int confirmations = 0;
    std::vector<bool> states;

    ~endless_store_fixture() {
        if (client) {
            client->close();
        }
    }
    endless_store_fixture() = default;
    endless_store_fixture(const endless_store_fixture&) = delete;
    endless_store_fixture& operator=(const endless_store_fixture&) = delete;

    void start() {
        store = std::make_unique<raw_response_server>(
            [this](const std::string& request) { return respond(request); });
        http::client_limits limits;
        limits.head_timeout = limits.progress_timeout = 1500ms;
        client = std::make_unique<http::client>(loop.context(life),
                                                http::parse_endpoint(store->address()), limits);
        table_watch_limits short_waits;
        short_waits.wait = 100ms;
        short_waits.body_timeout = 1500ms;
        watch = std::make_unique<table_watch>(
            loop.context(life), *client, std::make_shared<const adapter>(make_adapter()),
            store_table::configuration,
            table_watch_hooks{[this](const table_update&) { ++updates; },
                              [this] { states.push_back(false); },
                              [this](common::duration) { states.push_back(true); },
                              [this](common::time_point) { ++confirmations; }},
            short_waits);
        watch->begin();
    }

    raw_response respond(const std::string& request) {
        const auto begin = request.find(' ') + 1;
        auto& first = endless[request.substr(begin, request.find(' ', begin) - begin)];
        if (first.empty()) {
            return {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "", {}};
        }
        auto next = first.front();
        first.erase(first.begin());
        return next;
    }

    static adapter make_adapter() {
        adapter result;
        result.encode_read = [](store_table, const std::string&) {
            return http::request{"GET", "/read", {}, {}};
        };
        result.encode_watch = [](store_table, std::uint64_t, common::duration) {
            return http::request{"GET", "/watch", {}, {}};
        };
        result.decode_rows = [](const http::response& it) {
            const bool good = it.status == 200 && it.body == "ok";
            return store_response{good ? store_outcome::done : store_outcome::malformed, {}, ""};
        };
        return result;
    }

    /// Responses that never end, slow and fast.
    static std::vector<raw_response> endless_answers() {
        const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        return {{chunked, "1\r\nx\r\n", 50ms},
                {chunked, "1\r\nx\r\n", 0ms},
                {"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", "x", 50ms},
                {"HTTP/1.1 200 OK\r\n", "X-Field: x\r\n", 50ms},
                {"HTTP/1.1 503 Unavailable\r\n\r\n", "x", 50ms}};
    }
};

BOOST_FIXTURE_TEST_SUITE(endless_store_test, endless_store_fixture)

// Guards against a table that is never read because a response of the store never ends: a body that
// arrives slowly stays within every idle timeout.
BOOST_AUTO_TEST_CASE(table_watch_after_endless_responses_to_reads_reads_the_table) {
    endless["/read"] = endless_answers();
    start();
    BOOST_TEST(loop.run_until([this] { return updates == 1; }));
    BOOST_TEST(states.size() == 2U);
    BOOST_TEST(loop.run_until([this] { return store->open_connections() <= 1; }));
}

// Guards against changes that stay hidden behind a response that never ends.
BOOST_AUTO_TEST_CASE(table_watch_after_endless_responses_to_watches_confirms_the_table) {
    endless["/watch"] = endless_answers();
    start();
    BOOST_TEST(loop.run_until([this] { return confirmations >= 3; }));
    BOOST_TEST(states.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
