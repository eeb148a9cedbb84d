#pragma once

#include <string>
#include <vector>

#include "gateway/store_position.h"

namespace jujubemast::gateway {

/// Whether the operator has drained a failure domain, at the position of the row that says so.
struct domain_drain {
    std::string domain;
    store_position position;
    bool in_force = false;

    friend bool operator==(const domain_drain&, const domain_drain&) = default;
};

/// The newest states of failure domains that a gateway knows.
struct domain_drains {
    std::vector<domain_drain> drains;
};

} // namespace jujubemast::gateway
