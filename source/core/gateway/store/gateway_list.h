#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "gateway/adapter.h"

namespace jujubemast::gateway::store {

/// The gateways that are registered in the store. One whose row a restored store lacks, or holds in
/// an earlier state, stays as it was until it has had time to register again. Makes no calls and
/// reads no clock.
class gateway_list {
public:
    /// A gateway registers again within this time after a restore of the store.
    static constexpr common::duration reregistration_time = std::chrono::seconds{3};

    /// Handles a change of a gateway's row, or its removal if there is no record.
    void put(const std::string& name, const std::optional<gateway_record>& record);

    /// Handles the whole content of the table.
    void replace(const std::map<std::string, gateway_record>& rows, common::time_point now);

    /// The store has been restored from an older copy.
    void record_restore(common::time_point now) { m_reregistered_by = now + reregistration_time; }

    /// From now on the rows of the gateways that have not registered again count, or their absence.
    /// Returns whether the list changed.
    bool expire(common::time_point now);

    [[nodiscard]] std::vector<gateway_record> all() const;

    /// Returns the record that the store holds of a gateway, or null.
    [[nodiscard]] const gateway_record* find_stored(const std::string& name) const;

    [[nodiscard]] std::size_t size() const { return m_records.size(); }

private:
    std::map<std::string, gateway_record> m_records;
    /// The rows of a restored store that differ from what is known; empty if it lacks the row.
    std::map<std::string, std::optional<gateway_record>> m_restored;
    common::time_point m_reregistered_by;
};

} // namespace jujubemast::gateway::store
