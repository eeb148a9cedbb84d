#include "gateway/evidence/crash_suspects.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

namespace jujubemast::gateway::evidence {

namespace {

// Beyond it a doubled quarantine exceeds any limit.
constexpr unsigned max_doublings = 16;

/// Returns the entries of the lowest rank that are too many, in no order.
template <typename map_type, typename rank_function>
std::vector<typename map_type::iterator> find_excess(map_type& entries, std::size_t limit,
                                                     const rank_function& rank) {
    using iterator = typename map_type::iterator;
    std::vector<iterator> excess;
    if (entries.size() <= limit) {
        return excess;
    }
    using ranked_entry = std::pair<decltype(rank(*entries.begin())), iterator>;
    std::vector<ranked_entry> ranked;
    ranked.reserve(entries.size());
    for (auto it = entries.begin(); it != entries.end(); ++it) {
        ranked.emplace_back(rank(*it), it);
    }
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(entries.size() - limit);
    std::nth_element(
        ranked.begin(), end, ranked.end(),
        [](const ranked_entry& a, const ranked_entry& b) { return a.first < b.first; });
    std::transform(ranked.begin(), end, std::back_inserter(excess),
                   [](const ranked_entry& it) { return it.second; });
    return excess;
}

} // namespace

crash_suspects::crash_suspects(const suspect_limits& limits, change_hook on_change)
    : m_limits{limits}, m_on_change{std::move(on_change)} {}

void crash_suspects::apply(const crash_evidence& evidence, common::time_point now) {
    // What dismisses crashes comes before them, so that no part is accused by mistake in between.
    for (const auto& it : evidence.alive) {
        apply(it, now);
    }
    for (const auto& it : evidence.sound) {
        apply(it, now);
    }
    for (const auto& it : evidence.quarantines) {
        apply(it, now);
    }
    for (const auto& it : evidence.crashes) {
        apply(it, now);
    }
    for (const auto& it : evidence.trials) {
        apply(it, now);
    }
    forget_old(now);
}

void crash_suspects::apply(const crash_report& report, common::time_point now) {
    const auto alive = m_alive.find(report.instance);
    if (alive != m_alive.end() && alive->second >= report.at) {
        return;
    }
    for (const auto part : report.parts) {
        auto& state = m_parts[part];
        state.news = std::max(state.news, report.at);
        if (state.sound_from && *state.sound_from >= report.at) {
            continue;
        }
        if (!add_crash(part, state, report.instance, report.at)) {
            continue;
        }
        if (state.crashes.size() > m_limits.max_crashes) {
            drop_crash(
                part, state,
                std::min_element(state.crashes.begin(), state.crashes.end(),
                                 [](const auto& a, const auto& b) { return a.second < b.second; }));
        }
        if (state.active) {
            renew(part, state, report.at, now);
        } else if (state.crashes.size() > 1) {
            notify(part, state, suspect_change::suspected, now);
        }
    }
}

bool crash_suspects::add_crash(prompt_part_id part, part_state& state, const incarnation& instance,
                               common::time_point at) {
    const auto [crash, is_new] = state.crashes.try_emplace(instance, at);
    auto& crashed = m_crashed[instance];
    // The gateways see the end of one instance at slightly different times.
    if (at < crash->second) {
        crashed.erase({crash->second, part});
        crash->second = at;
    }
    crashed.emplace(crash->second, part);
    return is_new;
}

crash_suspects::crash_times::iterator
crash_suspects::drop_crash(prompt_part_id part, part_state& state, crash_times::iterator crash) {
    const auto crashed = m_crashed.find(crash->first);
    crashed->second.erase({crash->second, part});
    if (crashed->second.empty()) {
        m_crashed.erase(crashed);
    }
    return state.crashes.erase(crash);
}

void crash_suspects::renew(prompt_part_id part, part_state& state, common::time_point crashed,
                           common::time_point now) {
    auto& active = *state.active;
    if (crashed <= active.last_crash) {
        return;
    }
    active.last_crash = crashed;
    if (now < active.trial_end) {
        ++active.failed_trials;
        active.trial_end = now;
    }
    const auto due = crashed + quarantine_time(state, crashed);
    if (due > active.trial_due) {
        active.trial_due = due;
        notify(part, state, suspect_change::renewed, now);
    }
}

common::duration crash_suspects::quarantine_time(const part_state& state,
                                                 common::time_point crashed) const {
    const auto failed_trials = state.active->failed_trials;
    if (failed_trials == 0 && state.sound_from &&
        crashed - *state.sound_from < m_limits.retention) {
        return m_limits.first_quarantine_after_sound;
    }
    const auto doubled =
        m_limits.first_quarantine * (std::int64_t{1} << std::min(failed_trials, max_doublings));
    return std::min(doubled, m_limits.longest_quarantine);
}

void crash_suspects::apply(const sound_report& report, common::time_point now) {
    const auto it = m_parts.find(report.part);
    if (it == m_parts.end()) {
        return;
    }
    auto& state = it->second;
    state.sound_from = std::max(state.sound_from.value_or(report.began), report.began);
    const auto known_crashes = state.crashes.size();
    for (auto crash = state.crashes.begin(); crash != state.crashes.end();) {
        crash = crash->second <= *state.sound_from ? drop_crash(report.part, state, crash)
                                                   : std::next(crash);
    }
    // The crashes of a quarantine that another gateway has reported may be unknown here.
    const bool refutes_quarantine = state.active && report.began >= state.active->last_crash;
    if (state.crashes.size() < known_crashes || refutes_quarantine) {
        clear_if_refuted(report.part, state, now);
    }
}

void crash_suspects::apply(const alive_report& report, common::time_point now) {
    auto& alive = m_alive.try_emplace(report.instance, report.sent).first->second;
    alive = std::max(alive, report.sent);
    const auto crashed = m_crashed.find(report.instance);
    if (crashed == m_crashed.end()) {
        return;
    }
    std::vector<prompt_part_id> dismissed;
    for (const auto& [at, part] : crashed->second) {
        if (at > alive) {
            break;
        }
        dismissed.push_back(part);
    }
    for (const auto part : dismissed) {
        auto& state = m_parts.at(part);
        drop_crash(part, state, state.crashes.find(report.instance));
        clear_if_refuted(part, state, now);
    }
}

void crash_suspects::clear_if_refuted(prompt_part_id part, part_state& state,
                                      common::time_point now) {
    if (state.active && incidents(state, common::time_point::max()) < m_limits.incidents) {
        state.refuted_crash = state.active->last_crash;
        state.active.reset();
        // The refutation is kept for gateways that are out of reach now.
        state.news = std::max(state.news, now);
        notify(part, state, suspect_change::cleared, now);
    }
}

void crash_suspects::apply(const trial_report& report, common::time_point now) {
    const auto it = m_parts.find(report.part);
    if (it == m_parts.end() || !it->second.active) {
        return;
    }
    auto& active = *it->second.active;
    active.trial_end = std::max(active.trial_end, report.at + m_limits.trial_time);
    active.trial_due = std::max(active.trial_due, active.trial_end);
    it->second.news = std::max(it->second.news, report.at);
    notify(report.part, it->second, suspect_change::trial_started, now);
}

bool crash_suspects::is_refuted(const part_state& state, const quarantine_report& report) const {
    // The gateways see one crash at slightly different times.
    return (state.sound_from && *state.sound_from >= report.last_crash) ||
           (state.refuted_crash &&
            report.last_crash - *state.refuted_crash < m_limits.incident_span);
}

void crash_suspects::apply(const quarantine_report& report, common::time_point now) {
    auto& state = m_parts[report.part];
    if (is_refuted(state, report)) {
        return;
    }
    state.news = std::max(state.news, now);
    const bool is_new = !state.active;
    if (is_new) {
        state.active = quarantine{};
    }
    state.active->failed_trials = std::max(state.active->failed_trials, report.failed_trials);
    state.active->trial_due = std::max(state.active->trial_due, report.trial_due);
    state.active->last_crash = std::max(state.active->last_crash, report.last_crash);
    if (is_new) {
        notify(report.part, state, suspect_change::quarantined, now);
    }
}

std::size_t crash_suspects::incidents(const part_state& state, common::time_point until) const {
    std::vector<common::time_point> times;
    for (const auto& [instance, at] : state.crashes) {
        times.push_back(at);
    }
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    std::optional<common::time_point> begin;
    for (const auto at : times) {
        if (begin && at - *begin < m_limits.incident_span) {
            continue;
        }
        if (at > until) {
            break;
        }
        begin = at;
        ++count;
    }
    return count;
}

bool crash_suspects::has_rival_outside(const part_state& state,
                                       const std::vector<prompt_part_id>& parts) const {
    return std::any_of(m_parts.begin(), m_parts.end(), [&](const auto& it) {
        const auto& other = it.second;
        return other.active && !state.crashes.empty() &&
               std::find(parts.begin(), parts.end(), it.first) == parts.end() &&
               std::all_of(state.crashes.begin(), state.crashes.end(),
                           [&](const auto& crash) { return other.crashes.contains(crash.first); });
    });
}

bool crash_suspects::is_convicted(const part_state& state, common::time_point now) const {
    return state.crashes.size() >= m_limits.incidents &&
           incidents(state, now - m_limits.settle_time) >= m_limits.incidents;
}

bool crash_suspects::is_explained_by_another(const part_state& state,
                                             common::time_point now) const {
    return std::any_of(m_parts.begin(), m_parts.end(), [&](const auto& it) {
        const auto& other = it.second;
        return other.crashes.size() > state.crashes.size() &&
               (other.active || is_convicted(other, now)) &&
               std::all_of(state.crashes.begin(), state.crashes.end(),
                           [&](const auto& crash) { return other.crashes.contains(crash.first); });
    });
}

void crash_suspects::update(prompt_part_id part, part_state& state, common::time_point now) {
    if (state.active || !is_convicted(state, now) || is_explained_by_another(state, now)) {
        return;
    }
    state.active = quarantine{};
    // The same at all gateways, whenever they notice it.
    const auto last =
        std::max_element(state.crashes.begin(), state.crashes.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    state.active->last_crash = last->second;
    state.active->trial_due = last->second + quarantine_time(state, last->second);
    notify(part, state, suspect_change::quarantined, now);
}

bool crash_suspects::is_suspected(prompt_part_id part, common::time_point sound_from) const {
    const auto it = m_parts.find(part);
    if (it == m_parts.end()) {
        return false;
    }
    const auto& state = it->second;
    return (state.active && state.active->last_crash <= sound_from) ||
           std::any_of(state.crashes.begin(), state.crashes.end(),
                       [&](const auto& crash) { return crash.second <= sound_from; });
}

bool crash_suspects::is_wrongly_accused(const incarnation& instance,
                                        common::time_point sent) const {
    const auto crashed = m_crashed.find(instance);
    if (crashed == m_crashed.end()) {
        return false;
    }
    // The first crash that an answer to this request may refute.
    const auto crash = crashed->second.upper_bound(
        {sent - m_limits.restart_time, std::numeric_limits<prompt_part_id>::max()});
    return crash != crashed->second.end() && crash->first < sent;
}

std::optional<common::duration>
crash_suspects::quarantine_left(const std::vector<prompt_part_id>& parts, common::time_point now) {
    std::optional<common::duration> left;
    for (const auto part : parts) {
        const auto it = m_parts.find(part);
        if (it == m_parts.end()) {
            continue;
        }
        update(part, it->second, now);
        if (it->second.active) {
            const auto until_trial =
                std::max(common::duration::zero(), it->second.active->trial_due - now);
            left = std::max(left.value_or(until_trial), until_trial);
        }
    }
    return left;
}

bool crash_suspects::may_try(const std::vector<prompt_part_id>& parts, const rank_hook& rank,
                             common::time_point now) const {
    return std::all_of(parts.begin(), parts.end(), [&](prompt_part_id part) {
        const auto it = m_parts.find(part);
        if (it == m_parts.end() || !it->second.active) {
            return true;
        }
        if (now >= it->second.active->trial_end && has_rival_outside(it->second, parts)) {
            return true;
        }
        const auto due = it->second.active->trial_due;
        if (now < due) {
            return false;
        }
        const auto doublings = static_cast<unsigned>(
            std::min<std::int64_t>((now - due) / m_limits.trial_step, max_doublings));
        return rank(part) < std::size_t{1} << doublings;
    });
}

bool crash_suspects::is_repeat_risky(const std::vector<prompt_part_id>& parts,
                                     common::time_point now) const {
    return std::any_of(parts.begin(), parts.end(), [&](prompt_part_id part) {
        const auto it = m_parts.find(part);
        if (it == m_parts.end()) {
            return false;
        }
        const auto& state = it->second;
        return state.active || (incidents(state, now) + 1 >= m_limits.incidents &&
                                incidents(state, now - m_limits.settle_time) > 0);
    });
}

crash_evidence crash_suspects::snapshot(common::time_point now) const {
    crash_evidence result;
    std::map<std::pair<incarnation, common::time_point>, std::vector<prompt_part_id>> crashes;
    for (const auto& [part, state] : m_parts) {
        if (state.sound_from) {
            result.sound.push_back({part, *state.sound_from});
        }
        for (const auto& crash : state.crashes) {
            crashes[crash].push_back(part);
        }
        if (state.active) {
            result.quarantines.push_back({part, state.active->failed_trials,
                                          state.active->trial_due, state.active->last_crash});
            if (now < state.active->trial_end) {
                result.trials.push_back({part, state.active->trial_end - m_limits.trial_time});
            }
        }
    }
    for (const auto& [crash, parts] : crashes) {
        result.crashes.push_back({crash.first, parts, crash.second});
    }
    for (const auto& [instance, sent] : m_alive) {
        result.alive.push_back({instance, sent});
    }
    return result;
}

std::vector<suspect_view> crash_suspects::quarantined(common::time_point now) const {
    std::vector<suspect_view> result;
    for (const auto& [part, state] : m_parts) {
        if (state.active) {
            result.push_back(view(part, state, suspect_change::quarantined, now));
        }
    }
    return result;
}

void crash_suspects::forget_old(common::time_point now) {
    for (auto it = m_parts.begin(); it != m_parts.end();) {
        const auto& state = it->second;
        const auto news = state.active ? std::max(state.news, state.active->trial_due) : state.news;
        it = now - news > m_limits.retention ? forget(it) : std::next(it);
    }
    std::erase_if(m_alive, [&](const auto& it) { return now - it.second > m_limits.retention; });
    forget_excess();
}

void crash_suspects::forget_excess() {
    // A caller can make many parts suspects of one incident, but hardly of more.
    const auto weight = [this](const auto& it) {
        const auto& state = it.second;
        return std::tuple{state.active.has_value(), incidents(state, common::time_point::max()),
                          state.news};
    };
    for (const auto it : find_excess(m_parts, m_limits.max_parts, weight)) {
        forget(it);
    }
    const auto sent = [](const auto& it) { return it.second; };
    for (const auto it : find_excess(m_alive, m_limits.max_alive, sent)) {
        m_alive.erase(it);
    }
}

crash_suspects::part_map::iterator crash_suspects::forget(part_map::iterator part) {
    auto& state = part->second;
    while (!state.crashes.empty()) {
        drop_crash(part->first, state, state.crashes.begin());
    }
    return m_parts.erase(part);
}

suspect_view crash_suspects::view(prompt_part_id part, const part_state& state,
                                  suspect_change change, common::time_point now) const {
    suspect_view result;
    result.part = part;
    result.change = change;
    result.incidents = incidents(state, now);
    auto first = now;
    for (const auto& [instance, at] : state.crashes) {
        result.instances.push_back(instance);
        first = std::min(first, at);
    }
    result.first_crash_age = now - first;
    if (state.active) {
        result.trial_in = std::max(common::duration::zero(), state.active->trial_due - now);
    }
    return result;
}

void crash_suspects::notify(prompt_part_id part, const part_state& state, suspect_change change,
                            common::time_point now) const {
    if (m_on_change) {
        m_on_change(view(part, state, change, now));
    }
}

} // namespace jujubemast::gateway::evidence
