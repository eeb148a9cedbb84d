#include "gateway/evidence/crash_suspects.h"

#include <algorithm>
#include <numeric>

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using gateway::crash_evidence;
using gateway::incarnation;
using gateway::prompt_part_id;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct crash_suspects_fixture {
    static constexpr prompt_part_id deadly = 1;
    static constexpr prompt_part_id popular = 2;

    gateway::evidence::suspect_limits limits;
    std::vector<gateway::evidence::suspect_change> changes;
    gateway::evidence::crash_suspects suspects{
        limits,
        [this](const gateway::evidence::suspect_view& it) { changes.push_back(it.change); }};
    common::time_point now{seconds{1000}};

    static incarnation instance(int n) { return {"i" + std::to_string(n), 1, "a:1"}; }

    void crash(int n, const std::vector<prompt_part_id>& parts) {
        crash_evidence evidence;
        evidence.crashes.push_back({instance(n), parts, now});
        suspects.apply(evidence, now);
    }

    void sound(prompt_part_id part, common::time_point began) {
        crash_evidence evidence;
        evidence.sound.push_back({part, began});
        suspects.apply(evidence, now);
    }

    void alive(int n) {
        crash_evidence evidence;
        evidence.alive.push_back({instance(n), now});
        suspects.apply(evidence, now);
    }

    void start_trial(prompt_part_id part) {
        crash_evidence evidence;
        evidence.trials.push_back({part, now});
        suspects.apply(evidence, now);
    }

    void crash_one_after_the_other(const std::vector<prompt_part_id>& parts, int count = 3) {
        for (int n = 0; n < count; ++n) {
            crash(n, parts);
            now += seconds{1};
        }
    }

    bool is_quarantined(prompt_part_id part) {
        return suspects.quarantine_left({part}, now).has_value();
    }

    bool may_try(prompt_part_id part, std::size_t rank) const {
        return suspects.may_try(
            {part}, [rank](prompt_part_id) { return rank; }, now);
    }
};

BOOST_FIXTURE_TEST_SUITE(crash_suspects_test, crash_suspects_fixture)

// Guards against requests that crash one instance after the other.
BOOST_AUTO_TEST_CASE(part_when_three_instances_crash_apart_is_quarantined) {
    crash_one_after_the_other({deadly}, 2);
    BOOST_TEST(!is_quarantined(deadly));
    crash(2, {deadly});
    now += limits.settle_time;
    BOOST_TEST(is_quarantined(deadly));
    const std::vector expected{gateway::evidence::suspect_change::suspected,
                               gateway::evidence::suspect_change::suspected,
                               gateway::evidence::suspect_change::quarantined};
    BOOST_TEST((changes == expected));
}

// Guards against refusing sound requests that share parts with those that crash instances.
BOOST_AUTO_TEST_CASE(part_when_it_is_answered_between_crashes_is_not_quarantined) {
    for (int n = 0; n < 20; ++n) {
        crash(n, {popular, deadly});
        now += seconds{1};
        sound(popular, now - milliseconds{200});
    }
    BOOST_TEST(!is_quarantined(popular));
    BOOST_TEST(is_quarantined(deadly));
}

// Guards against crashes a few times a second that convict a part before its answers clear it.
BOOST_AUTO_TEST_CASE(part_when_crashes_come_faster_than_its_answers_go_on_is_not_quarantined) {
    for (int n = 0; n < 20; ++n) {
        crash(n, {popular, deadly});
        now += milliseconds{120};
        sound(popular, now - milliseconds{300});
        BOOST_TEST(!is_quarantined(popular));
    }
    BOOST_TEST(is_quarantined(deadly));
}

BOOST_AUTO_TEST_CASE(part_when_an_answer_began_before_the_crashes_stays_suspected) {
    const auto before = now;
    now += seconds{1};
    crash_one_after_the_other({deadly});
    sound(deadly, before);
    BOOST_TEST(is_quarantined(deadly));
}

// Guards against failures of a rack or a link that convict the parts of the requests there.
BOOST_AUTO_TEST_CASE(part_when_instances_crash_at_once_is_not_quarantined) {
    for (int n = 0; n < 10; ++n) {
        crash(n, {popular});
        now += milliseconds{5};
    }
    now += seconds{1};
    BOOST_TEST(!is_quarantined(popular));
    // The same instances cannot be evidence again.
    crash_one_after_the_other({popular}, 3);
    BOOST_TEST(!is_quarantined(popular));
}

// Guards against connections that are reset, and grey instances, being taken for crashes.
BOOST_AUTO_TEST_CASE(part_when_an_instance_answers_afterwards_is_not_quarantined) {
    for (int n = 0; n < 6; ++n) {
        crash(n, {popular});
        now += milliseconds{300};
        BOOST_TEST(suspects.is_wrongly_accused(instance(n), now));
        alive(n);
        BOOST_TEST(!suspects.is_wrongly_accused(instance(n), now));
        // The report of another gateway that comes late.
        crash_evidence late;
        late.crashes.push_back({instance(n), {popular}, now - milliseconds{300}});
        suspects.apply(late, now);
        now += seconds{1};
    }
    BOOST_TEST(!is_quarantined(popular));
}

// Guards against the next process at the same address being taken for the one that crashed.
BOOST_AUTO_TEST_CASE(instance_when_it_answers_after_the_restart_time_stays_accused) {
    crash(0, {deadly});
    now += limits.restart_time;
    BOOST_TEST(!suspects.is_wrongly_accused(instance(0), now));
}

// Guards against refusing sound requests whose part only came together with the deadly one.
BOOST_AUTO_TEST_CASE(part_when_another_one_explains_its_crashes_and_more_is_not_quarantined) {
    crash(0, {deadly});
    now += seconds{1};
    for (int n = 1; n < 4; ++n) {
        crash(n, {deadly, popular});
        now += seconds{1};
    }
    BOOST_TEST(!is_quarantined(popular));
    BOOST_TEST(is_quarantined(deadly));
    // A crash without the other part.
    crash(4, {popular});
    now += seconds{1};
    BOOST_TEST(is_quarantined(popular));
}

// Guards against refusing sound requests for long because their part came only with the deadly one
// while the instances crashed (LOST).
BOOST_AUTO_TEST_CASE(part_when_a_request_lacks_the_other_suspect_is_tried_at_once) {
    crash_one_after_the_other({deadly, popular});
    BOOST_TEST(is_quarantined(popular));
    BOOST_TEST(is_quarantined(deadly));
    const auto rank = [](prompt_part_id) { return std::size_t{100}; };
    BOOST_TEST(!suspects.may_try({deadly, popular}, rank, now));
    BOOST_TEST(suspects.may_try({popular, 77}, rank, now));
    start_trial(popular);
    BOOST_TEST(!suspects.may_try({popular, 78}, rank, now));
    sound(popular, now);
    BOOST_TEST(!is_quarantined(popular));
    BOOST_TEST(is_quarantined(deadly));
    BOOST_TEST(!suspects.may_try({deadly, 79}, rank, now));
}

// Guards against a repeat that takes the next instance down.
BOOST_AUTO_TEST_CASE(request_when_its_part_broke_two_instances_is_not_repeated) {
    crash(0, {deadly});
    BOOST_TEST(!suspects.is_repeat_risky({popular, deadly}, now));
    now += seconds{1};
    crash(1, {deadly});
    BOOST_TEST(suspects.is_repeat_risky({popular, deadly}, now));
    BOOST_TEST(!suspects.is_repeat_risky({popular}, now));
}

// Guards against each gateway trying a quarantined part by itself.
BOOST_AUTO_TEST_CASE(trial_when_the_quarantine_ends_is_started_by_one_gateway) {
    crash_one_after_the_other({deadly});
    BOOST_TEST(is_quarantined(deadly));
    BOOST_TEST(!may_try(deadly, 0));
    now += limits.first_quarantine;
    BOOST_TEST(may_try(deadly, 0));
    BOOST_TEST(!may_try(deadly, 100));
    start_trial(deadly);
    BOOST_TEST(!may_try(deadly, 0));
    BOOST_TEST(is_quarantined(deadly));
}

// Guards against a part that no request at the first gateway ever tries.
BOOST_AUTO_TEST_CASE(trial_when_the_first_gateway_does_not_start_it_is_open_to_others) {
    crash_one_after_the_other({deadly});
    BOOST_TEST(is_quarantined(deadly));
    now += limits.first_quarantine + 9 * limits.trial_step;
    BOOST_TEST(may_try(deadly, 349));
}

BOOST_AUTO_TEST_CASE(trial_when_its_answer_is_sound_clears_the_part) {
    crash_one_after_the_other({deadly});
    BOOST_TEST(is_quarantined(deadly));
    now += limits.first_quarantine;
    start_trial(deadly);
    sound(deadly, now);
    BOOST_TEST(!is_quarantined(deadly));
    BOOST_TEST((changes.back() == gateway::evidence::suspect_change::cleared));
}

// Guards against instances that are lost to trials again and again.
BOOST_AUTO_TEST_CASE(trial_when_it_breaks_doubles_the_quarantine) {
    crash_one_after_the_other({deadly});
    BOOST_TEST(is_quarantined(deadly));
    for (int n = 1; n < 4; ++n) {
        now += *suspects.quarantine_left({deadly}, now);
        BOOST_TEST(may_try(deadly, 0));
        start_trial(deadly);
        now += milliseconds{500};
        crash(10 + n, {deadly});
        BOOST_TEST(
            (*suspects.quarantine_left({deadly}, now) == limits.first_quarantine * (1 << n)));
    }
}

// Guards against a wrong verdict on a popular part that refuses its requests for long.
BOOST_AUTO_TEST_CASE(trial_when_the_part_had_sound_answers_lately_is_due_early) {
    crash(0, {popular});
    now += seconds{1};
    sound(popular, now - milliseconds{300});
    crash_one_after_the_other({popular});
    const auto last_crash = now - seconds{1};
    BOOST_TEST(is_quarantined(popular));
    // The crash of a request that was sent before the verdict.
    crash(5, {popular});
    now = last_crash + seconds{1} + limits.first_quarantine_after_sound;
    BOOST_TEST(may_try(popular, 0));
    // After a failed trial the part is treated as any other.
    start_trial(popular);
    crash(6, {popular});
    BOOST_TEST((*suspects.quarantine_left({popular}, now) == 2 * limits.first_quarantine));
}

BOOST_AUTO_TEST_CASE(trial_when_the_sound_answers_were_long_ago_is_due_as_usual) {
    crash(0, {popular});
    now += seconds{1};
    sound(popular, now);
    const auto sound_from = now;
    now += seconds{100};
    crash(1, {popular});
    now = sound_from + limits.retention;
    crash(2, {popular});
    now += seconds{1};
    crash(3, {popular});
    now += seconds{1};
    BOOST_TEST(is_quarantined(popular));
    BOOST_TEST((*suspects.quarantine_left({popular}, now) == limits.first_quarantine - seconds{1}));
}

BOOST_AUTO_TEST_CASE(trial_when_it_has_no_result_may_be_repeated) {
    crash_one_after_the_other({deadly});
    BOOST_TEST(is_quarantined(deadly));
    now += limits.first_quarantine;
    start_trial(deadly);
    now += limits.trial_time;
    BOOST_TEST(may_try(deadly, 0));
}

// Guards against a gateway that has just started and sends what the others refuse.
BOOST_AUTO_TEST_CASE(snapshot_when_applied_elsewhere_keeps_the_quarantine) {
    crash_one_after_the_other({deadly});
    BOOST_TEST(is_quarantined(deadly));
    gateway::evidence::crash_suspects other{limits, {}};
    other.apply(suspects.snapshot(now), now);
    BOOST_TEST((other.quarantine_left({deadly}, now) == suspects.quarantine_left({deadly}, now)));
    crash_evidence evidence;
    evidence.sound.push_back({deadly, now});
    other.apply(evidence, now);
    BOOST_TEST(!other.quarantine_left({deadly}, now).has_value());
}

// Guards against a quarantine without crashes that no sound answer ends, because a gateway that was
// out of reach has reported it again after this gateway had cleared the part.
BOOST_AUTO_TEST_CASE(quarantine_when_refuted_while_a_gateway_was_out_of_reach_ends_at_both) {
    crash_one_after_the_other({deadly});
    BOOST_TEST(is_quarantined(deadly));
    gateway::evidence::crash_suspects other{limits, {}};
    other.apply(suspects.snapshot(now), now);
    now += limits.first_quarantine;
    start_trial(deadly);
    sound(deadly, now);
    now += seconds{10};
    const auto from_here = suspects.snapshot(now);
    const auto from_other = other.snapshot(now);
    suspects.apply(from_other, now);
    other.apply(from_here, now);
    BOOST_TEST(!is_quarantined(deadly));
    BOOST_TEST(!other.quarantine_left({deadly}, now).has_value());
}

// Guards against the same with an instance that turned out not to have crashed.
BOOST_AUTO_TEST_CASE(quarantine_when_a_crash_is_dismissed_out_of_reach_ends_at_both) {
    crash_one_after_the_other({popular});
    BOOST_TEST(is_quarantined(popular));
    gateway::evidence::crash_suspects other{limits, {}};
    other.apply(suspects.snapshot(now), now);
    alive(2);
    const auto from_here = suspects.snapshot(now);
    const auto from_other = other.snapshot(now);
    suspects.apply(from_other, now);
    other.apply(from_here, now);
    BOOST_TEST(!is_quarantined(popular));
    BOOST_TEST(!other.quarantine_left({popular}, now).has_value());
}

// Guards against a quarantine that is ignored although instances crashed after the sound answer.
BOOST_AUTO_TEST_CASE(quarantine_when_its_last_crash_is_after_the_sound_answer_is_taken_over) {
    crash_one_after_the_other({deadly});
    gateway::evidence::crash_suspects other{limits, {}};
    other.apply(suspects.snapshot(now), now);
    sound(deadly, now);
    now += seconds{1};
    crash_evidence later;
    for (int n = 10; n < 13; ++n) {
        now += seconds{1};
        later.crashes.push_back({instance(n), {deadly}, now});
    }
    now += seconds{1};
    other.apply(later, now);
    BOOST_TEST(other.quarantine_left({deadly}, now).has_value());
    suspects.apply(other.snapshot(now), now);
    BOOST_TEST(is_quarantined(deadly));
}

// Guards against sound answers that are not shared because the crashes are known elsewhere only.
BOOST_AUTO_TEST_CASE(part_when_quarantined_without_known_crashes_is_cleared_by_a_later_answer) {
    const auto last_crash = now;
    crash_evidence evidence;
    evidence.quarantines.push_back({deadly, 0, now + limits.first_quarantine, last_crash});
    suspects.apply(evidence, now);
    now += seconds{1};
    BOOST_TEST(!suspects.is_suspected(deadly, last_crash - seconds{1}));
    sound(deadly, last_crash - seconds{1});
    BOOST_TEST(is_quarantined(deadly));
    BOOST_TEST(suspects.is_suspected(deadly, now));
    sound(deadly, now);
    BOOST_TEST(!is_quarantined(deadly));
}

// Guards against memory that grows with every part that any request has had.
BOOST_AUTO_TEST_CASE(parts_when_there_are_too_many_are_dropped_oldest_first) {
    crash_one_after_the_other({deadly});
    BOOST_TEST(is_quarantined(deadly));
    for (prompt_part_id part = 100; part < 100 + 2 * limits.max_parts; part += 64) {
        std::vector<prompt_part_id> parts;
        for (prompt_part_id n = 0; n < 64; ++n) {
            parts.push_back(part + n);
        }
        crash(7, parts);
    }
    BOOST_TEST(suspects.size() <= limits.max_parts);
    BOOST_TEST(is_quarantined(deadly));
}

// Guards against a request with very many parts that drops the evidence against a deadly part.
BOOST_AUTO_TEST_CASE(part_when_a_report_has_too_many_parts_keeps_its_incidents) {
    crash_one_after_the_other({deadly}, 2);
    std::vector<prompt_part_id> parts(13'000);
    std::iota(parts.begin(), parts.end(), prompt_part_id{100});
    crash(7, parts);
    BOOST_TEST(suspects.size() == limits.max_parts);
    now += seconds{1};
    crash(2, {deadly});
    now += limits.settle_time;
    BOOST_TEST(is_quarantined(deadly));
}

// Guards against crashes of dropped parts that still count against their instance.
BOOST_AUTO_TEST_CASE(instance_when_its_parts_are_dropped_is_no_longer_accused) {
    std::vector<prompt_part_id> parts(limits.max_parts);
    std::iota(parts.begin(), parts.end(), prompt_part_id{100});
    crash(1, {popular});
    now += milliseconds{1};
    BOOST_TEST(suspects.is_wrongly_accused(instance(1), now));
    crash(7, parts);
    BOOST_TEST(!suspects.is_wrongly_accused(instance(1), now));
}

// Guards against memory that grows with every instance that was taken for crashed.
BOOST_AUTO_TEST_CASE(instances_alive_when_there_are_too_many_are_dropped_oldest_first) {
    for (int n = 0; n <= static_cast<int>(limits.max_alive); ++n) {
        alive(n);
        now += milliseconds{1};
    }
    const auto known = suspects.snapshot(now).alive;
    BOOST_TEST(known.size() == limits.max_alive);
    BOOST_TEST(std::none_of(known.begin(), known.end(),
                            [](const auto& it) { return it.instance == instance(0); }));
}

// Guards against callers who decide how much a gateway remembers, sends and logs.
BOOST_AUTO_TEST_CASE(request_when_it_has_too_many_parts_shares_the_first_ones) {
    const std::vector<gateway::prompt_part> prompt(10'000, {"p", 1});
    BOOST_TEST(gateway::shared_parts_of(prompt).size() == gateway::max_shared_parts);
}

BOOST_AUTO_TEST_CASE(crash_report_when_requests_are_added_has_a_limited_number_of_parts) {
    crash_evidence all;
    for (prompt_part_id n = 0; n < 2 * gateway::max_report_parts; ++n) {
        crash_evidence one;
        one.crashes.push_back({instance(1), {n}, now});
        all.add(one);
    }
    BOOST_REQUIRE(all.crashes.size() == 1U);
    BOOST_TEST(all.crashes[0].parts.size() == gateway::max_report_parts);
}

BOOST_AUTO_TEST_CASE(parts_when_nothing_is_heard_of_them_are_dropped) {
    crash_one_after_the_other({deadly});
    BOOST_TEST(is_quarantined(deadly));
    now += limits.first_quarantine + limits.retention + seconds{1};
    crash(9, {popular});
    BOOST_TEST(suspects.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
