#include "http/request_reader.h"

#include <algorithm>
#include <cstring>
#include <numeric>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "common/random.h"

namespace jujubemast::tests {

struct request_reader_fixture {
    static constexpr std::size_t header_limit = 1000;
    static constexpr std::size_t body_limit = 2000;

    /// What became of a request that arrived in segments.
    struct result {
        http::read_progress end = http::read_progress::needs_input;
        std::optional<http::request_fault> fault;
        http::request request;
        std::size_t largest_input = 0;

        [[nodiscard]] bool complete() const { return end == http::read_progress::request_complete; }
    };

    /// Parses the bytes in segments of random sizes up to `max_segment`.
    static result read(const std::string& bytes, const common::random_hook& random,
                       std::size_t max_segment) {
        http::request_reader subject;
        subject.begin({header_limit, body_limit});
        result found;
        std::size_t sent = 0;
        for (;;) {
            found.end = subject.advance();
            found.largest_input = std::max(found.largest_input, subject.input_bytes());
            if (found.end == http::read_progress::head_complete) {
                continue;
            }
            if (found.end != http::read_progress::needs_input || sent == bytes.size()) {
                break;
            }
            const auto buffer = subject.prepare();
            const auto size = std::min({buffer.size(), bytes.size() - sent,
                                        1 + common::uniform_below(random, max_segment)});
            std::memcpy(buffer.data(), bytes.data() + sent, size);
            subject.commit(size);
            sent += size;
        }
        if (found.end == http::read_progress::failed) {
            found.fault = subject.fault();
        } else if (found.complete()) {
            found.request = subject.take();
        }
        return found;
    }

    static std::string chunked(const std::string& body) {
        return "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
    }

    static std::string repeat(const std::string& text, std::size_t bytes) {
        std::string result;
        while (result.size() < bytes) {
            result += text;
        }
        return result;
    }
};

BOOST_FIXTURE_TEST_SUITE(request_reader_test, request_reader_fixture)

// Guards against a result that depends on how the network divides the bytes.
BOOST_AUTO_TEST_CASE(valid_request_in_any_segments_is_read_completely) {
    const auto random = common::seeded_random(20261207);
    const std::string one_byte_chunks = repeat("1\r\nx\r\n", 6 * body_limit);
    const std::vector<std::pair<std::string, std::size_t>> cases{
        {"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 0},
        {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", 4},
        {chunked("0\r\n\r\n"), 0},
        {chunked("4;n=v\r\nbody\r\n000\r\nX-T: t\r\n\r\n"), 4},
        {chunked(one_byte_chunks + "0\r\n\r\n"), body_limit},
        {chunked("0\r\nX: " + std::string(header_limit - 120, 't') + "\r\n\r\n"), 0}};
    for (const auto& [bytes, size] : cases) {
        for (const std::size_t segment : {1, 2, 7, 100, 100'000}) {
            const auto found = read(bytes, random, segment);
            BOOST_TEST_CONTEXT(bytes.substr(0, 80) << " in segments of " << segment) {
                BOOST_TEST(found.complete());
                BOOST_TEST(found.request.body.size() == size);
                BOOST_TEST(found.request.fields.size() <= 2U);
            }
        }
    }
}

// Guards against an element without an end that is kept, and against a limit that holds only for
// some divisions of the bytes.
BOOST_AUTO_TEST_CASE(request_beyond_a_limit_in_any_segments_fails_with_little_input) {
    using fault = http::request_fault;
    const auto random = common::seeded_random(20261208);
    constexpr std::size_t much = 100'000;
    const std::vector<std::pair<std::string, fault>> cases{
        {"GET /" + std::string(much, 'p'), fault::header_too_large},
        {"GET / HTTP/1.1\r\n" + repeat("a:\r\n", much), fault::header_too_large},
        {"GET / HTTP/1.1\r\n" + repeat("a:\r\n", header_limit) + "\r\n", fault::header_too_large},
        {chunked("0\r\n" + repeat("a:\r\n", much)), fault::trailers_too_large},
        {chunked("0\r\n" + repeat("a:\r\n", header_limit) + "\r\n"), fault::trailers_too_large},
        {chunked("1\r\nx\r\n00\r\nX: " + std::string(much, 't')), fault::trailers_too_large},
        {chunked("1;e=" + std::string(much, 'e')), fault::framing_too_large},
        {chunked("1;e=" + std::string(header_limit, 'e') + "\r\nx\r\n0\r\n\r\n"),
         fault::framing_too_large},
        {chunked(std::string(much, '0')), fault::framing_too_large},
        {chunked(repeat("1;e=" + std::string(100, 'e') + "\r\nx\r\n", much)),
         fault::framing_too_large},
        {chunked(repeat("1\r\nx\r\n", much)), fault::body_too_large},
        {chunked("ffff\r\n" + std::string(much, 'x')), fault::body_too_large},
        {"POST / HTTP/1.1\r\nContent-Length: 2001\r\n\r\n", fault::body_too_large},
        {chunked("1\r\nxx\r\n0\r\n\r\n"), fault::malformed},
        {chunked("zz\r\n\r\n"), fault::malformed}};
    for (const auto& [bytes, expected] : cases) {
        for (const std::size_t segment : {1, 3, 50, 2000, 100'000}) {
            const auto found = read(bytes, random, segment);
            BOOST_TEST_CONTEXT(bytes.substr(0, 90) << " in segments of " << segment) {
                BOOST_REQUIRE(found.fault.has_value());
                BOOST_TEST(common::to_name(*found.fault) == common::to_name(expected));
                BOOST_TEST(found.largest_input <= 64U * 1024U);
            }
        }
    }
}

// Guards against a second request that is lost because it arrived together with the first one.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_read_one_after_the_other) {
    const std::string bytes =
        chunked("1\r\nx\r\n0\r\nX-T: t\r\n\r\n") + chunked("2\r\nxx\r\n0\r\n\r\n");
    http::request_reader subject;
    subject.begin({header_limit, body_limit});
    const auto buffer = subject.prepare();
    BOOST_REQUIRE(buffer.size() >= bytes.size());
    std::memcpy(buffer.data(), bytes.data(), bytes.size());
    subject.commit(bytes.size());
    for (const std::size_t size : {1, 2}) {
        BOOST_TEST((subject.advance() == http::read_progress::head_complete));
        BOOST_TEST((subject.advance() == http::read_progress::request_complete));
        BOOST_TEST(subject.take().body.size() == size);
        subject.begin({header_limit, body_limit});
    }
    BOOST_TEST(!subject.has_input());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
