#include "gateway/instances/instance_state.h"

#include <algorithm>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "support/property.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::instances;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// What may happen to an instance.
enum class step_kind {
    wait,
    list,
    unlist,
    pause,
    announce_drain,
    eject,
    reinstate,
    drain_domain,
    end_drain_of_domain
};

struct step {
    step_kind kind = step_kind::wait;
    common::duration time = common::duration::zero();
};

struct instance_state_fixture {
    using transition_table = std::vector<instance_transition>;

    common::time_point now{seconds{100}};

    static transition_table standard() {
        return {instance_transitions.begin(), instance_transitions.end()};
    }

    /// The standard table with one transition added or replaced.
    static transition_table with(const instance_transition& changed) {
        auto table = standard();
        std::erase_if(table, [&](const instance_transition& it) {
            return it.from == changed.from && it.event == changed.event;
        });
        table.push_back(changed);
        return table;
    }

    static transition_table without(instance_phase from, instance_event event) {
        auto table = standard();
        std::erase_if(table, [&](const instance_transition& it) {
            return it.from == from && it.event == event;
        });
        return table;
    }

    /// Drives an instance through the steps. Returns what it got wrong, or an empty string.
    static std::string check(const std::vector<step>& steps, const transition_table& table) {
        common::time_point now{seconds{100}};
        instance_state subject{now, table};
        bool listed = true;
        bool drain_announced = false;
        bool ejected = false;
        bool domain_drained = false;
        common::time_point paused_until;
        for (const auto& it : steps) {
            switch (it.kind) {
            case step_kind::wait:
                now += it.time;
                break;
            case step_kind::list:
            case step_kind::unlist:
                listed = it.kind == step_kind::list;
                subject.set_registered(listed, now);
                break;
            case step_kind::pause:
                paused_until = std::max(paused_until, now + it.time);
                subject.request_pause(now + it.time);
                break;
            case step_kind::announce_drain:
                drain_announced = true;
                subject.announce_drain();
                break;
            case step_kind::eject:
            case step_kind::reinstate:
                ejected = it.kind == step_kind::eject;
                break;
            case step_kind::drain_domain:
            case step_kind::end_drain_of_domain:
                domain_drained = it.kind == step_kind::drain_domain;
                subject.set_domain_drained(domain_drained);
                break;
            }
            subject.update(now, ejected);
            const bool may_get_work = listed && !drain_announced && !domain_drained;
            const bool expected = may_get_work && !ejected && now >= paused_until;
            if (subject.accepts_work() != expected) {
                return expected ? "usable instance gets no work" : "unusable instance gets work";
            }
            const bool accepts_any_work = subject.accepts_work() ||
                                          subject.accepts_work_as_fallback() ||
                                          subject.accepts_work_after_pause();
            if (accepts_any_work != may_get_work) {
                return "drained, draining or unlisted instance may get work";
            }
            if (subject.accepts_calls() && (!listed || (!drain_announced && now < paused_until))) {
                return "pausing or unlisted instance gets calls";
            }
        }
        return {};
    }

    static std::vector<step> draw_steps() {
        const auto kind = rc::gen::element(
            step_kind::wait, step_kind::wait, step_kind::list, step_kind::unlist, step_kind::pause,
            step_kind::announce_drain, step_kind::eject, step_kind::reinstate,
            step_kind::drain_domain, step_kind::end_drain_of_domain);
        const auto time = rc::gen::map(rc::gen::inRange(0, 4000),
                                       [](int n) { return common::duration{milliseconds{n}}; });
        return *rc::gen::container<std::vector<step>>(rc::gen::construct<step>(kind, time));
    }

    /// Whether random steps show that a table is wrong.
    static bool is_found_wrong(const transition_table& table) {
        rc::detail::TestParams parameters;
        parameters.seed = 7;
        parameters.maxSuccess = 5000;
        parameters.disableShrinking = true;
        const auto result = rc::detail::checkProperty(
            rc::detail::toProperty([&] { RC_ASSERT(check(draw_steps(), table).empty()); }), {},
            parameters);
        return result.is<rc::detail::FailureResult>();
    }
};

BOOST_FIXTURE_TEST_SUITE(instance_state_test, instance_state_fixture)

BOOST_AUTO_TEST_CASE(pause_ends_by_itself) {
    instance_state subject{now};
    subject.request_pause(now + milliseconds{400});
    BOOST_TEST(!subject.accepts_work());
    subject.update(now + milliseconds{399}, false);
    BOOST_TEST((subject.phase() == instance_phase::pausing));
    subject.update(now + milliseconds{400}, false);
    BOOST_TEST(subject.accepts_work());
}

// Guards against an instance that gets new work again because its entry in the store still says
// that it serves.
BOOST_AUTO_TEST_CASE(announced_drain_outlasts_pauses_and_entries_of_the_same_incarnation) {
    instance_state subject{now};
    subject.request_pause(now + seconds{1});
    subject.announce_drain();
    subject.set_registered(false, now);
    subject.set_registered(true, now + seconds{5});
    subject.update(now + seconds{6}, false);
    BOOST_TEST((subject.phase() == instance_phase::draining));
}

// Guards against a pause that is forgotten when the entry of the instance lapses for a moment.
BOOST_AUTO_TEST_CASE(pause_outlasts_a_lapse_of_the_entry) {
    instance_state subject{now};
    subject.request_pause(now + seconds{2});
    subject.set_registered(false, now);
    subject.set_registered(true, now + seconds{1});
    subject.update(now + seconds{1}, false);
    BOOST_TEST((subject.phase() == instance_phase::pausing));
}

BOOST_AUTO_TEST_CASE(instance_in_any_sequence_of_events_gets_work_only_when_it_may) {
    check_property(20261204, 100'000, [] { RC_ASSERT(check(draw_steps(), standard()) == ""); });
}

// Shows that the property finds faults in the table.
BOOST_AUTO_TEST_CASE(tables_with_a_fault_are_found_wrong) {
    using enum instance_phase;
    BOOST_TEST(!is_found_wrong(standard()));
    BOOST_TEST(is_found_wrong(with({draining, instance_event::pause_ended, serving})));
    BOOST_TEST(is_found_wrong(with({draining, instance_event::reinstated, serving})));
    BOOST_TEST(is_found_wrong(with({pausing, instance_event::reinstated, serving})));
    BOOST_TEST(is_found_wrong(without(pausing, instance_event::pause_ended)));
    BOOST_TEST(is_found_wrong(without(pausing, instance_event::drain_announced)));
    BOOST_TEST(is_found_wrong(without(ejected, instance_event::pause_requested)));
    BOOST_TEST(is_found_wrong(without(ejected, instance_event::deregistered)));
    BOOST_TEST(is_found_wrong(without(gone, instance_event::registered)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
