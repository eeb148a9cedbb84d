#include "gateway/requests/route_question.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "common/error.h"
#include "http/message.h"

namespace jujubemast::gateway::requests {

namespace {

constexpr std::array<std::string_view, 5> parameters{"host", "path", "prompt", "results", "tried"};

std::string percent_decoded(std::string_view text) {
    std::string result;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] != '%') {
            result += text[n];
            continue;
        }
        constexpr int hexadecimal = 16;
        unsigned value = 0;
        const auto digits = text.substr(n + 1, 2);
        const auto* end = digits.data() + digits.size();
        const auto parsed = std::from_chars(digits.data(), end, value, hexadecimal);
        if (digits.size() < 2 || parsed.ptr != end) {
            throw common::format_error{"a percent sign is not followed by two hexadecimal digits"};
        }
        result += static_cast<char>(value);
        n += 2;
    }
    return result;
}

std::vector<std::string> elements_of(const std::string& list) {
    std::vector<std::string> result;
    for (std::size_t begin = 0; begin < list.size();) {
        const auto end = std::min(list.find(',', begin), list.size());
        result.push_back(list.substr(begin, end - begin));
        begin = end + 1;
    }
    return result;
}

/// Splits NAME:NUMBER at its last colon.
std::pair<std::string, std::uint32_t> named_number(const std::string& element,
                                                   const std::string& parameter) {
    const auto colon = element.rfind(':');
    std::uint32_t number = 0;
    const auto* end = element.data() + element.size();
    const auto* begin = colon == std::string::npos ? end : element.data() + colon + 1;
    const auto parsed = std::from_chars(begin, end, number);
    if (colon == std::string::npos || colon == 0 || begin == end || parsed.ptr != end ||
        parsed.ec != std::errc{}) {
        throw common::format_error{parameter + ": '" + element +
                                   "' is not a name, a colon and a whole number"};
    }
    return {element.substr(0, colon), number};
}

/// Refuses parameters that are not known, because a misspelt one would change the answer silently.
void check_names(std::string_view query) {
    while (!query.empty()) {
        const auto part = query.substr(0, query.find('&'));
        const auto name = part.substr(0, part.find('='));
        if (std::find(parameters.begin(), parameters.end(), name) == parameters.end()) {
            throw common::format_error{"unknown parameter '" + std::string{name} + "'"};
        }
        query.remove_prefix(std::min(query.size(), part.size() + 1));
    }
}

} // namespace

route_question decode_route_question(std::string_view query) {
    check_names(query);
    const auto value_of = [&](std::string_view name) {
        return percent_decoded(http::query_value(query, name));
    };
    route_question result;
    result.host = value_of("host");
    result.path = value_of("path");
    if (result.host.empty()) {
        throw common::format_error{"host is missing"};
    }
    if (!result.path.starts_with('/')) {
        throw common::format_error{"path must begin with a slash"};
    }
    for (const auto& it : elements_of(value_of("prompt"))) {
        auto [id, tokens] = named_number(it, "prompt");
        result.prompt.push_back({std::move(id), tokens});
    }
    for (const auto& it : elements_of(value_of("results"))) {
        auto [domain, bytes] = named_number(it, "results");
        result.results.push_back({std::move(domain), static_cast<double>(bytes)});
    }
    result.tried = elements_of(value_of("tried"));
    return result;
}

} // namespace jujubemast::gateway::requests
