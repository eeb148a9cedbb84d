#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>
#include <functional>

namespace jujubemast::common {

/// The clock of ages, deadlines and leases. Unlike std::chrono::steady_clock it goes on while the
/// machine is suspended, so that a process that wakes up sees how old its state is.
struct monotonic_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept {
        std::timespec value{};
        ::clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point{std::chrono::seconds{value.tv_sec} +
                          std::chrono::nanoseconds{value.tv_nsec}};
    }
};

using time_point = monotonic_clock::time_point;
using duration = monotonic_clock::duration;

/// Source of the current monotonic time, replaceable in tests.
using clock_hook = std::function<time_point()>;

/// Returns the hook that reads the system's monotonic clock.
inline clock_hook system_monotonic_clock_hook() {
    return [] { return monotonic_clock::now(); };
}

/// Source of the current wall-clock time in milliseconds since 1970, replaceable in tests. Used
/// only for records that outlive a process; correctness never depends on it.
using wall_clock_hook = std::function<std::int64_t()>;

/// Returns the hook that reads the system's wall clock.
inline wall_clock_hook system_wall_clock_hook() {
    return [] {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    };
}

/// Returns the time since the clock's epoch in microseconds, as sent between processes.
inline std::int64_t to_microseconds(time_point time) {
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

/// Returns the time point for a count of microseconds since the clock's epoch.
inline time_point from_microseconds(std::int64_t microseconds) {
    return time_point{std::chrono::microseconds{microseconds}};
}

/// Returns the duration in fractional milliseconds, for reports and logs.
inline double to_milliseconds(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace jujubemast::common
