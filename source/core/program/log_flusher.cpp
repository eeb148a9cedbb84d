#include "program/log_flusher.h"

#include <utility>

#include "common/time.h"
#include "logging/logger.h"

namespace jujubemast::program {

namespace {

constexpr common::duration flush_interval = std::chrono::seconds{1};

} // namespace

log_flusher::log_flusher(runtime::task_context context)
    : m_context{std::move(context)}, m_timer{m_context.loop()} {}

void log_flusher::start() {
    m_timer.start(flush_interval, m_context.wrap([this] { flush(); }));
}

void log_flusher::close() noexcept {
    m_timer.cancel();
}

void log_flusher::flush() {
    logging::flush();
    m_timer.start(flush_interval, m_context.wrap([this] { flush(); }));
}

} // namespace jujubemast::program
