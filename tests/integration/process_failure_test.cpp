#include "failure_fixture.h"

namespace jujubemast::tests {

struct process_failure_fixture : failure_fixture {
    /// Streams a response, calls `kill` when the first token arrives, and checks the output.
    /// Returns the instance that had generated the stream until then.
    upstream_instance& kill_at_first_token(const std::function<void(upstream_instance&)>& kill) {
        upstream_instance* serving = nullptr;
        const auto response =
            receive(system.entry_address(0), request("answer", "r1", 150, true),
                    [&](const std::string& body) {
                        if (serving == nullptr && body.find("event: token") != std::string::npos) {
                            serving = &wait_until_runs("jujube-pool", "r1");
                            kill(*serving);
                        }
                    });
        BOOST_TEST(response.complete);
        const std::string marker = "event: done\ndata: ";
        const auto begin = response.body.find(marker) + marker.size();
        const auto document = boost::json::parse(
            response.body.substr(begin, response.body.find('\n', begin) - begin));
        BOOST_TEST(document.at("output").as_string() == expected("answer", "input of r1", 150));
        BOOST_TEST(streamed_text(response.body) == expected("answer", "input of r1", 150));
        return *serving;
    }

    /// Returns the concatenated text of all token events.
    static std::string streamed_text(const std::string& body) {
        const std::string marker = "event: token\ndata: ";
        std::string text;
        for (auto at = body.find(marker); at != std::string::npos; at = body.find(marker, at + 1)) {
            const auto begin = at + marker.size();
            const auto data =
                boost::json::parse(body.substr(begin, body.find('\n', begin) - begin));
            text += data.at("text").as_string();
        }
        return text;
    }
};

BOOST_FIXTURE_TEST_SUITE(process_failure_test, process_failure_fixture)

// Guards against a stream that is lost, or that starts again from its first token.
BOOST_AUTO_TEST_CASE(request_when_sidecar_is_killed_in_generation_resumes_elsewhere) {
    auto& serving = kill_at_first_token([](auto& it) { it.sidecar->send_signal(SIGKILL); });
    auto& second = other_in_pool(serving);
    BOOST_TEST(control(second.upstream_address, "executions")["r1"] == 1U);
    BOOST_TEST(control(second.upstream_address, "offsets")["r1"] > 0U);
}

BOOST_AUTO_TEST_CASE(request_when_engine_is_killed_in_generation_resumes_elsewhere) {
    auto& serving = kill_at_first_token([](auto& it) { it.host->send_signal(SIGKILL); });
    BOOST_TEST(control(other_in_pool(serving).upstream_address, "offsets")["r1"] > 0U);
}

// Guards against a second execution of a call whose outcome is unknown.
BOOST_AUTO_TEST_CASE(post_when_sidecar_is_killed_during_the_call_is_unknown_and_ran_once) {
    for (auto& it : system.upstreams()) {
        if (it.pool == "ledger") {
            set_behavior(it, {{"service_time_ms", 3000}});
        }
    }
    auto response = send_async(0, "post", "p1");
    auto& serving = wait_until_runs("ledger", "p1");
    serving.sidecar->send_signal(SIGKILL);
    const auto outcome = response.get();
    BOOST_TEST(outcome.status >= 500U);
    BOOST_TEST(outcome.execution != "not_run");
    BOOST_TEST(executions("ledger", "p1") == 1U);
}

// Guards against work that continues until its deadline although its caller is gone.
BOOST_AUTO_TEST_CASE(sidecar_when_entry_is_killed_cancels_its_work_before_the_deadline) {
    auto response = send_async(0, "answer", "r1", 32000);
    auto& serving = wait_until_runs("jujube-pool", "r1");
    const auto killed = std::chrono::steady_clock::now();
    system.entry(0).send_signal(SIGKILL);
    BOOST_TEST(!response.get().complete);
    wait_until("the engine is free", [&] { return active_streams(serving) == 0; });
    // After 20 s the deadline would end the work anyway.
    BOOST_TEST((std::chrono::steady_clock::now() - killed < std::chrono::seconds{15}));
    check_response(send(1, "answer", "r2"), "answer", "r2");
}

// Guards against a response that combines the results of both attempts.
BOOST_AUTO_TEST_CASE(request_when_sidecar_is_stopped_and_continued_gets_one_correct_response) {
    auto response = send_async(0, "answer", "r1", 300);
    auto& serving = wait_until_runs("jujube-pool", "r1");
    serving.sidecar->send_signal(SIGSTOP);
    auto& second = other_in_pool(serving);
    wait_until("the other engine has taken over",
               [&] { return control(second.upstream_address, "executions")["r1"] == 1; });
    serving.sidecar->send_signal(SIGCONT);
    check_response(response.get(), "answer", "r1", 300);
    wait_until("the first engine is free", [&] { return active_streams(serving) == 0; });
    system.wait_until_ready();
    check_response(send(0, "answer", "r2"), "answer", "r2");
}

// Guards against a dispatch that waits in a socket buffer and runs after its caller got the
// outcome.
BOOST_AUTO_TEST_CASE(dispatch_when_sidecar_is_stopped_past_its_deadline_never_runs) {
    std::vector<upstream_instance*> ledgers{&system.upstream("ledger-0"),
                                            &system.upstream("ledger-1")};
    for (auto* it : ledgers) {
        it->sidecar->send_signal(SIGSTOP);
    }
    const auto outcome = send(0, "post", "p1", 1, 400);
    BOOST_TEST(outcome.status >= 500U);
    for (auto* it : ledgers) {
        it->sidecar->send_signal(SIGCONT);
    }
    system.wait_until_ready();
    // Further requests over the same links show that the sidecars have read the buffered messages.
    check_response(send(0, "post", "p2"), "post", "p2");
    check_response(send(0, "post", "p3"), "post", "p3");
    BOOST_TEST(executions("ledger", "p1") == 0U);
}

BOOST_AUTO_TEST_CASE(requests_when_entry_is_stopped_and_continued_get_correct_responses) {
    std::vector<std::future<request_outcome>> responses;
    responses.reserve(6);
    for (int n = 0; n < 6; ++n) {
        responses.push_back(
            send_async(0, n % 2 == 0 ? "answer" : "post", "r" + std::to_string(n), 100));
    }
    auto& serving = wait_until_runs("jujube-pool", "r0");
    system.entry(0).send_signal(SIGSTOP);
    // The sidecar detects the silence and cancels the stream while the entry is stopped.
    wait_until("the engine is free", [&] { return active_streams(serving) == 0; });
    system.entry(0).send_signal(SIGCONT);
    for (int n = 0; n < 6; ++n) {
        const auto id = "r" + std::to_string(n);
        const std::string pipeline = n % 2 == 0 ? "answer" : "post";
        const auto outcome = responses[static_cast<std::size_t>(n)].get();
        if (pipeline == "answer" || outcome.status == 200) {
            check_response(outcome, pipeline, id, 100);
        } else {
            BOOST_TEST((outcome.execution != "not_run" || executions("ledger", id) == 0));
        }
        BOOST_TEST(executions("ledger", id) <= 1U);
    }
}

// Guards against a truncated stream that looks like a complete response.
BOOST_AUTO_TEST_CASE(stream_when_entry_is_killed_is_visibly_incomplete) {
    auto killed = false;
    const auto response =
        receive(system.entry_address(0), request("answer", "r1", 32000, true),
                [&](const std::string& body) {
                    if (!killed && body.find("event: token") != std::string::npos) {
                        killed = true;
                        system.entry(0).send_signal(SIGKILL);
                    }
                });
    BOOST_TEST(killed);
    BOOST_TEST(!response.complete);
    BOOST_TEST(response.body.find("event: done") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(stream_when_all_engines_are_killed_ends_with_an_error_event) {
    auto killed = false;
    const auto response =
        receive(system.entry_address(0), request("answer", "r1", 32000, true),
                [&](const std::string& body) {
                    if (!killed && body.find("event: token") != std::string::npos) {
                        killed = true;
                        system.upstream("jujube-pool-0").host->send_signal(SIGKILL);
                        system.upstream("jujube-pool-1").host->send_signal(SIGKILL);
                    }
                });
    BOOST_TEST(killed);
    BOOST_TEST(!response.complete);
    BOOST_TEST(response.body.find("event: error") != std::string::npos);
    BOOST_TEST(response.body.find("event: done") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
