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

/// Writes the log lines of one part; every line starts with the part's name.
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

/// Where the lines go. Commands keep standard output for their results.
enum class output { standard_error, standard_output };

/// Bounds on the rate and the buffering of the output.
struct limits {
    /// Lines written per second on average.
    double lines_per_second = 400;
    /// Bytes kept for a reader that does not read.
    std::size_t pending_bytes = std::size_t{256} * 1024;
};

/// Sets up logging at this level (debug, info, warn or error), or changes the level of the output
/// that is set up already. Lines are written at once and never wait for the reader; beyond the
/// limits lines are left out and counted, ordinary ones first. Throws `common::settings_error` for
/// an unknown level.
void initialize(std::string_view level, output target = output::standard_error,
                const limits& limit = {});

/// Writes the lines that the reader did not take before. To be called from time to time, as a
/// process may have no further line that would carry them.
void flush();

} // namespace jujubemast::logging
