#pragma once

#include <optional>
#include <set>
#include <string>
#include <utility>

namespace jujubemast::gateway {

/// The regions in which a request may run. Without a list, all regions and instances whose region
/// is unknown are allowed.
class allowed_regions {
public:
    allowed_regions() = default;
    explicit allowed_regions(std::set<std::string> names) : m_names{std::move(names)} {}

    [[nodiscard]] bool is_restricted() const { return m_names.has_value(); }

    /// Whether work may be sent to an instance in a region; an empty name stands for an unknown
    /// one.
    [[nodiscard]] bool allows(const std::string& region) const;

    /// The regions that both allow.
    [[nodiscard]] allowed_regions restricted_by(const allowed_regions& other) const;

    /// Must be restricted.
    [[nodiscard]] const std::set<std::string>& names() const { return *m_names; }

    friend bool operator==(const allowed_regions&, const allowed_regions&) = default;

private:
    std::optional<std::set<std::string>> m_names;
};

} // namespace jujubemast::gateway
