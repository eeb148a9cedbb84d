#pragma once

#include <map>
#include <string>
#include <vector>

#include "platform/store.h"

namespace jujubemast::standins {

/// The rows of the stand-in table service, held in memory.
class table_storage {
public:
    /// Returns the row; an absent row has version 0 and a null value.
    [[nodiscard]] platform::row read(const platform::row_key& target) const;

    /// Returns the rows of a table whose keys start with the prefix, in the order of their keys.
    [[nodiscard]] std::vector<platform::row> scan(const std::string& table,
                                                  const std::string& prefix) const;

    /// Applies the transaction if all of its conditions hold.
    bool commit(const platform::transaction& work);

private:
    struct versioned_value {
        std::uint64_t version = 0;
        boost::json::value value;
        bool present = false;
    };

    /// Rows stay after their deletion, so that versions never repeat.
    std::map<platform::row_key, versioned_value> m_rows;
};

} // namespace jujubemast::standins
