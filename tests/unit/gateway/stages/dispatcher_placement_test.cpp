#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "gateway/stages/dispatcher.h"
#include "http/server.h"
#include "support/event_loop.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::stages;
using std::chrono::milliseconds;

/// A dispatcher with one instance of a stage service in each of three failure domains. An instance
/// works on one call at a time, for 30 ms.
struct dispatcher_placement_fixture {
    static constexpr milliseconds call_time{30};

    event_loop loop;
    std::shared_ptr<runtime::mailbox<dispatcher_message>> inbox =
        runtime::make_mailbox<dispatcher_message>(loop.executor(), 1000);
    std::shared_ptr<runtime::mailbox<peers_message>> peers_inbox =
        runtime::make_mailbox<peers_message>(loop.executor(), 1000);
    /// The domains of the calls in the order of their arrival.
    std::vector<std::string> called;
    std::map<std::string, http::endpoint> addresses{{"fd-0", {}}, {"fd-1", {}}, {"fd-2", {}}};
    std::vector<std::unique_ptr<runtime::timer>> timers;
    std::vector<order_outcome> outcomes;
    std::vector<std::shared_ptr<runtime::task>> tasks;
    std::vector<std::shared_ptr<runtime::task_lifecycle>> lives;
    std::uint64_t next_order = 1;
    /// Region of each failure domain, if known.
    std::map<std::string, std::string> regions;
    /// Regions of the next orders.
    allowed_regions allowed;

    dispatcher_placement_fixture() {
        for (auto& [domain, address] : addresses) {
            start_server(domain, address);
        }
        peers_inbox->attach([this](const peers_message& message) {
            if (const auto* finished = std::get_if<order_finished>(&message)) {
                outcomes.push_back(finished->outcome);
            }
        });
    }
    dispatcher_placement_fixture(const dispatcher_placement_fixture&) = delete;
    dispatcher_placement_fixture& operator=(const dispatcher_placement_fixture&) = delete;

    ~dispatcher_placement_fixture() {
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

    void start_dispatcher(const piece_placement& placement, std::size_t batch) {
        run([&](runtime::task_context it) {
            return std::make_shared<dispatcher>(
                std::move(it), inbox, runtime::address<peers_message>{peers_inbox},
                std::make_shared<const adapter>(make_adapter()), placement);
        });
        upstream_map known;
        for (const auto& [domain, address] : addresses) {
            const auto id = "instance-of-" + domain;
            known[id] = {.id = id,
                         .service = "stages",
                         .address = address,
                         .failure_domain = domain,
                         .region = regions[domain]};
        }
        configuration all;
        all.services["stages"] = {"stages", std::nullopt,
                                  piece_limits{.batch = batch,
                                               .call_time = call_time,
                                               .piece_time = milliseconds{0},
                                               .result_memory_bytes = 1e9}};
        inbox->post(discovery_update{std::make_shared<const configuration>(all),
                                     std::make_shared<const upstream_map>(known)});
    }

    void start_server(const std::string& domain, http::endpoint& address) {
        http::server_options options;
        options.listen = {"127.0.0.1", 0};
        options.on_listening = [&address](const http::endpoint& bound) { address = bound; };
        run(http::make_server(
                "instance", options,
                [this, domain](const http::request& message, const http::responder& reply) {
                    answer(domain, message, reply);
                    return http::disconnect_hook{};
                })
                .make);
        BOOST_REQUIRE(loop.run_until([&] { return address.port != 0; }));
    }

    void answer(const std::string& domain, const http::request& message,
                const http::responder& reply) {
        if (message.target != "/make") {
            reply.respond({200, {}, ""});
            return;
        }
        called.push_back(domain);
        timers.push_back(std::make_unique<runtime::timer>(loop.executor()));
        timers.back()->start(call_time, [reply, message] {
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
            return http::request{"POST", "/release", {}, {}};
        };
        return result;
    }

    void order(const std::string& domain, std::uint32_t count) {
        piece_order order;
        order.key.number = next_order++;
        order.service = "stages";
        order.count = count;
        order.result_bytes = 800'000;
        order.preferred_domain = domain;
        order.regions = allowed;
        // Less than two calls, as for most last stages.
        order.target_time = common::monotonic_clock::now() + call_time * 3 / 2;
        order.deadline = common::monotonic_clock::now() + std::chrono::seconds{5};
        inbox->post(order);
    }

    void wait_for_outcomes(std::size_t n) {
        BOOST_REQUIRE(loop.run_until([&] { return outcomes.size() >= n; }));
    }

    /// Makes pieces until all instances have reported and are free.
    void settle() {
        while (called.size() < addresses.size()) {
            order("", 1);
            wait_for_outcomes(called.size() + 1);
        }
        BOOST_REQUIRE(loop.run_until([&] { return outcomes.size() == called.size(); }));
        called.clear();
        outcomes.clear();
    }

    /// Orders single pieces for each domain, one after the other, and returns how many of them were
    /// made there.
    std::size_t made_in_preferred_domain(const piece_placement& placement) {
        start_dispatcher(placement, 1);
        settle();
        std::size_t matching = 0;
        for (std::size_t n = 0; n < 9; ++n) {
            const auto domain = "fd-" + std::to_string(2 - n % 3);
            order(domain, 1);
            wait_for_outcomes(n + 1);
            matching += called.back() == domain ? 1 : 0;
        }
        return matching;
    }
};

BOOST_FIXTURE_TEST_SUITE(dispatcher_placement_test, dispatcher_placement_fixture)

// Guards against pieces that are made at an instance far from their reader while one near it is
// free.
BOOST_AUTO_TEST_CASE(piece_is_made_in_the_preferred_domain_if_an_instance_there_is_free) {
    BOOST_TEST(made_in_preferred_domain(make_piece_placement({})) == 9U);
}

BOOST_AUTO_TEST_CASE(piece_without_a_price_of_transfers_is_made_where_least_memory_is_used) {
    BOOST_TEST(made_in_preferred_domain(make_piece_placement({.price_ms_per_gb = 0})) < 9U);
}

// Guards against a piece that waits while instances of other domains are free.
BOOST_AUTO_TEST_CASE(piece_whose_preferred_domain_is_busy_is_made_in_another) {
    start_dispatcher(make_piece_placement({}), 1);
    settle();
    order("fd-1", 1);
    BOOST_REQUIRE(loop.run_until([&] { return called.size() == 1; }));
    order("fd-1", 1);
    BOOST_REQUIRE(loop.run_until([&] { return called.size() == 2; }));
    BOOST_TEST(outcomes.size() < 2U);
    wait_for_outcomes(2);
    BOOST_TEST(called[0] == "fd-1");
    BOOST_TEST(called[1] != "fd-1");
}

BOOST_AUTO_TEST_CASE(piece_for_a_domain_without_instances_is_made) {
    start_dispatcher(make_piece_placement({}), 1);
    order("fd-9", 1);
    wait_for_outcomes(1);
    BOOST_TEST((outcomes[0].status == order_status::made));
}

// Guards against a preferred domain that leads pieces out of the regions of their order.
BOOST_AUTO_TEST_CASE(piece_whose_preferred_domain_is_not_allowed_is_made_in_an_allowed_region) {
    regions = {{"fd-0", "r2"}, {"fd-1", "r1"}, {"fd-2", "r2"}};
    start_dispatcher(make_piece_placement({}), 1);
    settle();
    allowed = allowed_regions{{"r1"}};
    for (std::size_t n = 1; n <= 3; ++n) {
        order("fd-2", 1);
        wait_for_outcomes(n);
        BOOST_TEST((outcomes.back().status == order_status::made));
        BOOST_TEST(called.back() == "fd-1");
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
