#include "gateway/store/table_copy.h"

#include <algorithm>

#include "common/digest.h"

namespace jujubemast::gateway::store {

namespace {

/// Returns the part of a row in the digest of its table. The parts are combined by XOR, so that the
/// digest does not depend on the order of the rows.
std::uint64_t digest_part(const std::string& key, std::uint64_t content) {
    return common::digest_of(key + '\n' + std::to_string(content));
}

} // namespace

void table_copy::set_complete(const store_position& position) {
    m_position = position;
    m_complete = true;
}

void table_copy::clear_rows() {
    m_rows.clear();
    m_digest = 0;
}

bool table_copy::set_row(const std::string& key, std::optional<std::uint64_t> content) {
    const auto known = m_rows.find(key);
    const bool is_known = known != m_rows.end();
    if (is_known == content.has_value() && (!is_known || known->second == *content)) {
        return false;
    }
    if (is_known) {
        m_digest ^= digest_part(key, known->second);
        m_rows.erase(known);
    }
    if (content) {
        m_digest ^= digest_part(key, *content);
        m_rows.emplace(key, *content);
    }
    return true;
}

change_order table_copy::order_of(const store_position& since, const store_position& until) const {
    if (until.era > m_position.era) {
        return change_order::restored;
    }
    if (until <= m_position) {
        return until < m_position ? change_order::older : change_order::known;
    }
    return since > m_position ? change_order::gap : change_order::next;
}

void table_copy::advance(const store_position& position) {
    m_position = std::max(m_position, position);
}

void table_copy::confirm(common::time_point at) {
    m_confirmed = std::max(m_confirmed.value_or(at), at);
}

common::time_point table_copy::check_due(common::duration max_age) const {
    return m_confirmed ? *m_confirmed + max_age : common::time_point{};
}

} // namespace jujubemast::gateway::store
