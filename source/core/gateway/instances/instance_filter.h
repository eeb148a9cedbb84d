#pragma once

#include <optional>
#include <set>
#include <string>
#include <utility>

#include "gateway/allowed_regions.h"
#include "gateway/upstream_list.h"

namespace jujubemast::gateway::instances {

/// The instances of a service that may get a request, whatever their load: those in allowed regions
/// and, if the software versions are limited, of one of these versions.
class instance_filter {
public:
    instance_filter() = default;
    // NOLINTNEXTLINE(google-explicit-constructor): most requests are limited to regions only.
    instance_filter(allowed_regions regions) : m_regions{std::move(regions)} {}

    /// Allows instances of these software versions only.
    [[nodiscard]] instance_filter with_versions(std::set<std::string> versions) const {
        auto result = *this;
        result.m_versions = std::move(versions);
        return result;
    }

    /// The same for a request that is bound to one version.
    [[nodiscard]] instance_filter bound_to(std::string version) const {
        auto result = with_versions({std::move(version)});
        result.m_is_bound = true;
        return result;
    }

    [[nodiscard]] bool allows(const upstream_instance& instance) const {
        return m_regions.allows(instance.region) &&
               (!m_versions || m_versions->contains(instance.version));
    }

    /// Whether the request is limited to some of the instances that other requests of the service
    /// may use.
    [[nodiscard]] bool is_restricted() const { return m_regions.is_restricted() || m_is_bound; }

    [[nodiscard]] const allowed_regions& regions() const { return m_regions; }

private:
    allowed_regions m_regions;
    std::optional<std::set<std::string>> m_versions;
    bool m_is_bound = false;
};

} // namespace jujubemast::gateway::instances
