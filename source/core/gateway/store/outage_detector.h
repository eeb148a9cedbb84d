#pragma once

#include <optional>

#include "common/time.h"

namespace jujubemast::gateway::store {

/// Tells for one table of the store how long it may have been unavailable to those who write it. A
/// call of this gateway that fails does not show an outage by itself: its connection may have gone
/// silent, or the store may refuse this gateway only. Every response counts as a sign that the
/// store was available, also one that another gateway has received. Makes no calls and reads no
/// clock.
class outage_detector {
public:
    /// A call that was sent at a time has failed although it did not rely on an earlier connection.
    /// Returns whether the store was considered available until now.
    bool record_failure(common::time_point sent);

    /// The store was available at a time, which a response that has arrived `now` shows. If it was
    /// considered unavailable, returns how long it had shown no sign of being available.
    std::optional<common::duration> record_available(common::time_point at, common::time_point now);

private:
    std::optional<common::time_point> m_available_at;
    /// When the first call was sent that shows that the store is unavailable.
    std::optional<common::time_point> m_failed_since;
};

} // namespace jujubemast::gateway::store
