#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jujubemast::gateway {

/// Whether the operator has drained a failure domain, at one version of the row that says so.
struct domain_drain {
    std::string domain;
    std::uint64_t version = 0;
    bool in_force = false;

    friend bool operator==(const domain_drain&, const domain_drain&) = default;
};

/// The newest states of failure domains that a gateway knows.
struct domain_drains {
    std::vector<domain_drain> drains;
};

} // namespace jujubemast::gateway
