#include "policy/work_queue.h"

#include <algorithm>
#include <deque>
#include <memory>

namespace jujubemast::policy {

queue_hooks make_fifo_queue(std::size_t capacity) {
    const auto queue = std::make_shared<std::deque<queued_work>>();
    queue_hooks hooks;
    hooks.push = [queue, capacity](const queued_work& work) -> std::vector<std::uint64_t> {
        if (queue->size() >= capacity) {
            return {work.id};
        }
        queue->push_back(work);
        return {};
    };
    hooks.pop = [queue](common::time_point /*now*/) -> std::optional<queued_work> {
        if (queue->empty()) {
            return std::nullopt;
        }
        auto work = std::move(queue->front());
        queue->pop_front();
        return work;
    };
    hooks.remove = [queue](std::uint64_t id) {
        return std::erase_if(*queue, [id](const queued_work& it) { return it.id == id; }) > 0;
    };
    hooks.size = [queue](common::priority priority) {
        return static_cast<std::size_t>(
            std::count_if(queue->begin(), queue->end(),
                          [priority](const queued_work& it) { return it.priority == priority; }));
    };
    return hooks;
}

} // namespace jujubemast::policy
