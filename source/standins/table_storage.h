#pragma once

#include <map>
#include <string>
#include <vector>

#include "table_service/store.h"

namespace jujubemast::standins {

/// The rows of the stand-in table service, stored in memory.
class table_storage {
public:
    /// Returns the row. A row that never existed has version 0 and a null value.
    [[nodiscard]] table_service::row read(const table_service::row_key& target) const;

    /// Returns the rows of a table whose keys start with the prefix, ordered by key.
    [[nodiscard]] std::vector<table_service::row> scan(const std::string& table,
                                                       const std::string& prefix) const;

    /// Applies the transaction if all of its conditions are met. Returns whether it was applied.
    bool commit(const table_service::transaction& transaction);

private:
    struct versioned_value {
        std::uint64_t version = 0;
        boost::json::value value;
        bool present = false;
    };

    /// Deleted rows are kept, so that a key never has the same version twice.
    std::map<table_service::row_key, versioned_value> m_rows;
};

} // namespace jujubemast::standins
