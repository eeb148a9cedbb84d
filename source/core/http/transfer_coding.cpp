#include "http/transfer_coding.h"

#include <string_view>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace jujubemast::http {

transfer_coding transfer_coding_of(const boost::beast::http::fields& fields) {
    // Several fields count as one list.
    std::string list;
    bool has_field = false;
    const auto found = fields.equal_range(boost::beast::http::field::transfer_encoding);
    for (auto it = found.first; it != found.second; ++it) {
        list += has_field ? "," : "";
        list += std::string_view{it->value().data(), it->value().size()};
        has_field = true;
    }
    if (!has_field || boost::algorithm::iequals(list, "chunked")) {
        return transfer_coding::supported;
    }
    const auto last = boost::algorithm::trim_copy(list.substr(list.rfind(',') + 1));
    return boost::algorithm::iequals(last, "chunked") ? transfer_coding::unsupported
                                                      : transfer_coding::unframed;
}

} // namespace jujubemast::http
