#include "ctl/route_command.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <utility>

#include <boost/json.hpp>

#include "common/error.h"
#include "http/client.h"

namespace jujubemast::ctl {

namespace {

constexpr std::array<std::string_view, 3> optional_names{"prompt", "results", "tried"};
constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;

std::string percent_encoded(std::string_view text) {
    std::string result;
    for (const auto it : text) {
        const auto byte = static_cast<unsigned char>(it);
        const bool is_plain = std::isalnum(byte) != 0 || it == '-' || it == '.' || it == '_' ||
                              it == '/' || it == ':' || it == ',';
        if (is_plain) {
            result += it;
            continue;
        }
        std::array<char, 4> code{};
        std::snprintf(code.data(), code.size(), "%%%02X", byte);
        result += code.data();
    }
    return result;
}

std::string text_of(const boost::json::value& value) {
    return value.is_string() ? std::string{value.as_string()} : boost::json::serialize(value);
}

std::string rounded(const boost::json::value& value) {
    return std::to_string(std::lround(value.to_number<double>()));
}

std::string padded(std::string text, std::size_t width) {
    text.resize(std::max(width, text.size()), ' ');
    return text + " ";
}

void append_candidate(const boost::json::object& it, std::string& text) {
    constexpr std::size_t id_width = 20;
    constexpr std::size_t width = 12;
    text += "  " + padded(text_of(it.at("upstream")), id_width) +
            padded(text_of(it.at("domain")), width) + padded(text_of(it.at("verdict")), width + 2) +
            padded(text_of(it.at("in_progress")) + "/" + text_of(it.at("slots")), width) +
            padded(rounded(it.at("cost_ms")), width) + "wait_ms=" + rounded(it.at("wait_ms")) +
            " prompt_ms=" + rounded(it.at("prompt_ms")) +
            " remote_bytes=" + rounded(it.at("remote_bytes")) +
            (it.at("holds_prompt").as_bool() ? " holds_prompt" : "") + "\n";
}

class route_command final : public runtime::task {
public:
    route_command(runtime::task_context context, const invocation& call, report_hook report)
        : m_client{std::move(context),
                   http::parse_endpoint(call.arguments.front()),
                   {.total_timeout = std::chrono::seconds{15}}},
          m_arguments{call.arguments}, m_report{std::move(report)} {}

    void start() override {
        std::string target;
        try {
            target = make_route_target(m_arguments);
        } catch (const common::error& e) {
            fail(command_result::usage, e.what());
            return;
        }
        m_client.send({"GET", target, {}, {}},
                      [this](const http::call_result& result) { print(result); });
    }

    void close() noexcept override { m_client.close(); }

private:
    void fail(command_result result, const std::string& text) {
        m_report(
            {result, text, boost::json::object{{"result", std::string{common::to_name(result)}}}});
    }

    void print(const http::call_result& result) {
        const auto* response = std::get_if<http::response>(&result);
        boost::system::error_code ec;
        const auto value =
            response != nullptr ? boost::json::parse(response->body, ec) : boost::json::value{};
        if (response != nullptr && response->status == 200 && value.is_object()) {
            m_report({command_result::done, to_route_text(value), value});
            return;
        }
        const auto* error = value.is_object() ? value.as_object().if_contains("error") : nullptr;
        if (error == nullptr) {
            fail(command_result::unavailable, "the process did not explain the route; only "
                                              "jujubemast-gateway does");
            return;
        }
        fail(response->status == bad_request ? command_result::usage
             : response->status == not_found ? command_result::refused
                                             : command_result::unavailable,
             text_of(*error));
    }

    http::client m_client;
    std::vector<std::string> m_arguments;
    report_hook m_report;
};

} // namespace

std::string make_route_target(const std::vector<std::string>& arguments) {
    auto target = "/route?host=" + percent_encoded(arguments.at(1)) +
                  "&path=" + percent_encoded(arguments.at(2));
    for (std::size_t n = 3; n < arguments.size(); ++n) {
        const auto& it = arguments[n];
        const auto name = it.substr(0, it.find('='));
        if (name == it ||
            std::find(optional_names.begin(), optional_names.end(), name) == optional_names.end()) {
            throw common::error{"'" + it +
                                "' is none of prompt=ID:TOKENS,..., results=DOMAIN:BYTES,... and "
                                "tried=ID,..."};
        }
        target += "&" + name + "=" + percent_encoded(it.substr(name.size() + 1));
    }
    return target;
}

std::string to_route_text(const boost::json::value& explained) {
    const auto& whole = explained.as_object();
    std::string text = "route " + text_of(whole.at("route")) + " at gateway " +
                       text_of(whole.at("gateway")) + " in " + text_of(whole.at("domain")) + "\n";
    for (const auto& it : whole.at("services").as_array()) {
        const auto& service = it.as_object();
        const auto chosen = text_of(service.at("chosen"));
        const auto target = text_of(service.at("target_domain"));
        text += "service " + text_of(service.at("service")) + " (weight " +
                text_of(service.at("weight")) +
                "): " + (chosen.empty() ? "no instance takes it now" : chosen) +
                ", placement=" + text_of(service.at("placement")) +
                (target.empty() ? "" : ", target domain " + target) + "\n";
        for (const auto& candidate : service.at("candidates").as_array()) {
            append_candidate(candidate.as_object(), text);
        }
    }
    text.pop_back();
    return text;
}

std::shared_ptr<runtime::task> make_route_command(runtime::task_context context,
                                                  const invocation& call, report_hook report) {
    return std::make_shared<route_command>(std::move(context), call, std::move(report));
}

} // namespace jujubemast::ctl
