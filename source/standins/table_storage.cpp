#include "standins/table_storage.h"

#include <algorithm>

namespace jujubemast::standins {

table_service::row table_storage::read(const table_service::row_key& target) const {
    const auto it = m_rows.find(target);
    if (it == m_rows.end()) {
        return {target.key, 0, nullptr};
    }
    return {target.key, it->second.version, it->second.value};
}

std::vector<table_service::row> table_storage::scan(const std::string& table,
                                                    const std::string& prefix) const {
    std::vector<table_service::row> rows;
    for (auto it = m_rows.lower_bound({table, prefix});
         it != m_rows.end() && it->first.table == table && it->first.key.starts_with(prefix);
         ++it) {
        if (it->second.present) {
            rows.push_back({it->first.key, it->second.version, it->second.value});
        }
    }
    return rows;
}

bool table_storage::commit(const table_service::transaction& transaction) {
    const bool conditions_met =
        std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
                    [this](const auto& it) { return read(it.target).version == it.version; });
    if (!conditions_met) {
        return false;
    }
    for (const auto& write : transaction.writes) {
        auto& row = m_rows[write.target];
        ++row.version;
        row.present = write.value.has_value();
        row.value = write.value.value_or(nullptr);
    }
    return true;
}

} // namespace jujubemast::standins
