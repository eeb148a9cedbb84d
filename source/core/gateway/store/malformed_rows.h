#pragma once

#include <set>
#include <string>
#include <vector>

#include "gateway/adapter.h"

namespace jujubemast::gateway::store {

/// The rows of a table whose content cannot be decoded. Each is reported once, although its writer
/// may repeat it and the table may be read again.
class malformed_rows {
public:
    /// Records a malformed row. Returns whether the row was valid or unknown before.
    bool add(const std::string& key) { return m_keys.insert(key).second; }

    /// Records that the row is valid or was deleted.
    void remove(const std::string& key) { m_keys.erase(key); }

    /// Forgets the rows that are missing from the whole content of the table.
    void keep_only(const std::vector<store_row>& rows);

private:
    std::set<std::string> m_keys;
};

} // namespace jujubemast::gateway::store
