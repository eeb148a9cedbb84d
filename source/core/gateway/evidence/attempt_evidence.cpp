#include "gateway/evidence/attempt_evidence.h"

namespace jujubemast::gateway::evidence {

part_finding judge_attempt(const attempt_outcome& outcome, common::duration sound_time) {
    const bool wrote_on = outcome.writing && *outcome.writing >= sound_time;
    if (outcome.answered) {
        // A crash ends the connection, too, so such a short response proves nothing.
        return outcome.connection_ended && !wrote_on ? part_finding::none : part_finding::sound;
    }
    if (!outcome.connection_ended || outcome.certainly_not_run || outcome.instance_stops ||
        wrote_on) {
        return part_finding::none;
    }
    return part_finding::suspect;
}

} // namespace jujubemast::gateway::evidence
