#pragma once

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace jujubemast::logging {

/// A named value of a log line, printed as key=value.
struct field {
    std::string_view key;
    std::string value;
};

using fields = std::initializer_list<field>;

/// Writes the log lines of one component; every line starts with the component's name.
class logger {
public:
    explicit logger(std::string_view component);
    ~logger();
    logger(const logger& other);
    logger& operator=(const logger& other);

    void debug(std::string_view message, fields values = {}) const;
    void info(std::string_view message, fields values = {}) const;
    void warn(std::string_view message, fields values = {}) const;
    void error(std::string_view message, fields values = {}) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Destination of the log lines. Command-line tools log to standard error, because standard output
/// carries their results.
enum class output { standard_error, standard_output };

/// Bounds on the rate and the buffering of the output.
struct limits {
    /// Lines written per second on average.
    double lines_per_second = 400;
    /// Bytes that are buffered while the reader does not read.
    std::size_t pending_bytes = std::size_t{256} * 1024;
};

/// Sets up logging at this level (debug, info, warn or error), or changes the level if logging is
/// set up already. Lines are written at once and without blocking on the reader; lines beyond the
/// limits are dropped and counted, those of low severity first. Throws `common::settings_error` for
/// an unknown level.
void initialize(std::string_view level, output target = output::standard_error,
                const limits& limit = {});

/// Writes buffered lines that the reader could not take earlier. Must be called periodically,
/// because otherwise they would wait for the next log line.
void flush();

} // namespace jujubemast::logging
