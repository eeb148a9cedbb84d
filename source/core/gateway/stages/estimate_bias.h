#pragma once

#include "common/time.h"

namespace jujubemast::gateway::stages {

/// Learns the ratio of actual times to their estimates as an exponentially weighted average.
/// Without observations the ratio decays to 1: a high ratio can cause all work to be refused, and
/// then no observation would correct it.
class estimate_bias {
public:
    void record(common::duration estimate, common::duration actual, common::time_point now);

    [[nodiscard]] common::duration apply(common::duration estimate, common::time_point now) const;

private:
    [[nodiscard]] double ratio(common::time_point now) const;

    double m_ratio = 1;
    common::time_point m_recorded;
};

} // namespace jujubemast::gateway::stages
