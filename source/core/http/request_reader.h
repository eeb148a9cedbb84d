#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "common/enum_names.h"
#include "http/message.h"

namespace jujubemast::http {

/// What `request_reader::advance` has found in the bytes read so far.
enum class read_progress { needs_input, head_complete, request_complete, failed };

/// Why a request cannot be read.
enum class request_fault {
    malformed,
    header_too_large,
    trailers_too_large,
    body_too_large,
    framing_too_large,
    unsupported_transfer_coding,
    unframed_body,
    /// TRACE. It is not forwarded, and with a body it is not valid (RFC 9110, section 9.3.8).
    unsupported_method
};

/// The status with which a request with this fault is refused.
unsigned status_of(request_fault fault);

/// Parses the requests of one connection and bounds what they make it hold. Beast's parser limits
/// the header and the body, but keeps the line of a chunk's size with its extension, and trailers,
/// until they are complete.
class request_reader {
public:
    struct size_limits {
        /// Limit of the start line and all fields, including trailers.
        std::size_t header_bytes = 0;
        std::size_t body_bytes = 0;
    };

    /// Begins to parse the next request. Input that follows the former one is kept.
    void begin(const size_limits& limits);

    /// Returns a buffer for the next read from the connection.
    boost::asio::mutable_buffer prepare();

    /// Adds the bytes that were read to the input.
    void commit(std::size_t size) { m_input.commit(size); }

    /// Parses the input up to the next result. After `needs_input`, at most one read has been added
    /// to the body.
    read_progress advance();

    /// Valid after `failed`.
    [[nodiscard]] request_fault fault() const { return m_fault; }

    /// Valid after `head_complete`: the length of the body if its header announces it.
    [[nodiscard]] std::optional<std::uint64_t> content_length() const { return m_content_length; }

    /// Valid after `head_complete`.
    [[nodiscard]] bool keep_alive() const { return m_keep_alive; }

    /// Returns the request after `request_complete`. Trailer fields are not part of it.
    request take();

    /// Drops the current request with its body.
    void discard();

    /// Frees the buffer with all input.
    void drop_input();

    /// Frees the buffer if there is no input.
    void release_buffer();

    /// Whether bytes of a request have arrived.
    [[nodiscard]] bool has_input() const { return m_head_bytes > 0 || m_input.size() > 0; }

    /// Whether bytes behind the current request have been read.
    [[nodiscard]] bool has_further_input() const { return m_input.size() > 0; }

    /// Memory for unparsed input.
    [[nodiscard]] std::size_t input_bytes() const { return m_input.capacity(); }

    /// Memory for the start line and the fields, as the objects that they become.
    [[nodiscard]] std::size_t head_memory() const { return m_head_memory; }

    /// Memory for the body.
    [[nodiscard]] std::size_t body_memory() const {
        return m_parser ? m_parser->get().body().capacity() : 0;
    }

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    read_progress advance_head();
    read_progress finish_head();
    read_progress advance_body();
    /// Counts what one step of the parser has consumed of a body.
    bool count_body_step(std::string_view input, std::size_t consumed, std::size_t grown);
    /// Whether the part of the body that is not parsed yet may still become valid.
    bool check_unparsed();
    read_progress fail(request_fault fault);

    [[nodiscard]] std::size_t body_bytes() const {
        return m_parser ? m_parser->get().body().size() : 0;
    }

    [[nodiscard]] std::string_view input() const {
        return {static_cast<const char*>(m_input.cdata().data()), m_input.size()};
    }

    size_limits m_limits;
    boost::beast::flat_buffer m_input;
    std::optional<parser> m_parser;
    request m_request;
    std::optional<std::uint64_t> m_content_length;
    bool m_keep_alive = false;
    request_fault m_fault = request_fault::malformed;
    std::size_t m_head_bytes = 0;
    std::size_t m_head_memory = 0;
    /// Bytes of a chunked body that are not content.
    std::size_t m_framing_bytes = 0;
};

} // namespace jujubemast::http

namespace jujubemast::common {

template <>
struct enum_names<http::read_progress> {
    static constexpr std::array<std::string_view, 4> table{"needs_input", "head_complete",
                                                           "request_complete", "failed"};
};

/// The names are the titles of the refusals.
template <>
struct enum_names<http::request_fault> {
    static constexpr std::array<std::string_view, 8> table{"malformed request",
                                                           "header too large",
                                                           "trailers too large",
                                                           "body too large",
                                                           "chunk extensions too large",
                                                           "unsupported transfer coding",
                                                           "the end of the body cannot be found",
                                                           "unsupported method"};
};

} // namespace jujubemast::common
