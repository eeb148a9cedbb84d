#include "ctl/explain_command.h"

#include <fstream>
#include <iostream>
#include <utility>

#include <boost/json.hpp>

#include "ctl/explanation.h"

namespace jujubemast::ctl {

namespace {

// The file name that denotes standard input.
constexpr std::string_view standard_input = "-";

std::string to_text(const log_line& line) {
    return line.time + " " + line.file + " " + line.component + ": " + line.text;
}

boost::json::array to_json(const std::vector<log_line>& lines) {
    boost::json::array texts;
    for (const auto& it : lines) {
        texts.emplace_back(to_text(it));
    }
    return texts;
}

class explain_command final : public runtime::task {
public:
    explain_command(const invocation& call, report_hook report)
        : m_arguments{call.arguments}, m_report{std::move(report)} {}

    void start() override {
        std::vector<log_line> lines;
        for (std::size_t i = 1; i < m_arguments.size(); ++i) {
            const auto& file = m_arguments[i];
            if (file == standard_input) {
                read_log(file, std::cin, lines);
                continue;
            }
            std::ifstream stream{file};
            if (!stream) {
                fail(command_result::unavailable, "the file " + file + " cannot be read");
                return;
            }
            read_log(file, stream, lines);
        }
        print(explain(m_arguments.front(), lines));
    }

    void close() noexcept override {}

private:
    void fail(command_result result, const std::string& text) {
        m_report(
            {result, text, boost::json::object{{"result", std::string{common::to_name(result)}}}});
    }

    void print(const explanation& found) {
        if (found.lines.empty()) {
            fail(command_result::refused,
                 "no log line mentions the request " + m_arguments.front());
            return;
        }
        std::string text = "request " + m_arguments.front() + "\n";
        for (const auto& it : found.lines) {
            text += "  " + to_text(it) + "\n";
        }
        if (!found.context_lines.empty()) {
            text += "what its gateway learned in the 5 s before its end\n";
        }
        for (const auto& it : found.context_lines) {
            text += "  " + to_text(it) + "\n";
        }
        if (found.summary.empty()) {
            text += "no log line reports its end: it was in progress, or its process ended";
        } else {
            text += found.summary + "\ndecided by\n  " + to_text(found.decisive_line);
        }
        m_report({command_result::done, text,
                  boost::json::object{{"result", "done"},
                                      {"lines", to_json(found.lines)},
                                      {"beliefs", to_json(found.context_lines)},
                                      {"summary", found.summary},
                                      {"deciding", to_text(found.decisive_line)}}});
    }

    std::vector<std::string> m_arguments;
    report_hook m_report;
};

} // namespace

std::shared_ptr<runtime::task> make_explain_command(const runtime::task_context& /*context*/,
                                                    const invocation& call, report_hook report) {
    return std::make_shared<explain_command>(call, std::move(report));
}

} // namespace jujubemast::ctl
