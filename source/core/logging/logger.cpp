#include "logging/logger.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include "common/error.h"
#include "logging/line_queue.h"
#include "logging/line_rate_limiter.h"

namespace jujubemast::logging {

namespace {

// Values may come from callers, so longer ones are truncated.
constexpr std::size_t max_value_length = 256;

std::string format(std::string_view message, fields values) {
    std::string text{message};
    for (const auto& it : values) {
        text += ' ';
        text += it.key;
        text += '=';
        const auto value = std::string_view{it.value}.substr(0, max_value_length);
        const bool quoted = value.find_first_of(" =\"\n") != std::string_view::npos;
        if (!quoted) {
            text += value;
            continue;
        }
        text += '"';
        for (const char c : value) {
            // Line breaks and quotes are replaced, so that each event stays on one parseable line.
            text += c == '\n' ? ' ' : (c == '"' ? '\'' : c);
        }
        text += '"';
    }
    return text;
}

severity severity_of(log4cplus::LogLevel level) {
    if (level >= log4cplus::ERROR_LOG_LEVEL) {
        return severity::error;
    }
    if (level >= log4cplus::WARN_LOG_LEVEL) {
        return severity::warn;
    }
    return level >= log4cplus::INFO_LOG_LEVEL ? severity::info : severity::debug;
}

/// Writes log events at a limited rate and without blocking on the reader of the output. Dropped
/// lines are counted and reported by a log line of their own.
class bounded_appender : public log4cplus::Appender {
public:
    bounded_appender(int descriptor, const limits& limit)
        : m_rate_limiter{limit.lines_per_second}, m_lines{descriptor, limit.pending_bytes} {}

    ~bounded_appender() override { destructorImpl(); }

    bounded_appender(const bounded_appender&) = delete;
    bounded_appender& operator=(const bounded_appender&) = delete;

    void close() override {
        m_lines.flush();
        closed = true;
    }

    /// Writes the buffered lines that the reader can take now, and reports dropped lines if a
    /// report is due.
    void flush() {
        const log4cplus::thread::MutexGuard guard{access_mutex};
        m_lines.flush();
        report_dropped_lines(common::monotonic_clock::now());
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override {
        const auto now = common::monotonic_clock::now();
        const auto level = severity_of(event.getLogLevel());
        if (m_rate_limiter.try_acquire(level, now) && !m_lines.push(formatEvent(event))) {
            m_rate_limiter.record_dropped(level);
        }
        report_dropped_lines(now);
    }

private:
    void report_dropped_lines(common::time_point now) {
        if (!m_rate_limiter.report_due(now)) {
            return;
        }
        const auto counts = m_rate_limiter.take_report(now);
        const auto count_of = [&](severity it) {
            return std::to_string(counts.at(static_cast<std::size_t>(it)));
        };
        const log4cplus::spi::InternalLoggingEvent event{
            log4cplus::tstring{"process"}, log4cplus::WARN_LOG_LEVEL,
            format("Lines left out.", {{"debug", count_of(severity::debug)},
                                       {"info", count_of(severity::info)},
                                       {"warn", count_of(severity::warn)},
                                       {"error", count_of(severity::error)}}),
            nullptr, 0};
        if (!m_lines.push(formatEvent(event))) {
            for (std::size_t i = 0; i < counts.size(); ++i) {
                m_rate_limiter.record_dropped(static_cast<severity>(i), counts.at(i));
            }
        }
    }

    line_rate_limiter m_rate_limiter;
    line_queue m_lines;
};

constexpr const char* output_name = "output";

/// Returns null before `initialize`.
bounded_appender* output_appender() {
    const auto appender = log4cplus::Logger::getRoot().getAppender(output_name);
    return dynamic_cast<bounded_appender*>(appender.get());
}

} // namespace

struct logger::implementation {
    log4cplus::Logger target;

    void write(log4cplus::LogLevel level, std::string_view message, fields values) const {
        if (target.isEnabledFor(level)) {
            target.log(level, format(message, values));
        }
    }
};

logger::logger(std::string_view component)
    : m_implementation{std::make_unique<implementation>(
          implementation{log4cplus::Logger::getInstance(std::string{component})})} {}

logger::~logger() = default;

logger::logger(const logger& other)
    : m_implementation{std::make_unique<implementation>(*other.m_implementation)} {}

logger& logger::operator=(const logger& other) {
    if (this != &other) {
        *m_implementation = *other.m_implementation;
    }
    return *this;
}

void logger::debug(std::string_view message, fields values) const {
    m_implementation->write(log4cplus::DEBUG_LOG_LEVEL, message, values);
}

void logger::info(std::string_view message, fields values) const {
    m_implementation->write(log4cplus::INFO_LOG_LEVEL, message, values);
}

void logger::warn(std::string_view message, fields values) const {
    m_implementation->write(log4cplus::WARN_LOG_LEVEL, message, values);
}

void logger::error(std::string_view message, fields values) const {
    m_implementation->write(log4cplus::ERROR_LOG_LEVEL, message, values);
}

void initialize(std::string_view level, output target, const limits& limit) {
    static const log4cplus::Initializer initializer;
    struct level_name {
        std::string_view name;
        log4cplus::LogLevel value;
    };
    static constexpr level_name levels[] = {{"debug", log4cplus::DEBUG_LOG_LEVEL},
                                            {"info", log4cplus::INFO_LOG_LEVEL},
                                            {"warn", log4cplus::WARN_LOG_LEVEL},
                                            {"error", log4cplus::ERROR_LOG_LEVEL}};
    for (const auto& it : levels) {
        if (it.name != level) {
            continue;
        }
        auto root = log4cplus::Logger::getRoot();
        root.setLogLevel(it.value);
        if (output_appender() != nullptr) {
            // Only the level changes; the appender stays, because it may still buffer lines.
            return;
        }
        const int descriptor = target == output::standard_error ? STDERR_FILENO : STDOUT_FILENO;
        log4cplus::SharedAppenderPtr appender{new bounded_appender{descriptor, limit}};
        appender->setName(output_name);
        appender->setLayout(
            std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %c: %m%n"));
        root.removeAllAppenders();
        root.addAppender(appender);
        return;
    }
    throw common::settings_error{"unknown log level: " + std::string{level}};
}

void flush() {
    if (auto* const appender = output_appender()) {
        appender->flush();
    }
}

} // namespace jujubemast::logging
