#pragma once

#include <map>
#include <string>

#include "common/time.h"

namespace jujubemast::gateway::stages {

/// Tracks the memory that results use at one instance, from the start of their call until they are
/// released or expire.
class result_memory {
public:
    /// Reserves memory for the results of a call that starts.
    void reserve(double bytes) { m_reserved += bytes; }

    /// Releases the reservation of a call that has ended. Its results are added by `keep`.
    void unreserve(double bytes) { m_reserved -= bytes; }

    void keep(const std::string& handle, double bytes, common::time_point until);

    /// Sets the memory used by results of calls that this gateway does not know, for example those
    /// of a previous owner.
    void set_foreign(double bytes, common::time_point until) { m_foreign = {bytes, until}; }

    /// Returns whether the handle was known.
    bool release(const std::string& handle);

    /// Bytes in use at this time.
    [[nodiscard]] double used(common::time_point now);

    /// Bytes in use by the calls of this gateway.
    [[nodiscard]] double used_by_own_calls(common::time_point now);

private:
    struct result {
        double bytes = 0;
        common::time_point until;
    };

    std::map<std::string, result> m_results;
    double m_reserved = 0;
    result m_foreign;
};

} // namespace jujubemast::gateway::stages
