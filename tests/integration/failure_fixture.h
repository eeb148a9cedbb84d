#pragma once

#include <functional>
#include <future>
#include <map>
#include <string>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "standins/stage_content.h"
#include "support/deployment.h"
#include "support/fault_proxy.h"
#include "support/http_call.h"

namespace jujubemast::tests {

/// Outcome of a request as its caller sees it.
struct request_outcome {
    unsigned status = 0;
    std::string output;
    /// Whether the request was executed, as stated in an error response.
    std::string execution;
    std::string body;
    bool complete = false;
};

/// Two encoders, two ledgers and two engines, each in a process of its own, and two entries.
struct failure_fixture {
    /// Proxies by name of the instance. Empty unless the hooks of `proxied` are used.
    std::map<std::string, std::unique_ptr<fault_proxy>> upstream_proxies;
    std::map<std::string, std::unique_ptr<fault_proxy>> link_proxies;
    deployment system;

    /// `step_us` is the time between two tokens of an engine. It is long enough for a test to act
    /// in the middle of a stream.
    explicit failure_fixture(deployment_hooks hooks = {}, int step_us = 10000,
                             int service_time_ms = 5)
        : system{std::move(hooks)} {
        const auto service = "--service_time_us=" + std::to_string(service_time_ms * 1000);
        for (int n = 0; n < 2; ++n) {
            system.add_pool("encoders", "service", 1, {service});
            system.add_pool("ledger", "service", 1, {service});
            system.add_pool("jujube-pool", "engine", 1, {"--step_us=" + std::to_string(step_us)});
        }
        system.add_entry();
        system.add_entry();
        system.publish_membership();
        system.accept_ticket(failure_ticket());
        system.wait_until_ready();
    }

    /// Returns hooks that put a proxy in front of every upstream and every sidecar.
    deployment_hooks proxied() {
        deployment_hooks hooks;
        hooks.redirect_upstream = [this](const std::string& instance, const std::string& address) {
            return proxy_address(upstream_proxies[instance], address);
        };
        hooks.redirect_link = [this](const std::string& instance, const std::string& address) {
            return proxy_address(link_proxies[instance], address);
        };
        return hooks;
    }

    static std::string proxy_address(std::unique_ptr<fault_proxy>& proxy,
                                     const std::string& address) {
        if (proxy) {
            proxy->set_target(address);
        } else {
            proxy = std::make_unique<fault_proxy>(address);
        }
        return proxy->address();
    }

    static std::string expected(const std::string& pipeline, const std::string& input, int tokens) {
        if (pipeline == "read") {
            return standins::service_output("read", input, "");
        }
        const auto context = standins::service_output("encode", input, "");
        return pipeline == "post"
                   ? standins::service_output("post", input, context)
                   : standins::engine_output(input, context, static_cast<std::uint64_t>(tokens));
    }

    [[nodiscard]] http::request request(const std::string& pipeline, const std::string& id,
                                        int tokens, bool stream = false,
                                        int timeout_ms = 20000) const {
        return {"POST",
                "/v1/pipelines/" + pipeline + "/requests",
                {{"Authorization", "Bearer demo-key"},
                 {"Content-Type", "application/json"},
                 {"X-Request-Id", id},
                 {"Idempotency-Key", "key-" + id},
                 {"X-Request-Timeout-Ms", std::to_string(timeout_ms)}},
                boost::json::serialize(boost::json::object{
                    {"input", "input of " + id}, {"max_tokens", tokens}, {"stream", stream}})};
    }

    static request_outcome to_outcome(const received_response& response) {
        request_outcome outcome{response.status, "", "", response.body, response.complete};
        boost::system::error_code ec;
        const auto document = boost::json::parse(response.body, ec);
        if (ec || !document.is_object()) {
            return outcome;
        }
        if (const auto* output = document.as_object().if_contains("output")) {
            outcome.output = output->as_string();
        }
        if (const auto* execution = document.as_object().if_contains("execution")) {
            outcome.execution = execution->as_string();
        }
        return outcome;
    }

    request_outcome send(std::size_t entry, const std::string& pipeline, const std::string& id,
                         int tokens = 8, int timeout_ms = 20000) const {
        return to_outcome(
            receive(system.entry_address(entry), request(pipeline, id, tokens, false, timeout_ms)));
    }

    std::future<request_outcome> send_async(std::size_t entry, const std::string& pipeline,
                                            const std::string& id, int tokens = 8,
                                            int timeout_ms = 20000) const {
        return std::async(std::launch::async,
                          [=, this] { return send(entry, pipeline, id, tokens, timeout_ms); });
    }

    void check_response(const request_outcome& outcome, const std::string& pipeline,
                        const std::string& id, int tokens = 8) const {
        BOOST_TEST(outcome.status == 200U, outcome.body);
        BOOST_TEST(outcome.output == expected(pipeline, "input of " + id, tokens));
    }

    /// Returns the values of a control call of a stand-in by the caller's request id. The entry
    /// appends a dot and an id of its own to it, which are removed here.
    static std::map<std::string, std::uint64_t> control(const std::string& address,
                                                        const std::string& resource) {
        std::map<std::string, std::uint64_t> values;
        const auto response = call(address, {"GET", "/control/" + resource, {}, {}});
        const auto document = boost::json::parse(response.body);
        for (const auto& it : document.as_object()) {
            const std::string id{it.key()};
            values[id.substr(0, id.find('.'))] += it.value().to_number<std::uint64_t>();
        }
        return values;
    }

    /// Returns the number of executions of a request in the running stand-ins of a pool.
    std::uint64_t executions(const std::string& pool, const std::string& id) {
        std::uint64_t sum = 0;
        for (const auto& it : system.upstreams()) {
            if (it.pool == pool && it.host->running()) {
                auto counts = control(it.upstream_address, "executions");
                sum += counts[id];
            }
        }
        return sum;
    }

    /// Waits until a stand-in of the pool has started the request, and returns its instance.
    upstream_instance& wait_until_runs(const std::string& pool, const std::string& id) {
        upstream_instance* found = nullptr;
        wait_until(id + " runs in " + pool, [&] {
            for (auto& it : system.upstreams()) {
                if (it.pool == pool && it.host->running() &&
                    control(it.upstream_address, "executions").contains(id)) {
                    found = &it;
                }
            }
            return found != nullptr;
        });
        return *found;
    }

    upstream_instance& other_in_pool(const upstream_instance& instance) {
        for (auto& it : system.upstreams()) {
            if (it.pool == instance.pool && it.name != instance.name) {
                return it;
            }
        }
        throw std::runtime_error{"no other instance in " + instance.pool};
    }

    /// Number of streams that a stand-in engine generates or has queued.
    static std::int64_t active_streams(const upstream_instance& engine) {
        const auto load =
            boost::json::parse(call(engine.upstream_address, {"GET", "/v1/load", {}, {}}).body);
        return load.at("running").as_int64() + load.at("waiting").as_int64();
    }

    static void set_behavior(const upstream_instance& instance, const boost::json::object& values) {
        call(instance.upstream_address,
             {"PUT", "/control/behavior", {}, boost::json::serialize(values)});
    }

    static boost::json::value admission_of(const upstream_instance& instance) {
        return deployment::dump(instance.admin_address).at("children").at("admission").at("detail");
    }
};

/// The same with a proxy in front of every upstream and every sidecar.
struct proxied_failure_fixture : failure_fixture {
    proxied_failure_fixture() : failure_fixture{proxied()} {}
};

} // namespace jujubemast::tests
