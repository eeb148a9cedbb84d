#include <algorithm>
#include <array>

#include <boost/test/unit_test.hpp>

#include "gateway/stages/dispatcher.h"
#include "http/server.h"
#include "support/event_loop.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::stages;
using std::chrono::milliseconds;

/// A dispatcher with three instances of a stage service. An instance works on one call at a time.
/// The adapter encodes a call as the number of its pieces.
struct failing_instances_fixture {
    // Long enough that delays of the event loop on a busy machine hardly lower the rate.
    static constexpr milliseconds call_time{72};
    static constexpr milliseconds piece_time{6};
    static constexpr std::size_t batch = 8;

    struct stage_server {
        /// Which calls are refused at once, by their number.
        std::function<bool(std::size_t n)> refuses = [](std::size_t) { return false; };
        std::size_t calls = 0;
        http::endpoint address;
        std::vector<std::unique_ptr<runtime::timer>> timers;
    };

    event_loop loop;
    std::shared_ptr<runtime::mailbox<dispatcher_message>> inbox =
        runtime::make_mailbox<dispatcher_message>(loop.executor(), 1000);
    std::shared_ptr<runtime::mailbox<peers_message>> peers_inbox =
        runtime::make_mailbox<peers_message>(loop.executor(), 1000);
    std::array<stage_server, 3> servers;
    std::vector<order_outcome> outcomes;
    std::vector<std::shared_ptr<runtime::task>> tasks;
    std::vector<std::shared_ptr<runtime::task_lifecycle>> lives;
    std::uint64_t next_order = 1;

    failing_instances_fixture() {
        upstream_map known;
        for (std::size_t n = 0; n < servers.size(); ++n) {
            start_server(servers[n]);
            const auto id = "i" + std::to_string(n);
            known[id] = {.id = id, .service = "stages", .address = servers[n].address};
        }
        run([this](runtime::task_context it) {
            return std::make_shared<dispatcher>(std::move(it), inbox,
                                                runtime::address<peers_message>{peers_inbox},
                                                std::make_shared<const adapter>(make_adapter()));
        });
        peers_inbox->attach([this](const peers_message& message) {
            if (const auto* finished = std::get_if<order_finished>(&message)) {
                outcomes.push_back(finished->outcome);
            }
        });
        configuration all;
        all.services["stages"] = {"stages", std::nullopt,
                                  piece_limits{.batch = batch,
                                               .call_time = call_time,
                                               .piece_time = piece_time,
                                               .result_memory_bytes = 1e9}};
        inbox->post(discovery_update{std::make_shared<const configuration>(all),
                                     std::make_shared<const upstream_map>(known)});
    }
    failing_instances_fixture(const failing_instances_fixture&) = delete;
    failing_instances_fixture& operator=(const failing_instances_fixture&) = delete;

    ~failing_instances_fixture() {
        for (const auto& it : lives) {
            it->running = false;
        }
        for (const auto& it : tasks) {
            it->close();
        }
        loop.run_ready();
    }

    void run(const runtime::task_factory& make) {
        auto life = make_lifecycle("test");
        auto task = make(loop.context(life));
        life->instance = task;
        lives.push_back(life);
        tasks.push_back(task);
        task->start();
    }

    void start_server(stage_server& server) {
        http::server_options options;
        options.listen = {"127.0.0.1", 0};
        options.on_listening = [&server](const http::endpoint& bound) { server.address = bound; };
        run(http::make_server(
                "instance", options,
                [this, &server](const http::request& message, const http::responder& reply) {
                    answer(server, message, reply);
                    return http::disconnect_hook{};
                })
                .make);
        BOOST_REQUIRE(loop.run_until([&] { return server.address.port != 0; }));
    }

    void answer(stage_server& server, const http::request& message, const http::responder& reply) {
        if (message.target != "/make") {
            reply.respond({200, {}, ""});
            return;
        }
        if (server.refuses(server.calls++)) {
            reply.respond({503, {}, ""});
            return;
        }
        const auto pieces = std::stoi(message.body);
        server.timers.push_back(std::make_unique<runtime::timer>(loop.executor()));
        server.timers.back()->start(call_time + pieces * piece_time, [reply, message] {
            reply.respond({200, {}, message.body});
        });
    }

    static adapter make_adapter() {
        adapter result;
        result.encode_report_query = [](const std::string&) {
            return http::request{"GET", "/report", {}, {}};
        };
        result.decode_instance_report = [](const std::string&) { return instance_report{0, 1e9}; };
        result.encode_piece_call = [](const std::string&, const std::vector<piece_item>& pieces) {
            return http::request{"POST", "/make", {}, std::to_string(pieces.size())};
        };
        result.decode_piece_response = [](const std::string& body) {
            return std::vector<piece_result>(std::stoul(body), {piece_status::made, "handle"});
        };
        result.decode_response_head = [](unsigned status, const http::headers&) {
            return response_head{.status = status};
        };
        result.encode_release = [](const std::string&, const std::vector<std::string>&) {
            return http::request{"GET", "/release", {}, {}};
        };
        return result;
    }

    void place_order(std::uint32_t pieces) {
        piece_order order;
        order.key.number = next_order++;
        order.service = "stages";
        order.count = pieces;
        order.target_time = common::monotonic_clock::now() + milliseconds{750};
        order.deadline = common::monotonic_clock::now() + milliseconds{1500};
        inbox->post(order);
    }

    /// Places an order at each interval and waits for all outcomes. Returns the share that was
    /// made.
    double replay(std::size_t orders, std::uint32_t pieces, milliseconds interval) {
        const auto begin = common::monotonic_clock::now();
        for (std::size_t n = 0; n < orders; ++n) {
            const auto due = begin + n * interval;
            BOOST_REQUIRE(loop.run_until([&] { return common::monotonic_clock::now() >= due; }));
            place_order(pieces);
        }
        BOOST_REQUIRE(loop.run_until([&] { return outcomes.size() >= orders; }));
        const auto made = std::count_if(outcomes.begin(), outcomes.end(), [](const auto& it) {
            return it.status == order_status::made;
        });
        return static_cast<double>(made) / static_cast<double>(orders);
    }
};

BOOST_FIXTURE_TEST_SUITE(dispatcher_failing_instances_test, failing_instances_fixture)

// Guards against an order that fails with the first failed call, because each of its pieces in the
// call counted as a failure.
BOOST_AUTO_TEST_CASE(order_of_many_pieces_whose_first_call_fails_is_made) {
    for (auto& it : servers) {
        it.refuses = [](std::size_t n) { return n == 0; };
    }
    place_order(batch);
    BOOST_REQUIRE(loop.run_until([&] { return !outcomes.empty(); }));
    BOOST_TEST((outcomes.front().status == order_status::made));
}

// Two of three instances refuse every second call at once, at 60% of the rate of the three. Guards
// against their ejection, which leaves too few instances, and against orders that end after a few
// refusals although there is time to try again.
BOOST_AUTO_TEST_CASE(service_whose_instances_refuse_half_of_their_calls_makes_its_orders) {
    for (auto& it : {&servers[0], &servers[1]}) {
        it->refuses = [](std::size_t n) { return n % 2 == 0; };
    }
    BOOST_TEST(replay(200, 4, milliseconds{33}) >= 0.95);
}

// Guards against a refusal of orders, or a tight loop of calls, by an instance that refuses
// everything: the others make the orders.
BOOST_AUTO_TEST_CASE(service_with_an_instance_that_refuses_all_calls_makes_its_orders) {
    servers[0].refuses = [](std::size_t) { return true; };
    BOOST_TEST(replay(60, 4, milliseconds{48}) >= 0.95);
    BOOST_TEST(servers[0].calls < 40U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
