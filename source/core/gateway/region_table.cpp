#include "gateway/region_table.h"

#include <algorithm>
#include <string_view>
#include <vector>

#include "common/error.h"

namespace jujubemast::gateway {

namespace {

// Platforms render tables with or without braces and quotes.
constexpr std::string_view ignored = " \t\r\n{}\"'";

std::string strip(std::string_view text) {
    std::string result;
    std::copy_if(text.begin(), text.end(), std::back_inserter(result),
                 [](char c) { return ignored.find(c) == std::string_view::npos; });
    return result;
}

} // namespace

region_table parse_region_table(const std::string& text) {
    region_table result;
    std::string_view rest = text;
    while (!rest.empty()) {
        const auto end = rest.find_first_of(",;\n");
        const auto pair = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
        if (strip(pair).empty()) {
            continue;
        }
        const auto separator = pair.find_first_of("=:");
        const auto domain = strip(pair.substr(0, separator));
        const auto region =
            separator == std::string_view::npos ? std::string{} : strip(pair.substr(separator + 1));
        if (domain.empty() || region.empty()) {
            throw common::format_error{"not a failure domain and its region: " + std::string{pair}};
        }
        const auto [known, is_new] = result.emplace(domain, region);
        if (!is_new && known->second != region) {
            throw common::format_error{"the failure domain has two regions: " + domain};
        }
    }
    return result;
}

} // namespace jujubemast::gateway
