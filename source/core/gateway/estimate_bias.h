#pragma once

#include "common/time.h"

namespace jujubemast::gateway {

/// Learns by how much times differ from their estimates, as an exponentially weighted average of
/// the quotient.
class estimate_bias {
public:
    void record(common::duration estimate, common::duration actual);

    [[nodiscard]] common::duration apply(common::duration estimate) const;

private:
    double m_quotient = 1;
};

} // namespace jujubemast::gateway
