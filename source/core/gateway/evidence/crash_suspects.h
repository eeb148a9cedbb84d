#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "common/enum_names.h"
#include "common/time.h"
#include "gateway/crash_evidence.h"
#include "gateway/upstream_list.h"

namespace jujubemast::gateway::evidence {

struct suspect_limits {
    /// Crashes of different instances within this time count as one incident: failures of a rack or
    /// a link strike several instances at once, a part of a prompt strikes one after the other.
    common::duration incident_span = std::chrono::milliseconds{100};
    /// Incidents, each with an instance of its own, after which a part is quarantined.
    std::size_t incidents = 3;
    /// An incident counts after this time, in which sound answers clear the parts that only shared
    /// the instance or the request.
    common::duration settle_time = std::chrono::milliseconds{600};
    /// An answer that is still being written this long after its first event is sound.
    common::duration sound_time = std::chrono::milliseconds{150};
    /// A crashed instance is not back within this time. An answer to a request that was sent within
    /// it shows that the instance did not crash.
    common::duration restart_time = std::chrono::seconds{1};
    /// Evidence without news is dropped after this time.
    common::duration retention = std::chrono::minutes{2};
    /// Length of the first quarantine of a part. Each failed trial doubles it.
    common::duration first_quarantine = std::chrono::seconds{20};
    /// Length of the first quarantine of a part that had sound answers within the retention. A
    /// wrong verdict on such a part refuses many requests.
    common::duration first_quarantine_after_sound = std::chrono::seconds{2};
    common::duration longest_quarantine = std::chrono::minutes{8};
    /// A trial without a result in this time does not count.
    common::duration trial_time = std::chrono::seconds{5};
    /// After the end of a quarantine one gateway may start a trial. The number of those that may
    /// doubles each time this span has passed.
    common::duration trial_step = std::chrono::seconds{1};
    /// Beyond this number, parts with few incidents and old news are dropped.
    std::size_t max_parts = 4096;
    /// Beyond this number, the instances that answered longest ago are no longer known to be alive.
    std::size_t max_alive = 1024;
    /// Crashes that are kept for each part.
    std::size_t max_crashes = 16;
};

/// What a change of the evidence means for a part.
enum class suspect_change { suspected, quarantined, renewed, trial_started, cleared };

/// The state of one part, for logs and dumps.
struct suspect_view {
    prompt_part_id part = 0;
    suspect_change change = suspect_change::suspected;
    std::size_t incidents = 0;
    std::vector<incarnation> instances;
    common::duration first_crash_age = common::duration::zero();
    /// Time until the next trial is due.
    common::duration trial_in = common::duration::zero();
};

/// Evidence of which parts of prompts crash the instances that begin to write an answer on them.
///
/// A crash is evidence against all parts of the requests that the instance had not begun to write,
/// or only just. A deadly part crashes each instance, so a sound answer clears all its parts of the
/// evidence before it. What remains after several crashes is quarantined: requests with such a part
/// are not sent. After a time one request is let through as a trial.
///
/// All gateways decide by the same evidence, which they share.
class crash_suspects {
public:
    using change_hook = std::function<void(const suspect_view&)>;
    using rank_hook = std::function<std::size_t(prompt_part_id)>;

    explicit crash_suspects(const suspect_limits& limits = {}, change_hook on_change = {});

    /// Adds what this gateway or another one has seen.
    void apply(const crash_evidence& evidence, common::time_point now);

    /// Whether a sound answer on these parts that began at this time, or its instance, would change
    /// anything. Cheap while there are no crashes.
    [[nodiscard]] bool is_suspected(prompt_part_id part, common::time_point sound_from) const;

    /// Whether an instance is taken for crashed, and an answer to a request of this time shows that
    /// it did not.
    [[nodiscard]] bool is_wrongly_accused(const incarnation& instance,
                                          common::time_point sent) const;

    /// Time until the next trial of a request with these parts, if one of them is quarantined.
    [[nodiscard]] std::optional<common::duration>
    quarantine_left(const std::vector<prompt_part_id>& parts, common::time_point now);

    /// Whether this gateway may send a request with quarantined parts as a trial now. The hook
    /// returns the rank of this gateway among all of them, which differs from part to part. A
    /// request that lacks another part with the same evidence is tried without delay.
    [[nodiscard]] bool may_try(const std::vector<prompt_part_id>& parts, const rank_hook& rank,
                               common::time_point now) const;

    /// Whether a request with these parts should not be sent to another instance after it broke.
    [[nodiscard]] bool is_repeat_risky(const std::vector<prompt_part_id>& parts,
                                       common::time_point now) const;

    /// Everything that a gateway needs that has just started or was out of reach.
    [[nodiscard]] crash_evidence snapshot(common::time_point now) const;

    [[nodiscard]] bool empty() const { return m_parts.empty(); }
    [[nodiscard]] std::size_t size() const { return m_parts.size(); }
    [[nodiscard]] std::vector<suspect_view> quarantined(common::time_point now) const;

    [[nodiscard]] const suspect_limits& limits() const { return m_limits; }

private:
    struct quarantine {
        unsigned failed_trials = 0;
        common::time_point last_crash;
        common::time_point trial_due;
        /// End of the current trial if it has no result.
        common::time_point trial_end;
    };

    using crash_times = std::map<incarnation, common::time_point>;

    struct part_state {
        /// Time of the crash of each instance.
        crash_times crashes;
        /// Start of the latest sound answer.
        std::optional<common::time_point> sound_from;
        std::optional<quarantine> active;
        /// Time of the latest crash of the last quarantine that was refuted.
        std::optional<common::time_point> refuted_crash;
        common::time_point news;
    };

    void apply(const crash_report& report, common::time_point now);
    void apply(const sound_report& report, common::time_point now);
    void apply(const alive_report& report, common::time_point now);
    void apply(const trial_report& report, common::time_point now);
    void apply(const quarantine_report& report, common::time_point now);

    /// Returns whether the crash of this instance was not known for the part.
    bool add_crash(prompt_part_id part, part_state& state, const incarnation& instance,
                   common::time_point at);
    crash_times::iterator drop_crash(prompt_part_id part, part_state& state,
                                     crash_times::iterator crash);

    /// Number of incidents whose first crash is at or before this time.
    [[nodiscard]] std::size_t incidents(const part_state& state, common::time_point until) const;
    /// Whether a request without the other part may show which of the two is deadly: the other one
    /// was in the requests of all crashes of this part.
    [[nodiscard]] bool has_rival_outside(const part_state& state,
                                         const std::vector<prompt_part_id>& parts) const;
    /// Whether the settled evidence suffices for a quarantine.
    [[nodiscard]] bool is_convicted(const part_state& state, common::time_point now) const;
    /// Whether another convicted part was in the requests of all these crashes and of more. The
    /// part is not needed to explain them, and may only have come together with the other one.
    [[nodiscard]] bool is_explained_by_another(const part_state& state,
                                               common::time_point now) const;
    /// Starts a quarantine that the evidence calls for.
    void update(prompt_part_id part, part_state& state, common::time_point now);
    void renew(prompt_part_id part, part_state& state, common::time_point crashed,
               common::time_point now);
    /// Length of a quarantine after this crash.
    [[nodiscard]] common::duration quarantine_time(const part_state& state,
                                                   common::time_point crashed) const;
    /// Whether this gateway has evidence against the quarantine that the sender lacked.
    [[nodiscard]] bool is_refuted(const part_state& state, const quarantine_report& report) const;
    void clear_if_refuted(prompt_part_id part, part_state& state, common::time_point now);
    void forget_old(common::time_point now);
    void forget_excess();
    using part_map = std::map<prompt_part_id, part_state>;
    part_map::iterator forget(part_map::iterator part);
    [[nodiscard]] suspect_view view(prompt_part_id part, const part_state& state,
                                    suspect_change change, common::time_point now) const;
    void notify(prompt_part_id part, const part_state& state, suspect_change change,
                common::time_point now) const;

    suspect_limits m_limits;
    change_hook m_on_change;
    part_map m_parts;
    /// The parts with a crash of each instance, ordered by its time.
    std::map<incarnation, std::set<std::pair<common::time_point, prompt_part_id>>> m_crashed;
    /// When each instance was shown not to have crashed.
    std::map<incarnation, common::time_point> m_alive;
};

} // namespace jujubemast::gateway::evidence

namespace jujubemast::common {

template <>
struct enum_names<gateway::evidence::suspect_change> {
    static constexpr std::array<std::string_view, 5> table{"suspected", "quarantined", "renewed",
                                                           "trial_started", "cleared"};
};

} // namespace jujubemast::common
