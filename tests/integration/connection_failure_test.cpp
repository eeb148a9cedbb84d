#include "failure_fixture.h"

namespace jujubemast::tests {

BOOST_FIXTURE_TEST_SUITE(connection_failure_test, proxied_failure_fixture)

// Guards against work that is lost with the messages of a broken connection. Heartbeat responses
// contain the number of the connection; without it, the request would wait until its deadline.
BOOST_AUTO_TEST_CASE(request_when_its_link_is_reset_keeps_its_work_at_the_same_upstream) {
    auto response = send_async(0, "answer", "r1", 150);
    auto& serving = wait_until_runs("jujube-pool", "r1");
    link_proxies.at(serving.name)->reset_connections();
    check_response(response.get(), "answer", "r1", 150);
    BOOST_TEST(executions("jujube-pool", "r1") == 1U);
}

BOOST_AUTO_TEST_CASE(posts_when_links_are_reset_repeatedly_run_at_most_once_each) {
    for (int n = 0; n < 12; ++n) {
        const auto id = "p" + std::to_string(n);
        auto response = send_async(static_cast<std::size_t>(n % 2), "post", id);
        for (const auto& [name, proxy] : link_proxies) {
            if (name.starts_with("ledger")) {
                proxy->reset_connections();
            }
        }
        const auto outcome = response.get();
        const auto count = executions("ledger", id);
        BOOST_TEST(count <= 1U);
        if (outcome.status == 200) {
            check_response(outcome, "post", id);
        } else {
            BOOST_TEST((outcome.execution != "not_run" || count == 0));
        }
    }
}

// Guards against requests that hang when existing links go silent while new connections work.
BOOST_AUTO_TEST_CASE(requests_when_links_go_silent_complete_over_new_links) {
    for (const auto& [name, proxy] : link_proxies) {
        proxy->stall_existing();
    }
    const auto begin = std::chrono::steady_clock::now();
    auto first = send_async(0, "answer", "r1");
    auto second = send_async(1, "read", "r2");
    check_response(first.get(), "answer", "r1");
    check_response(second.get(), "read", "r2");
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    BOOST_TEST_MESSAGE("completed after " << elapsed.count() << " s");
    // The deadline of the requests is 20 s.
    BOOST_TEST(elapsed.count() < 10.0);
}

// Guards against a link that is taken for silent because a heartbeat response arrives only after
// the next heartbeat was sent.
BOOST_AUTO_TEST_CASE(link_when_slower_than_the_heartbeat_interval_stays_up) {
    for (const auto& [name, proxy] : link_proxies) {
        proxy->set_delay(std::chrono::milliseconds{150});
    }
    for (int n = 0; n < 4; ++n) {
        const auto id = "r" + std::to_string(n);
        check_response(send(0, "read", id), "read", id);
    }
    const auto state = deployment::dump(system.entry_admin_address(0));
    const auto& links = state.at("children").at("links").at("detail").at("links").as_object();
    for (const auto& it : links) {
        BOOST_TEST(it.value().at("replacements").to_number<int>() == 0);
    }
}

BOOST_AUTO_TEST_CASE(streams_when_links_are_throttled_complete) {
    for (const auto& [name, proxy] : link_proxies) {
        proxy->set_rate(20000);
    }
    std::vector<std::future<request_outcome>> responses;
    responses.reserve(4);
    for (int n = 0; n < 4; ++n) {
        responses.push_back(send_async(0, "answer", "r" + std::to_string(n), 60));
    }
    for (int n = 0; n < 4; ++n) {
        check_response(responses[static_cast<std::size_t>(n)].get(), "answer",
                       "r" + std::to_string(n), 60);
    }
}

// Guards against non-idempotent calls on pooled connections. If such a connection is silent, it is
// unknown whether the call has run.
BOOST_AUTO_TEST_CASE(post_when_idle_connections_are_silent_uses_a_new_one_and_completes) {
    for (int n = 0; n < 8; ++n) {
        const auto id = "r" + std::to_string(n);
        check_response(send(0, "read", id), "read", id);
    }
    for (const auto* name : {"ledger-0", "ledger-1"}) {
        BOOST_TEST(upstream_proxies.at(name)->connections() > 0U);
        upstream_proxies.at(name)->stall_existing();
    }
    for (int n = 0; n < 4; ++n) {
        const auto id = "p" + std::to_string(n);
        check_response(send(0, "post", id), "post", id);
        BOOST_TEST(executions("ledger", id) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(read_when_idle_connections_are_silent_completes_before_its_deadline) {
    check_response(send(0, "read", "warm"), "read", "warm");
    for (const auto* name : {"ledger-0", "ledger-1"}) {
        upstream_proxies.at(name)->stall_existing();
    }
    check_response(send(0, "read", "r1", 1, 6000), "read", "r1");
}

BOOST_AUTO_TEST_CASE(generation_when_its_upstream_connection_goes_silent_resumes) {
    auto response = send_async(0, "answer", "r1", 150);
    auto& serving = wait_until_runs("jujube-pool", "r1");
    upstream_proxies.at(serving.name)->stall_existing();
    check_response(response.get(), "answer", "r1", 150);
}

// Guards against a second execution when the response to the first execution is lost.
BOOST_AUTO_TEST_CASE(post_when_its_response_is_dropped_is_unknown_and_ran_once) {
    for (const auto* name : {"ledger-0", "ledger-1"}) {
        upstream_proxies.at(name)->drop_responses(1);
    }
    const auto outcome = send(0, "post", "p1");
    BOOST_TEST(outcome.status >= 500U);
    BOOST_TEST(outcome.execution != "not_run");
    BOOST_TEST(executions("ledger", "p1") == 1U);
}

BOOST_AUTO_TEST_CASE(read_when_its_response_is_dropped_is_retried) {
    for (const auto* name : {"ledger-0", "ledger-1"}) {
        upstream_proxies.at(name)->drop_responses(1);
    }
    check_response(send(0, "read", "r1"), "read", "r1");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
