#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace jujubemast::ctl {

/// A line of a process's log.
struct log_line {
    /// Name of the file that holds the line.
    std::string file;
    /// Time of day as it was written: text that sorts by time.
    std::string time;
    /// Part of the program, for example "forwarder".
    std::string component;
    std::string text;
};

/// Reads a line as the programs write it. Words before the time, as a collector adds them, are
/// skipped. Returns false for a line of another kind.
bool parse_log_line(std::string_view text, log_line& line);

/// Returns the value of a `key=value` field without its quotes, or nothing.
std::string field_of(const log_line& line, std::string_view key);

/// What the logs say about one request.
struct explanation {
    /// Lines of the request over all processes, by time.
    std::vector<log_line> lines;
    /// What the process that answered learned of others shortly before the end.
    std::vector<log_line> context_lines;
    /// The line that decided how the request ended: the last failure or refusal before the end, or
    /// the end itself.
    log_line decisive_line;
    /// How the request ended and why, in one sentence. Empty if no line names its end.
    std::string summary;
};

/// Explains the request with this attempt id from the lines of all processes.
explanation explain(std::string_view attempt, const std::vector<log_line>& lines);

/// Reads all lines of a log.
void read_log(const std::string& file, std::istream& stream, std::vector<log_line>& lines);

} // namespace jujubemast::ctl
