#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/enum_names.h"
#include "common/time.h"
#include "gateway/adapter.h"
#include "gateway/store_position.h"
#include "gateway/table_changes.h"

namespace jujubemast::gateway::store {

/// How changes relate to the version of a copy.
enum class change_order {
    /// The copy is newer.
    older,
    /// The copy contains the changes. They must not be applied again, because they may hold earlier
    /// states of a row.
    known,
    /// The changes lead from the version of the copy, or from an earlier one, to a later version.
    next,
    /// Changes between the version of the copy and `since` are missing.
    gap,
    /// The store has been restored since the copy was read, so the whole table has to be read.
    restored
};

/// The state of a copy of a table: its position, the digests of its rows, and when it was last
/// known to be the newest. Makes no calls and reads no clock.
class table_copy {
public:
    [[nodiscard]] const store_position& position() const { return m_position; }

    /// Whether the whole table has been read.
    [[nodiscard]] bool is_complete() const { return m_complete; }

    /// Digest of the contents of all rows.
    [[nodiscard]] std::uint64_t digest() const { return m_digest; }

    /// When the store last confirmed that the copy is the newest.
    [[nodiscard]] std::optional<common::time_point> confirmed() const { return m_confirmed; }

    /// The whole table is about to be read again. Changes do not apply to the copy until then.
    void invalidate() { m_complete = false; }

    /// The whole table has been read at this position.
    void set_complete(const store_position& position);

    /// Removes the digests of all rows, before those of the whole table are set.
    void clear_rows();

    /// Sets the digest of a row's content, or removes it if the row was deleted or is invalid.
    /// Returns whether the content differs from the known one.
    bool set_row(const std::string& key, std::optional<std::uint64_t> content);

    /// Relates changes from `since` to `until`, of the same era, to this copy.
    [[nodiscard]] change_order order_of(const store_position& since,
                                        const store_position& until) const;

    /// The changes up to this position have been applied.
    void advance(const store_position& position);

    /// The store has confirmed at a time that the copy is the newest, according to its response or
    /// to another gateway.
    void confirm(common::time_point at);

    /// When a copy that others keep up to date has to be checked with the store, if they confirm
    /// nothing until then.
    [[nodiscard]] common::time_point check_due(common::duration max_age) const;

private:
    bool m_complete = false;
    store_position m_position;
    std::uint64_t m_digest = 0;
    std::unordered_map<std::string, std::uint64_t> m_rows;
    std::optional<common::time_point> m_confirmed;
};

} // namespace jujubemast::gateway::store

namespace jujubemast::common {

template <>
struct enum_names<gateway::store::change_order> {
    static constexpr std::array<std::string_view, 5> table{"older", "known", "next", "gap",
                                                           "restored"};
};

} // namespace jujubemast::common
