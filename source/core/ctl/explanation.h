#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace jujubemast::ctl {

/// A parsed line of a process's log.
struct log_line {
    /// Name of the file that contains the line.
    std::string file;
    /// Date and time as written in the log, in a format that sorts by time.
    std::string time;
    /// Component of the program that wrote the line, for example "forwarder".
    std::string component;
    std::string text;
};

/// Parses a log line of a program. Words before the time, as log collectors add them, are skipped.
/// Returns false if the text is not such a line.
bool parse_log_line(std::string_view text, log_line& line);

/// Returns the value of a `key=value` field without its quotes, or an empty text if the line has no
/// such field.
std::string field_of(const log_line& line, std::string_view key);

/// What the logs show about one request.
struct explanation {
    /// Lines about the request from all processes, sorted by time.
    std::vector<log_line> lines;
    /// Lines of the process that ended the request, written shortly before the end, about the state
    /// of other processes and of the process itself.
    std::vector<log_line> context_lines;
    /// The line that shows why the request ended as it did: its last failed attempt or order, or
    /// the line of its end if there is no such line or the request was answered.
    log_line decisive_line;
    /// How the request ended and why, in one sentence. Empty if no line reports its end.
    std::string summary;
};

/// Explains how the request with this attempt id ended, from the log lines of all processes.
explanation explain(std::string_view attempt, const std::vector<log_line>& lines);

/// Appends all parsable lines of a log to `lines`.
void read_log(const std::string& file, std::istream& stream, std::vector<log_line>& lines);

} // namespace jujubemast::ctl
