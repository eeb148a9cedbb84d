#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "common/enum_names.h"
#include "common/time.h"

namespace jujubemast::logging {

/// Severity of a log line, lowest first.
enum class severity { debug, info, warn, error };

/// Lines that were not written, by severity.
using dropped_line_counts = std::array<std::uint64_t, 4>;

/// Limits the rate of log lines with a token bucket. Part of the bucket is reserved for the higher
/// severities, so that a flood of informational lines does not suppress the line of a failure.
class line_rate_limiter {
public:
    /// Allows this many lines per second on average, and bursts of at most one second's worth.
    explicit line_rate_limiter(double lines_per_second);

    /// Takes the token for one line. Returns whether the line may be written.
    bool try_acquire(severity level, common::time_point now);

    /// Counts lines that are dropped for another reason than the rate.
    void record_dropped(severity level, std::uint64_t count = 1) {
        m_dropped.at(static_cast<std::size_t>(level)) += count;
    }

    /// Returns whether lines were dropped and a report of them is due.
    [[nodiscard]] bool report_due(common::time_point now) const;

    /// Returns the counts since the last report and resets them.
    dropped_line_counts take_report(common::time_point now);

private:
    double m_rate;
    double m_tokens;
    common::time_point m_refilled_at{};
    common::time_point m_reported_at{};
    dropped_line_counts m_dropped{};
};

} // namespace jujubemast::logging

namespace jujubemast::common {

template <>
struct enum_names<logging::severity> {
    static constexpr std::array<std::string_view, 4> table{"debug", "info", "warn", "error"};
};

} // namespace jujubemast::common
