#pragma once

#include <array>
#include <optional>
#include <string_view>

#include "common/enum_names.h"
#include "common/time.h"

namespace jujubemast::gateway::evidence {

/// What the end of an attempt says about the parts of its prompt.
enum class part_finding {
    none,
    /// The instance may have crashed on one of them.
    suspect,
    /// None of them crashes instances.
    sound
};

/// How an attempt ended, as far as it bears on a crash of its instance.
struct attempt_outcome {
    /// The instance has written a complete response in this attempt.
    bool answered = false;
    /// The instance ended the connection: before the response was complete, or because nothing else
    /// marks the end of its body.
    bool connection_ended = false;
    bool certainly_not_run = false;
    /// The instance has announced its stop, or is not registered any more.
    bool instance_stops = false;
    /// Time since the first event of a stream.
    std::optional<common::duration> writing;
};

/// Decides by how an attempt ended. A deadly part crashes its instance within `sound_time` of the
/// first event.
part_finding judge_attempt(const attempt_outcome& outcome, common::duration sound_time);

} // namespace jujubemast::gateway::evidence

namespace jujubemast::common {

template <>
struct enum_names<gateway::evidence::part_finding> {
    static constexpr std::array<std::string_view, 3> table{"none", "suspect", "sound"};
};

} // namespace jujubemast::common
