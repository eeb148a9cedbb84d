#include "ctl/explanation.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <istream>
#include <optional>
#include <utility>

namespace jujubemast::ctl {

namespace {

// Log lines of this period before the end of a request may explain the end.
constexpr std::chrono::milliseconds context_window{5000};

// Components whose log lines report the state of other processes and of the process itself.
constexpr std::array<std::string_view, 4> context_components{"catalog", "peers", "supervisor",
                                                             "process"};

constexpr std::string_view end_message = "Request ended.";
constexpr std::array<std::string_view, 2> failure_messages{"Attempt failed.", "Order not made."};

// Matches a time such as 2026-12-04T11:40:10.123. Each `d` stands for a digit.
constexpr std::string_view time_pattern = "dddd-dd-ddTdd:dd:dd.ddd";

bool starts_with_time(std::string_view text) {
    if (text.size() < time_pattern.size()) {
        return false;
    }
    return std::equal(
        time_pattern.begin(), time_pattern.end(), text.begin(), [](char pattern, char c) {
            return pattern == 'd' ? std::isdigit(static_cast<unsigned char>(c)) != 0 : pattern == c;
        });
}

/// Returns the time since midnight.
std::chrono::milliseconds time_of_day(std::string_view time) {
    const auto number = [time](std::size_t at, std::size_t digits) {
        return std::stol(std::string{time.substr(at, digits)});
    };
    return std::chrono::hours{number(11, 2)} + std::chrono::minutes{number(14, 2)} +
           std::chrono::seconds{number(17, 2)} + std::chrono::milliseconds{number(20, 3)};
}

bool is_context_line(const log_line& line) {
    return std::find(context_components.begin(), context_components.end(), line.component) !=
           context_components.end();
}

bool is_failure(const log_line& line) {
    return std::any_of(failure_messages.begin(), failure_messages.end(),
                       [&](std::string_view it) { return line.text.starts_with(it); });
}

std::string summarize(const log_line& end, const log_line& decisive_line) {
    std::string text = "ended as " + field_of(end, "end") + " with status " +
                       field_of(end, "status") + " after " + field_of(end, "ms") + " ms and " +
                       field_of(end, "sends") + " sends";
    if (const auto reason = field_of(end, "reason"); !reason.empty()) {
        text += "; reason: " + reason;
    }
    if (const auto upstream = field_of(decisive_line, "upstream"); !upstream.empty()) {
        text += "; upstream: " + upstream;
    }
    return text;
}

} // namespace

bool parse_log_line(std::string_view text, log_line& line) {
    while (!starts_with_time(text)) {
        const auto space = text.find(' ');
        if (space == std::string_view::npos) {
            return false;
        }
        text.remove_prefix(space + 1);
    }
    line.time = text.substr(0, time_pattern.size());
    text.remove_prefix(time_pattern.size());
    const auto level = text.find_first_not_of(' ');
    const auto after_level = level == std::string_view::npos ? level : text.find(' ', level);
    const auto component_at = after_level == std::string_view::npos
                                  ? after_level
                                  : text.find_first_not_of(' ', after_level);
    const auto colon =
        component_at == std::string_view::npos ? component_at : text.find(": ", component_at);
    if (colon == std::string_view::npos) {
        return false;
    }
    line.component = text.substr(component_at, colon - component_at);
    line.text = text.substr(colon + 2);
    return true;
}

std::string field_of(const log_line& line, std::string_view key) {
    const auto prefix = " " + std::string{key} + "=";
    const auto position = line.text.find(prefix);
    if (position == std::string::npos) {
        return {};
    }
    const auto value = std::string_view{line.text}.substr(position + prefix.size());
    if (value.starts_with('"')) {
        return std::string{value.substr(1, value.find('"', 1) - 1)};
    }
    return std::string{value.substr(0, value.find(' '))};
}

explanation explain(std::string_view attempt, const std::vector<log_line>& lines) {
    explanation found;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(found.lines),
                 [&](const log_line& it) { return field_of(it, "attempt") == attempt; });
    std::stable_sort(found.lines.begin(), found.lines.end(),
                     [](const log_line& a, const log_line& b) { return a.time < b.time; });
    std::optional<log_line> end;
    for (const auto& it : found.lines) {
        if (it.text.starts_with(end_message)) {
            end = it;
        } else if (is_failure(it)) {
            found.decisive_line = it;
        }
    }
    if (!end) {
        return found;
    }
    if (found.decisive_line.text.empty() || field_of(*end, "end") == "answered") {
        found.decisive_line = *end;
    }
    found.summary = summarize(*end, found.decisive_line);
    const auto ended_at = time_of_day(end->time);
    for (const auto& it : lines) {
        if (it.file == end->file && is_context_line(it) && it.time <= end->time &&
            it.time.substr(0, 10) == end->time.substr(0, 10) &&
            ended_at - time_of_day(it.time) <= context_window) {
            found.context_lines.push_back(it);
        }
    }
    return found;
}

void read_log(const std::string& file, std::istream& stream, std::vector<log_line>& lines) {
    for (std::string text; std::getline(stream, text);) {
        log_line line;
        if (parse_log_line(text, line)) {
            line.file = file;
            lines.push_back(std::move(line));
        }
    }
}

} // namespace jujubemast::ctl
