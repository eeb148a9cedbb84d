#include "gateway/store/malformed_rows.h"

#include <utility>

namespace jujubemast::gateway::store {

void malformed_rows::keep_only(const std::vector<store_row>& rows) {
    std::set<std::string> kept;
    for (const auto& it : rows) {
        if (m_keys.contains(it.key)) {
            kept.insert(it.key);
        }
    }
    m_keys = std::move(kept);
}

} // namespace jujubemast::gateway::store
