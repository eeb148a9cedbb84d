#include <future>
#include <string>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "support/deployment.h"
#include "support/http_call.h"

namespace jujubemast::tests {

struct idempotency_fixture {
    deployment system;

    idempotency_fixture() {
        system.add_pool("ledgers", "service", 1);
        system.add_entry();
        system.add_entry();
        system.publish_membership();
        system.accept_ticket(
            "pools:\n  ledgers: {kind: service}\n"
            "pipelines:\n"
            "  post: {priority: standard, deadline_ms: 4000, stages: [{name: post, pool: ledgers, "
            "operation: post, idempotent: false}]}\n"
            "  read: {priority: standard, deadline_ms: 4000, stages: [{name: read, pool: ledgers, "
            "operation: read}]}\n"
            "workspaces:\n  demo: {weight: 1, key_sha256: "
            "\"c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c\"}\n");
        system.wait_until_ready();
    }

    [[nodiscard]] http::response post(std::size_t entry, const std::string& key,
                                      const std::string& input = "x") const {
        return system.submit(entry, "post", R"({"input":")" + input + R"("})",
                             {{"Idempotency-Key", key}});
    }

    static std::string problem_of(const http::response& response) {
        return std::string{boost::json::parse(response.body).at("title").as_string()};
    }

    static std::string execution_of(const http::response& response) {
        return std::string{boost::json::parse(response.body).at("execution").as_string()};
    }

    /// Number of calls that the stand-in has executed, over all requests.
    std::int64_t executions() {
        const auto& address = system.upstreams().front().upstream_address;
        std::int64_t sum = 0;
        const auto counts =
            boost::json::parse(call(address, {"GET", "/control/executions", {}, {}}).body);
        for (const auto& it : counts.as_object()) {
            sum += it.value().to_number<std::int64_t>();
        }
        return sum;
    }

    void set_service_time(int milliseconds) {
        call(system.upstreams().front().upstream_address,
             {"PUT",
              "/control/behavior",
              {},
              R"({"service_time_ms":)" + std::to_string(milliseconds) + "}"});
    }

    void set_store_faults(const std::string& faults) const {
        call(system.platform_address(), {"PUT", "/control/faults", {}, faults});
    }
};

BOOST_FIXTURE_TEST_SUITE(idempotency_test, idempotency_fixture)

// Guards against a second execution, such as a booking that is made twice, when the response did
// not reach the caller, who then retries.
BOOST_AUTO_TEST_CASE(entry_when_key_is_reused_at_another_entry_returns_the_first_response) {
    const auto first = post(0, "k");
    BOOST_TEST_REQUIRE(first.status == 200U, first.body);
    for (std::size_t n = 0; n < 4; ++n) {
        const auto retry = post(n % 2, "k");
        BOOST_TEST(retry.status == 200U);
        BOOST_TEST(retry.body == first.body);
    }
    BOOST_TEST(executions() == 1);
    const auto other = post(1, "k", "another input");
    BOOST_TEST(other.status == 422U);
    BOOST_TEST(problem_of(other) == "idempotency_conflict");
    BOOST_TEST(execution_of(other) == "not_run");
    BOOST_TEST(executions() == 1);
}

// Guards against a second execution, at either entry, while the first is still in progress.
BOOST_AUTO_TEST_CASE(entry_when_first_request_is_in_progress_refuses_its_retry) {
    set_service_time(1500);
    auto first = std::async(std::launch::async, [this] { return post(0, "k"); });
    wait_until("the first request runs", [this] { return executions() == 1; });
    for (std::size_t entry = 0; entry < 2; ++entry) {
        const auto retry = post(entry, "k");
        BOOST_TEST(retry.status == 409U);
        BOOST_TEST(problem_of(retry) == "request_in_progress");
        BOOST_TEST(execution_of(retry) == "unknown");
    }
    BOOST_TEST(first.get().status == 200U);
    BOOST_TEST(executions() == 1);
}

// Guards against a response that is lost when its caller disconnects.
BOOST_AUTO_TEST_CASE(entry_when_caller_disconnects_completes_the_claimed_request_for_its_retry) {
    set_service_time(1200);
    BOOST_CHECK_THROW(call(system.entry_address(0),
                           {"POST",
                            "/v1/pipelines/post/requests",
                            {{"Authorization", "Bearer demo-key"}, {"Idempotency-Key", "k"}},
                            R"({"input":"x"})"},
                           std::chrono::seconds{1}),
                      std::runtime_error);
    wait_until("the retry gets the response", [this] { return post(1, "k").status == 200; });
    BOOST_TEST(executions() == 1);
}

// Guards against an execution without a claim, and against an outage that stops idempotent work.
BOOST_AUTO_TEST_CASE(entry_when_store_is_down_refuses_only_claimed_requests_as_not_run) {
    for (const std::string faults : {R"({"outage":1})", R"({"silent":1})"}) {
        set_store_faults(faults);
        const auto refused = post(0, "k");
        BOOST_TEST(refused.status == 503U);
        BOOST_TEST(problem_of(refused) == "store_unavailable");
        BOOST_TEST(execution_of(refused) == "not_run");
        BOOST_TEST(executions() == 0);
    }
    BOOST_TEST(system.submit(0, "read", R"({"input":"x"})").status == 200U);
    set_store_faults("{}");
    // The transaction that the silent store left unanswered must not block the key.
    wait_until("the key can be used", [this] { return post(1, "k").status == 200; });
    BOOST_TEST(executions() == 2);
}

// Guards against a claim that is abandoned, or made twice, because the store's response was lost.
BOOST_AUTO_TEST_CASE(entry_when_store_response_to_claim_is_lost_runs_the_request_once) {
    set_store_faults(R"({"lost_answers":1})");
    const auto first = post(0, "k");
    BOOST_TEST(first.status == 200U, first.body);
    BOOST_TEST(post(1, "k").body == first.body);
    BOOST_TEST(executions() == 1);
}

// Guards against a second execution after the entry that holds the claim was killed.
BOOST_AUTO_TEST_CASE(entry_when_killed_after_the_claim_leaves_an_unknown_outcome) {
    set_service_time(1000);
    auto first = std::async(std::launch::async, [this] {
        try {
            return post(0, "k").status;
        } catch (const std::runtime_error&) {
            return 0U;
        }
    });
    wait_until("the first request runs", [this] { return executions() == 1; });
    system.entry(0).send_signal(SIGKILL);
    BOOST_TEST(first.get() == 0U);
    BOOST_TEST(problem_of(post(1, "k")) == "request_in_progress");
    wait_until("the deadline has passed",
               [this] { return problem_of(post(1, "k")) == "unknown_outcome"; });
    BOOST_TEST(execution_of(post(1, "k")) == "unknown");
    BOOST_TEST(executions() == 1);
}

// Guards against a response that is delayed until an outage of the store ends.
BOOST_AUTO_TEST_CASE(entry_when_store_fails_after_the_claim_responds_and_records_later) {
    set_service_time(1000);
    auto first = std::async(std::launch::async, [this] { return post(0, "k"); });
    wait_until("the first request runs", [this] { return executions() == 1; });
    set_store_faults(R"({"outage":1})");
    const auto response = first.get();
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(problem_of(post(1, "k")) == "store_unavailable");
    set_store_faults("{}");
    wait_until("the outcome is recorded", [&] { return post(1, "k").body == response.body; });
    BOOST_TEST(executions() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
