#pragma once

#include <boost/beast/http/fields.hpp>

namespace jujubemast::http {

/// The transfer codings of a message, as far as its body can be read.
enum class transfer_coding {
    /// None, or "chunked" alone.
    supported,
    /// Others as well, but the last one is "chunked", so that the end of the body can be found.
    unsupported,
    /// The end of the body cannot be found. The parser takes such a request to have no body, and
    /// such a response to end with its connection.
    unframed
};

/// Returns what the Transfer-Encoding fields of a message say (RFC 9112, section 6.1).
transfer_coding transfer_coding_of(const boost::beast::http::fields& fields);

} // namespace jujubemast::http
