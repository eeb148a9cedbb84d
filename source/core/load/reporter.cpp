#include "load/reporter.h"

#include <utility>

#include <boost/json.hpp>

namespace jujubemast::load {

reporter::reporter(runtime::task_context context,
                   std::shared_ptr<runtime::mailbox<reporter_message>> inbox,
                   std::shared_ptr<const experiment> source, report_hook report)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)}, m_experiment{std::move(source)},
      m_statistics{*m_experiment}, m_report{std::move(report)} {}

void reporter::start() {
    m_inbox.receive(m_context.wrap([this](const reporter_message& message) {
        std::visit([this](const auto& it) { handle(it); }, message);
    }));
}

void reporter::stop(const runtime::stop_done& done) {
    if (m_ended) {
        done();
        return;
    }
    // The sender has already stopped, but its last messages are still in the mailbox.
    m_stop_done = done;
}

void reporter::close() noexcept {
    m_inbox.close();
}

void reporter::handle(const request_outcome& message) {
    m_statistics.add(message);
}

void reporter::handle(const verification_error& message) {
    m_statistics.add_verification_error(message.text);
}

void reporter::handle(const run_ended& /*message*/) {
    m_ended = true;
    m_report({boost::json::serialize(m_statistics.to_json()) + "\n", m_statistics.to_table()});
    if (auto done = std::exchange(m_stop_done, nullptr)) {
        done();
    }
}

} // namespace jujubemast::load
