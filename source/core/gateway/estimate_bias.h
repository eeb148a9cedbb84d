#pragma once

#include "common/time.h"

namespace jujubemast::gateway {

/// Learns by how much times differ from their estimates, as an exponentially weighted average of
/// the quotient. Without observations it returns to 1: where a high quotient keeps all work away,
/// nothing else would show that it is out of date.
class estimate_bias {
public:
    void record(common::duration estimate, common::duration actual, common::time_point now);

    [[nodiscard]] common::duration apply(common::duration estimate, common::time_point now) const;

private:
    [[nodiscard]] double ratio(common::time_point now) const;

    double m_ratio = 1;
    common::time_point m_recorded;
};

} // namespace jujubemast::gateway
