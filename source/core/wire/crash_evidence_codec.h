#pragma once

#include "common/time.h"
#include "gateway/crash_evidence.h"

namespace jujubemast::wire {

namespace gateway_pb {
class gateway_crash_evidence;
} // namespace gateway_pb

/// Encodes evidence with the ages that it has at `now`.
void to_proto(gateway_pb::gateway_crash_evidence& to, const gateway::crash_evidence& from,
              common::time_point now);

gateway::crash_evidence evidence_from_proto(const gateway_pb::gateway_crash_evidence& from,
                                            common::time_point now);

} // namespace jujubemast::wire
