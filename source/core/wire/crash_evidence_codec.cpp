#include "wire/crash_evidence_codec.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

#include <boost/range/iterator_range_core.hpp>
#include <gateway_messages.pb.h>

namespace jujubemast::wire {

namespace {

namespace pb = gateway_pb;
using pb_evidence = pb::gateway_crash_evidence;

// Longer times mean a faulty sender, and would overflow.
constexpr common::duration max_time = std::chrono::hours{24};

std::int64_t microseconds(common::duration value) {
    return std::chrono::duration_cast<std::chrono::microseconds>(value).count();
}

common::duration from_microseconds(std::int64_t value) {
    const auto limit = microseconds(max_time);
    return std::chrono::microseconds{std::clamp(value, -limit, limit)};
}

void to_proto(pb::gateway_crash_evidence_instance& to, const gateway::incarnation& from) {
    to.set_id(from.id);
    to.set_started_ms(from.started_ms);
    to.set_address(from.address);
}

gateway::incarnation instance_from_proto(const pb::gateway_crash_evidence_instance& from) {
    return {from.id(), from.started_ms(), from.address()};
}

/// Returns the first entries, `limit` at most.
template <typename entries>
auto first_of(const entries& all, std::size_t limit) {
    const auto count = std::min(limit, static_cast<std::size_t>(all.size()));
    return boost::make_iterator_range_n(all.begin(), count);
}

} // namespace

void to_proto(pb_evidence& to, const gateway::crash_evidence& from, common::time_point now) {
    for (const auto& it : from.crashes) {
        auto& crash = *to.add_crashes();
        to_proto(*crash.mutable_instance(), it.instance);
        crash.set_age_us(microseconds(now - it.at));
        crash.mutable_parts()->Add(it.parts.begin(), it.parts.end());
    }
    for (const auto& it : from.sound) {
        auto& sound = *to.add_sound();
        sound.set_part(it.part);
        sound.set_age_us(microseconds(now - it.began));
    }
    for (const auto& it : from.alive) {
        auto& alive = *to.add_alive();
        to_proto(*alive.mutable_instance(), it.instance);
        alive.set_age_us(microseconds(now - it.sent));
    }
    for (const auto& it : from.trials) {
        auto& trial = *to.add_trials();
        trial.set_part(it.part);
        trial.set_age_us(microseconds(now - it.at));
    }
    for (const auto& it : from.quarantines) {
        auto& quarantine = *to.add_quarantines();
        quarantine.set_part(it.part);
        quarantine.set_failed_trials(it.failed_trials);
        quarantine.set_trial_due_us(microseconds(it.trial_due - now));
        quarantine.set_last_crash_age_us(microseconds(now - it.last_crash));
    }
}

gateway::crash_evidence evidence_from_proto(const pb_evidence& from, common::time_point now) {
    gateway::crash_evidence result;
    for (const auto& it : first_of(from.crashes(), gateway::max_reports)) {
        const auto parts = first_of(it.parts(), gateway::max_report_parts);
        result.crashes.push_back({instance_from_proto(it.instance()),
                                  {parts.begin(), parts.end()},
                                  now - from_microseconds(it.age_us())});
    }
    for (const auto& it : first_of(from.sound(), gateway::max_reports)) {
        result.sound.push_back({it.part(), now - from_microseconds(it.age_us())});
    }
    for (const auto& it : first_of(from.alive(), gateway::max_reports)) {
        result.alive.push_back(
            {instance_from_proto(it.instance()), now - from_microseconds(it.age_us())});
    }
    for (const auto& it : first_of(from.trials(), gateway::max_reports)) {
        result.trials.push_back({it.part(), now - from_microseconds(it.age_us())});
    }
    for (const auto& it : first_of(from.quarantines(), gateway::max_reports)) {
        result.quarantines.push_back({it.part(), it.failed_trials(),
                                      now + from_microseconds(it.trial_due_us()),
                                      now - from_microseconds(it.last_crash_age_us())});
    }
    return result;
}

} // namespace jujubemast::wire
