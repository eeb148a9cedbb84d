#pragma once

#include <map>
#include <string>

#include "common/time.h"

namespace jujubemast::gateway {

/// The room that results take at one instance, from the start of their call until they are
/// released or their lifetime ends.
class result_memory {
public:
    /// Room is set aside for the results of a call.
    void reserve(double bytes) { m_reserved += bytes; }

    /// The call has ended; what was made is added by `keep`.
    void unreserve(double bytes) { m_reserved -= bytes; }

    void keep(const std::string& handle, double bytes, common::time_point until);

    /// Results of calls that this gateway does not know, for example those of a former owner.
    void set_foreign(double bytes, common::time_point until) { m_foreign = {bytes, until}; }

    /// Returns whether the handle was known.
    bool release(const std::string& handle);

    /// Bytes taken now.
    [[nodiscard]] double used(common::time_point now);

    /// Bytes taken now by the calls of this gateway.
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

} // namespace jujubemast::gateway
