#pragma once

#include <array>
#include <span>
#include <string_view>

#include "common/enum_names.h"
#include "common/time.h"

namespace jujubemast::gateway::instances {

/// What one gateway may send to an incarnation of an upstream instance.
enum class instance_phase {
    /// New to this gateway: its share of the work rises slowly.
    joining,
    serving,
    /// The instance wants no requests until a time that it named. Not a fault.
    pausing,
    /// Out of rotation after failures, until the outlier detector probes it.
    ejected,
    /// The instance is about to stop. It finishes what it has and gets no new work.
    draining,
    /// The instance is not registered any more.
    gone
};

/// What changes the phase.
enum class instance_event {
    registered,
    warmed_up,
    pause_requested,
    pause_ended,
    ejected,
    reinstated,
    drain_announced,
    deregistered
};

struct instance_transition {
    instance_phase from = instance_phase::joining;
    instance_event event = instance_event::registered;
    instance_phase to = instance_phase::joining;
};

/// The transitions of an instance. An event without an entry for the current phase changes nothing:
/// nothing ends a drain but the end of the registration.
inline constexpr std::array<instance_transition, 18> instance_transitions{{
    {instance_phase::joining, instance_event::warmed_up, instance_phase::serving},
    {instance_phase::joining, instance_event::pause_requested, instance_phase::pausing},
    {instance_phase::joining, instance_event::ejected, instance_phase::ejected},
    {instance_phase::joining, instance_event::drain_announced, instance_phase::draining},
    {instance_phase::joining, instance_event::deregistered, instance_phase::gone},
    {instance_phase::serving, instance_event::pause_requested, instance_phase::pausing},
    {instance_phase::serving, instance_event::ejected, instance_phase::ejected},
    {instance_phase::serving, instance_event::drain_announced, instance_phase::draining},
    {instance_phase::serving, instance_event::deregistered, instance_phase::gone},
    {instance_phase::pausing, instance_event::pause_ended, instance_phase::serving},
    {instance_phase::pausing, instance_event::drain_announced, instance_phase::draining},
    {instance_phase::pausing, instance_event::deregistered, instance_phase::gone},
    {instance_phase::ejected, instance_event::reinstated, instance_phase::serving},
    // The end of the pause leads to `serving`, from where the next update ejects it again if the
    // ejection lasts longer.
    {instance_phase::ejected, instance_event::pause_requested, instance_phase::pausing},
    {instance_phase::ejected, instance_event::drain_announced, instance_phase::draining},
    {instance_phase::ejected, instance_event::deregistered, instance_phase::gone},
    {instance_phase::draining, instance_event::deregistered, instance_phase::gone},
    // An entry that expired while the store was away comes back.
    {instance_phase::gone, instance_event::registered, instance_phase::joining},
}};

/// The phase of one incarnation of an instance. A restart under the same id is another object, so
/// that late responses of the former incarnation do not touch the new one.
class instance_state {
public:
    explicit instance_state(common::time_point registered,
                            std::span<const instance_transition> transitions = instance_transitions)
        : m_transitions{transitions}, m_registered_at{registered} {}

    /// Applies whether discovery lists the instance.
    void set_registered(bool registered, common::time_point now);

    /// The instance has announced that it is about to stop. Holds for this incarnation, whatever
    /// discovery says.
    void announce_drain();

    /// The instance wants no requests until this time.
    void request_pause(common::time_point until);

    /// Sets whether the operator has drained the failure domain of the instance. It gets no new
    /// work then, in any phase; what it has it completes.
    void set_domain_drained(bool drained) { m_domain_drained = drained; }

    /// Applies what depends on the time and on the outlier detector.
    void update(common::time_point now, bool ejected);

    [[nodiscard]] instance_phase phase() const { return m_phase; }

    /// Whether new work may be sent to the instance.
    [[nodiscard]] bool accepts_work() const {
        return !m_domain_drained &&
               (m_phase == instance_phase::joining || m_phase == instance_phase::serving);
    }

    /// Whether new work may be sent to the instance if none accepts it: only its failures speak
    /// against it.
    [[nodiscard]] bool accepts_work_as_fallback() const {
        return !m_domain_drained && m_phase == instance_phase::ejected;
    }

    /// Whether the instance will accept work when its pause ends.
    [[nodiscard]] bool accepts_work_after_pause() const {
        return !m_domain_drained && m_phase == instance_phase::pausing;
    }

    [[nodiscard]] bool is_domain_drained() const { return m_domain_drained; }

    /// Whether the instance may be asked for anything, new work aside.
    [[nodiscard]] bool accepts_calls() const {
        return m_phase != instance_phase::pausing && m_phase != instance_phase::gone;
    }

    [[nodiscard]] common::time_point registered_at() const { return m_registered_at; }
    [[nodiscard]] common::time_point paused_until() const { return m_paused_until; }

private:
    void apply(instance_event event);

    std::span<const instance_transition> m_transitions;
    instance_phase m_phase = instance_phase::joining;
    common::time_point m_registered_at;
    common::time_point m_paused_until;
    bool m_drain_announced = false;
    bool m_domain_drained = false;
};

/// Time over which the share of a new instance rises to its full value.
inline constexpr common::duration instance_warm_up = std::chrono::seconds{2};

} // namespace jujubemast::gateway::instances

namespace jujubemast::common {

template <>
struct enum_names<gateway::instances::instance_phase> {
    static constexpr std::array<std::string_view, 6> table{"joining", "serving",  "pausing",
                                                           "ejected", "draining", "gone"};
};

template <>
struct enum_names<gateway::instances::instance_event> {
    static constexpr std::array<std::string_view, 8> table{
        "registered", "warmed_up",  "pause_requested", "pause_ended",
        "ejected",    "reinstated", "drain_announced", "deregistered"};
};

} // namespace jujubemast::common
