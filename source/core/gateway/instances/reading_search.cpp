#include "gateway/instances/reading_search.h"

#include <utility>

namespace jujubemast::gateway::instances {

void reading_search::asked(std::uint64_t number, std::string engine) {
    m_number = number;
    m_engine = std::move(engine);
}

reading_step reading_search::answered(std::uint64_t number, bool granted, common::duration free_in,
                                      common::time_point now) {
    if (m_number != number) {
        return reading_step::none;
    }
    m_number.reset();
    if (granted) {
        return reading_step::send_there;
    }
    if (m_refused.empty() || now + free_in < m_first_free_at) {
        m_refused.insert(m_refused.begin(), m_engine);
        m_first_free_at = now + free_in;
    } else {
        m_refused.push_back(m_engine);
    }
    return m_refused.size() < m_limits.max_questions && now < m_ends ? reading_step::ask
                                                                     : reading_step::send_anywhere;
}

reading_step reading_search::time_over() {
    return std::exchange(m_number, {}) ? reading_step::send_anywhere : reading_step::none;
}

} // namespace jujubemast::gateway::instances
