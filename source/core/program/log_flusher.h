#pragma once

#include "runtime/task.h"

namespace jujubemast::program {

/// Periodically writes the log lines that the reader of the output could not take earlier.
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
