#include "gateway/stages/result_memory.h"

namespace jujubemast::gateway::stages {

void result_memory::keep(const std::string& handle, double bytes, common::time_point until) {
    m_results[handle] = {bytes, until};
}

bool result_memory::release(const std::string& handle) {
    return m_results.erase(handle) > 0;
}

double result_memory::used(common::time_point now) {
    return used_by_own_calls(now) + (m_foreign.until > now ? m_foreign.bytes : 0);
}

double result_memory::used_by_own_calls(common::time_point now) {
    std::erase_if(m_results, [&](const auto& it) { return it.second.until <= now; });
    double total = m_reserved;
    for (const auto& [handle, it] : m_results) {
        total += it.bytes;
    }
    return total;
}

} // namespace jujubemast::gateway::stages
