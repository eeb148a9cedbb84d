#include "runtime/task.h"

#include <boost/json/value.hpp>

namespace jujubemast::runtime {

boost::json::value task::dump() const {
    return boost::json::object{};
}

void task_context::finish() const {
    if (m_lifecycle->running && m_lifecycle->on_finish) {
        m_lifecycle->on_finish();
    }
}

void task_context::report_failure(task_lifecycle& lifecycle, std::exception_ptr reason) {
    if (lifecycle.running && lifecycle.on_failure) {
        lifecycle.on_failure(std::move(reason));
    }
}

} // namespace jujubemast::runtime
