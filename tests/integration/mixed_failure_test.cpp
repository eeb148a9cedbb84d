#include <atomic>
#include <cstdlib>
#include <mutex>
#include <set>
#include <thread>

#include <poll.h>

#include "common/enum_names.h"
#include "common/random.h"
#include "failure_fixture.h"

namespace jujubemast::tests {

/// A fault that is injected during the run and then removed.
enum class mixed_fault {
    kill_sidecar,
    kill_upstream,
    kill_entry,
    stop_sidecar,
    stop_entry,
    cut_links,
    stall_links,
    stall_upstreams,
    drop_responses,
    store_outage,
    two_at_once
};

} // namespace jujubemast::tests

namespace jujubemast::common {

template <>
struct enum_names<tests::mixed_fault> {
    static constexpr std::array<std::string_view, 11> table{
        "kill_sidecar",   "kill_upstream", "kill_entry",  "stop_sidecar",
        "stop_entry",     "cut_links",     "stall_links", "stall_upstreams",
        "drop_responses", "store_outage",  "two_at_once"};
};

} // namespace jujubemast::common

namespace jujubemast::tests {

namespace {

std::int64_t environment_number(const char* name, std::int64_t fallback) {
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::atoll(text);
}

} // namespace

/// A deployment under load with injected faults, chosen at random from a seed. The environment
/// variables JUJUBEMAST_SEED and JUJUBEMAST_SECONDS set the seed and the duration of the run.
struct mixed_failure_fixture : proxied_failure_fixture {
    struct record {
        std::string pipeline;
        std::string id;
        request_outcome outcome;
    };

    const std::int64_t seed = environment_number("JUJUBEMAST_SEED", 7);
    const std::chrono::seconds duration{environment_number("JUJUBEMAST_SECONDS", 25)};
    common::random_hook random = common::seeded_random(static_cast<std::uint64_t>(seed));
    std::atomic<bool> load_active = true;
    std::mutex records_mutex;
    std::mutex addresses_mutex;
    std::vector<record> records;
    std::vector<std::thread> workers;
    std::map<std::string, int> faults;
    std::map<std::string, std::map<std::string, std::uint64_t>> execution_counts;

    mixed_failure_fixture() {
        BOOST_TEST_MESSAGE("seed " << seed);
        for (int n = 0; n < 8; ++n) {
            workers.emplace_back([this, n] { run_worker(n); });
        }
    }

    ~mixed_failure_fixture() { stop_load(); }
    mixed_failure_fixture(const mixed_failure_fixture&) = delete;
    mixed_failure_fixture& operator=(const mixed_failure_fixture&) = delete;

    void stop_load() {
        load_active = false;
        for (auto& it : workers) {
            it.join();
        }
        workers.clear();
    }

    void run_worker(int worker) {
        static const std::vector<std::string> pipelines{"answer", "post", "read"};
        for (int n = 0; load_active; ++n) {
            const auto& pipeline = pipelines[static_cast<std::size_t>(n % 3)];
            const auto id = "w" + std::to_string(worker) + "-" + std::to_string(n);
            std::string address;
            {
                const std::lock_guard lock{addresses_mutex};
                address = system.entry_address(static_cast<std::size_t>(worker % 2));
            }
            auto outcome = to_outcome(receive(address, request(pipeline, id, 20, false, 4000)));
            if (outcome.status == 0) {
                // Waits before the next request to an entry that is not running.
                ::poll(nullptr, 0, 20);
            }
            const std::lock_guard lock{records_mutex};
            records.push_back({pipeline, id, std::move(outcome)});
        }
    }

    upstream_instance& random_instance(bool include_ledgers) {
        for (;;) {
            auto& it = system.upstreams()[common::uniform_below(random, system.upstreams().size())];
            // Ledgers count the executions in memory, so a restart would lose the counts.
            if (include_ledgers || it.pool != "ledger") {
                return it;
            }
        }
    }

    void random_pause() {
        ::poll(nullptr, 0, static_cast<int>(200 + common::uniform_below(random, 1500)));
    }

    void set_store_outage(bool outage) const {
        call(system.platform_address(),
             {"PUT",
              "/control/faults",
              {},
              boost::json::serialize(boost::json::object{{"outage", outage ? 1 : 0}})});
    }

    static void for_each_proxy(const std::map<std::string, std::unique_ptr<fault_proxy>>& proxies,
                               const std::function<void(fault_proxy&)>& change) {
        for (const auto& [name, proxy] : proxies) {
            change(*proxy);
        }
    }

    void inject(mixed_fault fault) {
        ++faults[std::string{common::to_name(fault)}];
        switch (fault) {
        case mixed_fault::kill_sidecar: {
            auto& it = random_instance(true);
            it.sidecar->send_signal(SIGKILL);
            random_pause();
            system.start_sidecar(it);
            break;
        }
        case mixed_fault::kill_upstream: {
            auto& it = random_instance(false);
            it.host->send_signal(SIGKILL);
            it.host->wait();
            random_pause();
            system.restart_upstream(it);
            break;
        }
        case mixed_fault::kill_entry: {
            const auto n = common::uniform_below(random, 2);
            system.entry(n).send_signal(SIGKILL);
            system.entry(n).wait();
            const std::lock_guard lock{addresses_mutex};
            system.restart_entry(n);
            break;
        }
        case mixed_fault::stop_sidecar: {
            auto& it = random_instance(true);
            it.sidecar->send_signal(SIGSTOP);
            random_pause();
            random_pause();
            it.sidecar->send_signal(SIGCONT);
            break;
        }
        case mixed_fault::stop_entry: {
            const auto n = common::uniform_below(random, 2);
            system.entry(n).send_signal(SIGSTOP);
            random_pause();
            random_pause();
            system.entry(n).send_signal(SIGCONT);
            break;
        }
        case mixed_fault::cut_links:
            for_each_proxy(link_proxies, [](fault_proxy& it) { it.reset_connections(); });
            break;
        case mixed_fault::stall_links:
            for_each_proxy(link_proxies, [](fault_proxy& it) { it.stall_existing(); });
            break;
        case mixed_fault::stall_upstreams:
            for_each_proxy(upstream_proxies, [](fault_proxy& it) { it.stall_existing(); });
            break;
        case mixed_fault::drop_responses:
            for_each_proxy(upstream_proxies, [](fault_proxy& it) { it.drop_responses(3); });
            break;
        case mixed_fault::store_outage:
            set_store_outage(true);
            random_pause();
            set_store_outage(false);
            break;
        case mixed_fault::two_at_once:
            set_store_outage(true);
            inject(mixed_fault::kill_sidecar);
            inject(mixed_fault::stop_entry);
            set_store_outage(false);
            break;
        }
    }

    /// Adds the execution counts of all stand-ins to `execution_counts`.
    void read_counts() {
        for (const auto& it : system.upstreams()) {
            for (const auto& [id, n] : control(it.upstream_address, "executions")) {
                execution_counts[it.pool][id] += n;
            }
        }
    }

    std::uint64_t executions_of(const std::string& pool, const std::string& id) {
        return execution_counts[pool][id];
    }

    void check_record(const record& it) {
        const auto& outcome = it.outcome;
        const auto posts = executions_of("ledger", it.id);
        if (it.pipeline == "post") {
            BOOST_TEST(posts <= 1U, it.id << " ran " << posts << " times");
        }
        if (outcome.status == 200 && outcome.complete) {
            check_response(outcome, it.pipeline, it.id, 20);
            BOOST_TEST((it.pipeline != "post" || posts == 1), it.id << " did not run");
            return;
        }
        if (!outcome.complete) {
            // The entry was killed, and the caller sees that the outcome is unknown.
            return;
        }
        BOOST_TEST((outcome.execution == "not_run" || outcome.execution == "ran" ||
                    outcome.execution == "unknown"),
                   outcome.body);
        if (outcome.execution == "not_run") {
            BOOST_TEST(posts == 0U, it.id << " ran: " << outcome.body);
            BOOST_TEST(executions_of("encoders", it.id) == 0U, it.id << " was encoded");
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(mixed_failure_test, mixed_failure_fixture)

BOOST_AUTO_TEST_CASE(requests_under_mixed_failures_have_one_correct_outcome_each) {
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) {
        inject(static_cast<mixed_fault>(
            common::uniform_below(random, common::enumerator_count<mixed_fault>())));
        // A restarted sidecar has a new address.
        system.publish_membership();
        random_pause();
    }
    for_each_proxy(upstream_proxies, [](fault_proxy& it) { it.drop_responses(0); });
    system.wait_until_ready();
    stop_load();
    // Once the sidecars have removed all records, the deadlines have passed and nothing can run.
    for (const auto& it : system.upstreams()) {
        wait_until("work has ended",
                   [&] { return admission_of(it).at("records").to_number<int>() == 0; });
    }
    read_counts();
    std::map<std::string, int> outcomes;
    std::set<std::string> ids;
    for (const auto& it : records) {
        BOOST_TEST(ids.insert(it.id).second);
        check_record(it);
        ++outcomes[it.outcome.complete ? std::to_string(it.outcome.status) + it.outcome.execution
                                       : "cut"];
    }
    for (const auto& [name, n] : faults) {
        BOOST_TEST_MESSAGE("fault " << name << ": " << n);
    }
    for (const auto& [name, n] : outcomes) {
        BOOST_TEST_MESSAGE("outcome " << name << ": " << n);
    }
    BOOST_TEST(outcomes["200"] > 0);
    check_response(send(0, "answer", "last0"), "answer", "last0");
    check_response(send(1, "post", "last1"), "post", "last1");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
