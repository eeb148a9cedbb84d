#include "support/event_loop.h"

#include "common/time.h"

namespace jujubemast::tests {

bool event_loop::run_until(const std::function<bool()>& condition) {
    const auto deadline = common::monotonic_clock::now() + std::chrono::seconds{20};
    while (!condition()) {
        if (common::monotonic_clock::now() >= deadline) {
            return false;
        }
        m_context.restart();
        m_context.run_one_for(std::chrono::milliseconds{50});
    }
    return true;
}

void event_loop::run_ready() {
    m_context.restart();
    m_context.poll();
}

std::shared_ptr<runtime::task_lifecycle> make_lifecycle(const std::string& path) {
    auto lifecycle = std::make_shared<runtime::task_lifecycle>();
    lifecycle->path = path;
    return lifecycle;
}

} // namespace jujubemast::tests
