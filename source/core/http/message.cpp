#include "http/message.h"

#include <charconv>
#include <numeric>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/ip/address.hpp>

#include "common/error.h"

namespace jujubemast::http {

std::string_view find_header(const headers& fields, std::string_view name) {
    for (const auto& it : fields) {
        if (boost::algorithm::iequals(it.name, name)) {
            return it.value;
        }
    }
    return {};
}

std::size_t memory_of(const headers& fields) {
    // Two strings, and a list that grows by doubling.
    constexpr std::size_t bytes_per_field = 160;
    return std::accumulate(
        fields.begin(), fields.end(), fields.size() * bytes_per_field,
        [](std::size_t sum, const header& it) { return sum + it.name.size() + it.value.size(); });
}

response json_response(unsigned status, std::string body) {
    return response{status, {{"Content-Type", "application/json"}}, std::move(body)};
}

target_parts split_target(std::string_view target) {
    const auto pos = target.find('?');
    if (pos == std::string_view::npos) {
        return {target, {}};
    }
    return {target.substr(0, pos), target.substr(pos + 1)};
}

std::vector<std::string_view> path_segments(std::string_view path) {
    std::vector<std::string_view> segments;
    while (!path.empty()) {
        const auto pos = path.find('/');
        const auto segment = path.substr(0, pos);
        if (!segment.empty()) {
            segments.push_back(segment);
        }
        path = pos == std::string_view::npos ? std::string_view{} : path.substr(pos + 1);
    }
    return segments;
}

std::string_view query_value(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto pair = query.substr(0, end);
        const auto pos = pair.find('=');
        if (pos != std::string_view::npos && pair.substr(0, pos) == name) {
            return pair.substr(pos + 1);
        }
        query = end == std::string_view::npos ? std::string_view{} : query.substr(end + 1);
    }
    return {};
}

namespace {

bool is_ip_address(const std::string& text) {
    boost::system::error_code ec;
    boost::asio::ip::make_address(text, ec);
    // The function stops reading at a null character.
    return !ec && text.find('\0') == std::string::npos;
}

} // namespace

endpoint parse_endpoint(std::string_view text) {
    const auto pos = text.rfind(':');
    unsigned short port = 0;
    if (pos != std::string_view::npos && pos > 0) {
        const auto digits = text.substr(pos + 1);
        const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), port);
        std::string host{text.substr(0, pos)};
        if (result.ec == std::errc{} && result.ptr == digits.data() + digits.size() &&
            is_ip_address(host)) {
            return endpoint{std::move(host), port};
        }
    }
    throw common::format_error{"not an address of the form IP:PORT: " + std::string{text}};
}

std::string to_string(const endpoint& value) {
    return value.host + ":" + std::to_string(value.port);
}

} // namespace jujubemast::http
