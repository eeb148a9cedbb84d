#pragma once

#include "runtime/task.h"

namespace jujubemast::program {

/// Hands the reader of the logs, from time to time, the lines that it did not take at once.
class log_flusher final : public runtime::task {
public:
    explicit log_flusher(runtime::task_context context);

    void start() override;
    void close() noexcept override;

private:
    void flush();

    runtime::task_context m_context;
    runtime::timer m_timer;
};

} // namespace jujubemast::program
