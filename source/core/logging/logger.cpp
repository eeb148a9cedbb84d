#include "logging/logger.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include "common/error.h"
#include "logging/line_budget.h"
#include "logging/line_queue.h"

namespace jujubemast::logging {

namespace {

// Values may come from callers; longer ones are cut off.
constexpr std::size_t longest_value = 256;

std::string format(std::string_view sentence, fields values) {
    std::string text{sentence};
    for (const auto& it : values) {
        text += ' ';
        text += it.key;
        text += '=';
        const auto value = std::string_view{it.value}.substr(0, longest_value);
        const bool quoted = value.find_first_of(" =\"\n") != std::string_view::npos;
        if (!quoted) {
            text += value;
            continue;
        }
        text += '"';
        for (const char c : value) {
            // Line breaks and quotes are replaced, so that one event stays one parseable line.
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

/// Writes events within a rate and without waiting for the reader of the output. Lines that are
/// left out are counted by a line of their own.
class bounded_appender : public log4cplus::Appender {
public:
    bounded_appender(int descriptor, const limits& bounds)
        : m_budget{bounds.lines_per_second}, m_lines{descriptor, bounds.pending_bytes} {}

    ~bounded_appender() override { destructorImpl(); }

    bounded_appender(const bounded_appender&) = delete;
    bounded_appender& operator=(const bounded_appender&) = delete;

    void close() override {
        m_lines.flush();
        closed = true;
    }

    /// Writes what the reader now takes, and the count of lines left out.
    void flush() {
        const log4cplus::thread::MutexGuard guard{access_mutex};
        m_lines.flush();
        report_left_out(common::monotonic_clock::now());
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override {
        const auto now = common::monotonic_clock::now();
        const auto of = severity_of(event.getLogLevel());
        if (m_budget.take(of, now) && !m_lines.push(formatEvent(event))) {
            m_budget.record_loss(of);
        }
        report_left_out(now);
    }

private:
    void report_left_out(common::time_point now) {
        if (!m_budget.report_due(now)) {
            return;
        }
        const auto counts = m_budget.take_report(now);
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
                m_budget.record_loss(static_cast<severity>(i), counts.at(i));
            }
        }
    }

    line_budget m_budget;
    line_queue m_lines;
};

constexpr const char* output_name = "output";

/// Returns null before `initialize`.
bounded_appender* bounded_output() {
    const auto appender = log4cplus::Logger::getRoot().getAppender(output_name);
    return dynamic_cast<bounded_appender*>(appender.get());
}

} // namespace

struct logger::implementation {
    log4cplus::Logger target;

    void write(log4cplus::LogLevel level, std::string_view sentence, fields values) const {
        if (target.isEnabledFor(level)) {
            target.log(level, format(sentence, values));
        }
    }
};

logger::logger(std::string_view part)
    : m_implementation{std::make_unique<implementation>(
          implementation{log4cplus::Logger::getInstance(std::string{part})})} {}

logger::~logger() = default;

logger::logger(const logger& other)
    : m_implementation{std::make_unique<implementation>(*other.m_implementation)} {}

logger& logger::operator=(const logger& other) {
    if (this != &other) {
        *m_implementation = *other.m_implementation;
    }
    return *this;
}

void logger::debug(std::string_view sentence, fields values) const {
    m_implementation->write(log4cplus::DEBUG_LOG_LEVEL, sentence, values);
}

void logger::info(std::string_view sentence, fields values) const {
    m_implementation->write(log4cplus::INFO_LOG_LEVEL, sentence, values);
}

void logger::warn(std::string_view sentence, fields values) const {
    m_implementation->write(log4cplus::WARN_LOG_LEVEL, sentence, values);
}

void logger::error(std::string_view sentence, fields values) const {
    m_implementation->write(log4cplus::ERROR_LOG_LEVEL, sentence, values);
}

void initialize(std::string_view level, output target, const limits& bounds) {
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
        if (bounded_output() != nullptr) {
            // The output stays, with the lines that it still holds.
            return;
        }
        const int descriptor = target == output::standard_error ? STDERR_FILENO : STDOUT_FILENO;
        log4cplus::SharedAppenderPtr appender{new bounded_appender{descriptor, bounds}};
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
    if (auto* const appender = bounded_output()) {
        appender->flush();
    }
}

} // namespace jujubemast::logging
