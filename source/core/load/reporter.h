#pragma once

#include <functional>
#include <memory>
#include <string>

#include "load/messages.h"
#include "load/statistics.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"

namespace jujubemast::load {

/// The report of a run as a JSON document and as a text table.
struct run_report {
    std::string json;
    std::string table;
};

/// Called once with the report, at the end of the run.
using report_hook = std::function<void(const run_report&)>;

/// Collects the statistics of a run and creates the report at its end.
class reporter final : public runtime::task {
public:
    reporter(runtime::task_context context,
             std::shared_ptr<runtime::mailbox<reporter_message>> inbox,
             std::shared_ptr<const experiment> source, report_hook report);

    void start() override;
    void stop(const runtime::stop_done& done) override;
    void close() noexcept override;

private:
    void handle(const request_outcome& message);
    void handle(const verification_error& message);
    void handle(const run_ended& message);

    runtime::task_context m_context;
    runtime::inbox<reporter_message> m_inbox;
    std::shared_ptr<const experiment> m_experiment;
    run_statistics m_statistics;
    report_hook m_report;
    bool m_ended = false;
    runtime::stop_done m_stop_done;
};

} // namespace jujubemast::load
