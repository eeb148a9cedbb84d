#pragma once

#include <map>
#include <string>
#include <vector>

#include "table_service/store.h"

namespace jujubemast::standins {

/// The rows of the stand-in table service, held in memory.
class table_storage {
public:
    /// Returns the row; an absent row has version 0 and a null value.
    [[nodiscard]] table_service::row read(const table_service::row_key& target) const;

    /// Returns the rows of a table whose keys start with the prefix, in the order of their keys.
    [[nodiscard]] std::vector<table_service::row> scan(const std::string& table,
                                                       const std::string& prefix) const;

    /// Applies the transaction if all of its conditions hold.
    bool commit(const table_service::transaction& transaction);

private:
    struct versioned_value {
        std::uint64_t version = 0;
        boost::json::value value;
        bool present = false;
    };

    /// Rows stay after their deletion, so that versions never repeat.
    std::map<table_service::row_key, versioned_value> m_rows;
};

} // namespace jujubemast::standins
