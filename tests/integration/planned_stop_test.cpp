#include <atomic>
#include <mutex>
#include <thread>

#include "failure_fixture.h"

namespace jujubemast::tests {

/// Sends requests one after the other on each of three threads until stopped. The test directs them
/// to an entry that is ready, as a load balancer does.
class background_load {
public:
    explicit background_load(failure_fixture& fixture) : m_fixture{fixture} {
        for (int n = 0; n < 3; ++n) {
            m_threads.emplace_back([this, n] { run(n); });
        }
    }
    ~background_load() { stop(); }
    background_load(const background_load&) = delete;
    background_load& operator=(const background_load&) = delete;

    /// Sets the entry for new requests.
    void set_entry(std::size_t entry) { m_entry = entry; }

    void stop() {
        m_stopped = true;
        for (auto& it : m_threads) {
            if (it.joinable()) {
                it.join();
            }
        }
    }

    struct record {
        std::string pipeline;
        std::string id;
        request_outcome outcome;
    };
    std::vector<record>& records() { return m_records; }

private:
    void run(int worker) {
        static const std::vector<std::string> pipelines{"answer", "post", "read"};
        for (int n = 0; !m_stopped; ++n) {
            const auto& pipeline = pipelines[static_cast<std::size_t>(worker)];
            const auto id = "w" + std::to_string(worker) + "-" + std::to_string(n);
            auto outcome = m_fixture.send(m_entry, pipeline, id, 20);
            const std::lock_guard lock{m_mutex};
            m_records.push_back({pipeline, id, std::move(outcome)});
        }
    }

    failure_fixture& m_fixture;
    std::atomic<std::size_t> m_entry = 0;
    std::atomic<bool> m_stopped = false;
    std::mutex m_mutex;
    std::vector<record> m_records;
    std::vector<std::thread> m_threads;
};

BOOST_FIXTURE_TEST_SUITE(planned_stop_test, failure_fixture)

// Guards against new work for an upstream that the membership list shows as leaving.
BOOST_AUTO_TEST_CASE(instance_when_listed_as_leaving_finishes_its_work_and_gets_no_more) {
    auto response = send_async(0, "answer", "r1", 200);
    auto& serving = wait_until_runs("jujube-pool", "r1");
    system.publish_membership({serving.name});
    wait_until("the sidecar is leaving",
               [&] { return admission_of(serving).at("leaving").as_bool(); });
    for (int n = 0; n < 8; ++n) {
        const auto id = "n" + std::to_string(n);
        check_response(send(static_cast<std::size_t>(n % 2), "answer", id), "answer", id);
    }
    check_response(response.get(), "answer", "r1", 200);
    const auto counts = control(serving.upstream_address, "executions");
    BOOST_TEST(counts.size() == 1U);
    BOOST_TEST(executions("jujube-pool", "r1") == 1U);
    system.publish_membership();
    wait_until("it accepts work again",
               [&] { return !admission_of(serving).at("leaving").as_bool(); });
}

// Guards against queued work that remains at an upstream that is leaving.
BOOST_AUTO_TEST_CASE(queued_work_when_its_instance_leaves_is_moved_to_another) {
    std::vector<std::future<request_outcome>> responses;
    responses.reserve(40);
    for (int n = 0; n < 40; ++n) {
        responses.push_back(send_async(0, "answer", "r" + std::to_string(n), 100));
    }
    auto& leaving = system.upstream("jujube-pool-0");
    wait_until("work is queued", [&] {
        return admission_of(leaving).at("queued").at("standard").to_number<int>() > 0;
    });
    system.publish_membership({leaving.name});
    wait_until("the sidecar is leaving",
               [&] { return admission_of(leaving).at("leaving").as_bool(); });
    BOOST_TEST(admission_of(leaving).at("queued").at("standard").to_number<int>() == 0);
    for (int n = 0; n < 40; ++n) {
        check_response(responses[static_cast<std::size_t>(n)].get(), "answer",
                       "r" + std::to_string(n), 100);
    }
}

BOOST_AUTO_TEST_CASE(sidecar_when_terminated_finishes_its_work_and_ends_with_code_zero) {
    auto response = send_async(0, "answer", "r1", 200);
    auto& serving = wait_until_runs("jujube-pool", "r1");
    serving.sidecar->send_signal(SIGTERM);
    wait_until("the sidecar drains",
               [&] { return admission_of(serving).at("draining").as_bool(); });
    for (int n = 0; n < 6; ++n) {
        const auto id = "n" + std::to_string(n);
        check_response(send(0, "answer", id), "answer", id);
    }
    check_response(response.get(), "answer", "r1", 200);
    BOOST_TEST(serving.sidecar->wait() == 0);
    BOOST_TEST(control(serving.upstream_address, "executions").size() == 1U);
    BOOST_TEST(executions("jujube-pool", "r1") == 1U);
}

// Guards against a stop that waits for acknowledgements from an entry that no longer exists.
BOOST_AUTO_TEST_CASE(sidecar_when_terminated_after_its_entry_was_killed_ends_before_the_deadline) {
    auto response = send_async(0, "answer", "r1", 32000);
    auto& serving = wait_until_runs("jujube-pool", "r1");
    const auto begin = std::chrono::steady_clock::now();
    system.entry(0).send_signal(SIGKILL);
    serving.sidecar->send_signal(SIGTERM);
    BOOST_TEST(serving.sidecar->wait() == 0);
    BOOST_TEST((std::chrono::steady_clock::now() - begin < std::chrono::seconds{15}));
    BOOST_TEST(!response.get().complete);
}

// Guards against requests that a rolling restart interrupts, refuses or runs twice.
BOOST_AUTO_TEST_CASE(requests_when_all_processes_restart_in_turn_all_complete) {
    background_load requests{*this};
    for (auto& it : system.upstreams()) {
        it.sidecar->send_signal(SIGTERM);
        BOOST_TEST(it.sidecar->wait() == 0);
        system.start_sidecar(it);
        system.publish_membership();
        system.wait_until_ready();
    }
    for (std::size_t n = 0; n < 2; ++n) {
        // The entry that is stopped completes its requests in progress.
        requests.set_entry(1 - n);
        system.entry(n).send_signal(SIGTERM);
        BOOST_TEST(system.entry(n).wait() == 0);
        system.restart_entry(n);
        system.wait_until_ready();
    }
    requests.stop();
    BOOST_TEST_MESSAGE(requests.records().size() << " requests");
    BOOST_TEST(requests.records().size() > 20U);
    for (const auto& it : requests.records()) {
        check_response(it.outcome, it.pipeline, it.id, 20);
        if (it.pipeline == "post") {
            BOOST_TEST(executions("ledger", it.id) == 1U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
