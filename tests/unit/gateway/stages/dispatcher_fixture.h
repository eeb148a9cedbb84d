#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "gateway/stages/dispatcher.h"
#include "http/server.h"
#include "support/event_loop.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::stages;
using std::chrono::milliseconds;

/// A dispatcher with one instance of one stage service. The adapter encodes calls as plain paths.
struct dispatcher_fixture {
    event_loop loop;
    std::shared_ptr<runtime::mailbox<dispatcher_message>> inbox =
        runtime::make_mailbox<dispatcher_message>(loop.executor(), 100);
    std::shared_ptr<runtime::mailbox<peers_message>> peers_inbox =
        runtime::make_mailbox<peers_message>(loop.executor(), 100);
    std::vector<std::string> requested_paths;
    /// Whether the instance works on its calls without end.
    bool keeps_calls = false;
    std::vector<http::responder> kept_calls;
    std::vector<order_outcome> outcomes;
    std::vector<std::shared_ptr<runtime::task>> tasks;
    std::vector<std::shared_ptr<runtime::task_lifecycle>> lives;
    discovery_update update;
    /// The report of the instance.
    instance_report reported{0, 1e6};
    /// Handle of each result.
    std::string handle = "handle";
    /// The pause that the instance asks for in its next response.
    std::optional<common::duration> pause;

    dispatcher_fixture() {
        http::endpoint address;
        http::server_options options;
        options.listen = {"127.0.0.1", 0};
        options.on_listening = [&](const http::endpoint& bound) { address = bound; };
        const auto server =
            http::make_server("instance", options,
                              [this](const http::request& message, const http::responder& reply) {
                                  requested_paths.push_back(message.target);
                                  if (keeps_calls && message.target == "/make") {
                                      kept_calls.push_back(reply);
                                  } else {
                                      reply.respond({200, {}, ""});
                                  }
                                  return http::disconnect_hook{};
                              });
        run(server.make);
        BOOST_REQUIRE(loop.run_until([&] { return address.port != 0; }));
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
        upstream_map known;
        known["i"] = {.id = "i", .service = "stages", .address = address};
        update.upstreams = std::make_shared<const upstream_map>(known);
        configuration all;
        all.services["stages"] = {"stages", std::nullopt,
                                  piece_limits{.call_time = milliseconds{10},
                                               .piece_time = milliseconds{1},
                                               .result_memory_bytes = 1e6}};
        update.configuration = std::make_shared<const configuration>(all);
    }
    dispatcher_fixture(const dispatcher_fixture&) = delete;
    dispatcher_fixture& operator=(const dispatcher_fixture&) = delete;

    ~dispatcher_fixture() {
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

    adapter make_adapter() {
        const auto get = [](const char* path) { return http::request{"GET", path, {}, {}}; };
        adapter result;
        result.encode_report_query = [=](const std::string&) { return get("/report"); };
        result.decode_instance_report = [this](const std::string&) { return reported; };
        result.encode_piece_call = [=](const std::string&, const std::vector<piece_item>&) {
            return get("/make");
        };
        result.decode_piece_response = [this](const std::string&) {
            return std::vector<piece_result>{{piece_status::made, handle}};
        };
        result.decode_response_head = [this](unsigned status, const http::headers&) {
            return response_head{.status = status, .pause = std::exchange(pause, {})};
        };
        result.encode_release = [=](const std::string&, const std::vector<std::string>&) {
            return get("/release");
        };
        return result;
    }

    /// Orders one piece and waits for the outcome.
    order_status make_piece(std::uint64_t number, const allowed_regions& regions = {}) {
        piece_order order;
        order.regions = regions;
        order.key.number = number;
        order.service = "stages";
        order.count = 1;
        order.deadline = order.target_time =
            common::monotonic_clock::now() + std::chrono::seconds{2};
        inbox->post(order);
        const auto before = outcomes.size();
        BOOST_REQUIRE(loop.run_until([&] {
            const bool late = common::monotonic_clock::now() > order.deadline;
            return outcomes.size() > before || late;
        }));
        return outcomes.size() > before ? outcomes.back().status : order_status::expired;
    }

    /// Makes the results ones that the instance holds, so that they can be released there.
    void hold_results() { handle = http::to_string(update.upstreams->at("i").address) + "/1"; }

    std::size_t count_requests(const std::string& path) const {
        return static_cast<std::size_t>(
            std::count(requested_paths.begin(), requested_paths.end(), path));
    }
};

} // namespace jujubemast::tests
