#include "http/connection_account.h"

#include <numeric>

namespace jujubemast::http {

namespace {

constexpr std::array<memory_use, 4> all_uses{memory_use::input, memory_use::header,
                                             memory_use::body, memory_use::output};

} // namespace

buffer_budget& server_memory::budget_of(memory_use use) {
    switch (use) {
    case memory_use::input:
    case memory_use::header:
        return input;
    case memory_use::body:
        return bodies;
    case memory_use::output:
        return output;
    }
    return input;
}

connection_account::~connection_account() {
    for (const auto use : all_uses) {
        clear(use);
    }
}

bool connection_account::set(memory_use use, std::size_t bytes) {
    const auto former = held(use);
    if (bytes <= former) {
        release(use, former - bytes);
        return true;
    }
    const auto added = bytes - former;
    const auto all = total();
    if (all > m_memory->connection_limit || added > m_memory->connection_limit - all) {
        return false;
    }
    // Uses that share a budget count together as those of one holder.
    auto& budget = m_memory->budget_of(use);
    std::size_t held_of_budget = 0;
    for (const auto it : all_uses) {
        held_of_budget += &m_memory->budget_of(it) == &budget ? held(it) : 0;
    }
    if (!budget.reserve(held_of_budget, added)) {
        return false;
    }
    m_held.at(static_cast<std::size_t>(use)) = bytes;
    return true;
}

void connection_account::release(memory_use use, std::size_t bytes) {
    m_memory->budget_of(use).release(bytes);
    m_held.at(static_cast<std::size_t>(use)) -= bytes;
}

std::size_t connection_account::total() const {
    return std::accumulate(m_held.begin(), m_held.end(), std::size_t{0});
}

} // namespace jujubemast::http
