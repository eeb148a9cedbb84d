#include "http/buffer_budget.h"

#include <algorithm>

namespace jujubemast::http {

bool buffer_budget::reserve(std::size_t held, std::size_t added) {
    const auto others = m_reserved - std::min(held, m_reserved);
    const auto available = m_limit - std::min(others, m_limit);
    if (added > available / 2 || held > available / 2 - added) {
        return false;
    }
    m_reserved += added;
    return true;
}

} // namespace jujubemast::http
