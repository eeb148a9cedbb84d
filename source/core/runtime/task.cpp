#include "runtime/task.h"

#include <boost/json/value.hpp>

namespace jujubemast::runtime {

boost::json::value task::dump() const {
    return boost::json::object{};
}

void task_context::finish() const {
    if (m_life->running && m_life->on_finish) {
        m_life->on_finish();
    }
}

void task_context::report_failure(task_life& life, std::exception_ptr reason) {
    if (life.running && life.on_failure) {
        life.on_failure(std::move(reason));
    }
}

} // namespace jujubemast::runtime
