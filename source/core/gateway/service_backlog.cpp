#include "gateway/service_backlog.h"

#include <algorithm>

namespace jujubemast::gateway {

std::size_t slack_range(common::duration slack) {
    return static_cast<std::size_t>(
        std::upper_bound(slack_bounds.begin(), slack_bounds.end(), slack) - slack_bounds.begin());
}

} // namespace jujubemast::gateway
