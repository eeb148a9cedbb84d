#include "logging/logger.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include "common/error.h"

namespace jujubemast::logging {

namespace {

std::string format(std::string_view sentence, fields values) {
    std::string text{sentence};
    for (const auto& it : values) {
        text += ' ';
        text += it.key;
        text += '=';
        const bool quoted = it.value.find_first_of(" =\"\n") != std::string::npos;
        if (!quoted) {
            text += it.value;
            continue;
        }
        text += '"';
        for (const char c : it.value) {
            // Line breaks and quotes are replaced, so that one event stays one parseable line.
            text += c == '\n' ? ' ' : (c == '"' ? '\'' : c);
        }
        text += '"';
    }
    return text;
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

void initialize(std::string_view level, output target) {
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
        log4cplus::SharedAppenderPtr appender{
            new log4cplus::ConsoleAppender{target == output::standard_error, true}};
        appender->setLayout(
            std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %c: %m%n"));
        auto root = log4cplus::Logger::getRoot();
        root.removeAllAppenders();
        root.addAppender(appender);
        root.setLogLevel(it.value);
        return;
    }
    throw common::settings_error{"unknown log level: " + std::string{level}};
}

} // namespace jujubemast::logging
