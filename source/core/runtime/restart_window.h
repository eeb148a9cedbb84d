#pragma once

#include <chrono>
#include <cstddef>
#include <deque>

#include "common/time.h"

namespace jujubemast::runtime {

/// How many restarts a supervisor allows within a period. When there are more, the supervisor
/// itself fails.
struct restart_intensity {
    std::size_t max_restarts = 5;
    common::duration period = std::chrono::seconds{10};
};

/// Counts restarts in a sliding time window.
class restart_window {
public:
    explicit restart_window(restart_intensity intensity) : m_intensity{intensity} {}

    /// Records a restart at this time. Returns false when it exceeds the intensity.
    bool record(common::time_point now);

private:
    restart_intensity m_intensity;
    std::deque<common::time_point> m_restarts;
};

} // namespace jujubemast::runtime
