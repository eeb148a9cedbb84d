#include "runtime/supervisor.h"

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "support/event_loop.h"

namespace jujubemast::tests {

using runtime::child_spec;
using runtime::restart_policy;
using runtime::restart_strategy;
using runtime::supervisor;
using runtime::supervisor_options;
using runtime::task_context;

/// Records what the children of the supervisor under test have done.
struct task_journal {
    std::vector<std::string> events;
    std::map<std::string, task_context> contexts;
};

class recorded_task final : public runtime::task {
public:
    recorded_task(task_context context, std::string name, task_journal& record)
        : m_name{std::move(name)}, m_record{record} {
        m_record.contexts.insert_or_assign(m_name, std::move(context));
    }

    void start() override { m_record.events.push_back("start " + m_name); }
    void stop(const runtime::stop_done& done) override {
        m_record.events.push_back("stop " + m_name);
        done();
    }
    void close() noexcept override { m_record.events.push_back("close " + m_name); }

private:
    std::string m_name;
    task_journal& m_record;
};

struct supervisor_fixture {
    supervisor_fixture() = default;
    supervisor_fixture(const supervisor_fixture&) = delete;
    supervisor_fixture& operator=(const supervisor_fixture&) = delete;

    event_loop loop;
    task_journal record;
    std::shared_ptr<runtime::task_lifecycle> lifecycle = make_lifecycle("root");
    std::string failure;
    std::shared_ptr<supervisor> root;

    void start(supervisor_options options, const std::vector<std::string>& names,
               restart_policy policy = restart_policy::permanent) {
        std::vector<child_spec> children;
        children.reserve(names.size());
        for (const auto& name : names) {
            children.push_back({name,
                                [this, name](task_context context) {
                                    return std::make_shared<recorded_task>(std::move(context), name,
                                                                           record);
                                },
                                policy});
        }
        lifecycle->on_failure = [this](const std::exception_ptr& reason) {
            try {
                std::rethrow_exception(reason);
            } catch (const std::exception& e) {
                failure = e.what();
            }
        };
        root = std::make_shared<supervisor>(loop.context(lifecycle), std::move(options),
                                            std::move(children));
        lifecycle->instance = root;
        root->start();
        record.events.clear();
    }

    void fail(const std::string& name) {
        const auto context = record.contexts.at(name);
        context.wrap([] { throw std::runtime_error{"injected"}; })();
        loop.run_ready();
    }

    ~supervisor_fixture() {
        if (root) {
            lifecycle->running = false;
            root->close();
        }
    }

    using expected = std::vector<std::string>;
};

BOOST_FIXTURE_TEST_SUITE(supervisor_test, supervisor_fixture)

// Guards against a failed task that is not restarted, or whose failure restarts its siblings.
BOOST_AUTO_TEST_CASE(supervisor_when_child_fails_restarts_only_that_child) {
    start({}, {"a", "b", "c"});
    fail("b");
    BOOST_TEST((record.events == expected{"close b", "start b"}));
}

// Guards against children that keep references to the state of a restarted child they depend on.
BOOST_AUTO_TEST_CASE(supervisor_when_rest_for_one_restarts_child_and_later_ones_in_order) {
    start({.strategy = restart_strategy::rest_for_one}, {"a", "b", "c"});
    fail("b");
    BOOST_TEST((record.events == expected{"close b", "close c", "start b", "start c"}));
}

BOOST_AUTO_TEST_CASE(supervisor_when_one_for_all_restarts_every_child) {
    start({.strategy = restart_strategy::one_for_all}, {"a", "b"});
    fail("b");
    BOOST_TEST((record.events == expected{"close b", "close a", "start a", "start b"}));
}

// Guards against an endless restart loop that hides a permanent failure.
BOOST_AUTO_TEST_CASE(supervisor_when_restart_intensity_is_exceeded_closes_all_and_fails) {
    start({.intensity = {2, std::chrono::seconds{10}}}, {"a", "b"});
    fail("a");
    fail("a");
    BOOST_TEST(failure.empty());
    record.events.clear();
    fail("a");
    BOOST_TEST((record.events == expected{"close a", "close b"}));
    BOOST_TEST(failure == "restart intensity exceeded at root/a: injected");
}

// Guards against old restarts that still count towards the restart intensity.
BOOST_AUTO_TEST_CASE(supervisor_when_restarts_are_spread_out_keeps_restarting) {
    auto now = common::time_point{};
    start({.intensity = {1, std::chrono::seconds{10}}, .clock = [&now] { return now; }}, {"a"});
    for (int n = 0; n < 5; ++n) {
        fail("a");
        now += std::chrono::seconds{11};
    }
    BOOST_TEST(failure.empty());
}

// Guards against a stop that ends a task while tasks that depend on it still run.
BOOST_AUTO_TEST_CASE(supervisor_when_stopped_stops_children_in_reverse_order) {
    start({}, {"a", "b", "c"});
    bool done = false;
    root->stop([&done] { done = true; });
    BOOST_TEST(loop.run_until([&done] { return done; }));
    BOOST_TEST(
        (record.events == expected{"stop c", "close c", "stop b", "close b", "stop a", "close a"}));
}

// Guards against a stop that hangs because a child fails while it stops.
BOOST_AUTO_TEST_CASE(supervisor_when_child_fails_during_stop_completes_the_stop) {
    start({}, {"a", "b"});
    bool done = false;
    root->stop([&done] { done = true; });
    fail("b");
    BOOST_TEST(loop.run_until([&done] { return done; }));
}

BOOST_AUTO_TEST_CASE(supervisor_when_temporary_child_fails_removes_it) {
    start({}, {"a"}, restart_policy::temporary);
    fail("a");
    BOOST_TEST(root->child_count() == 0U);
    BOOST_TEST((record.events == expected{"close a"}));
}

// Guards against handlers of a failed task instance that run after its restart.
BOOST_AUTO_TEST_CASE(task_context_when_task_has_ended_drops_its_handlers) {
    start({}, {"a"});
    const auto stale = record.contexts.at("a");
    fail("a");
    bool called = false;
    stale.wrap([&called] { called = true; })();
    BOOST_TEST(!called);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
