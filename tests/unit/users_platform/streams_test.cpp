#include "streams.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "common/error.h"
#include "store_encoding.h"

namespace jujubemast::tests {

struct streams_fixture {
    gateway::stream_id stream{"engines", "a1"};

    static boost::json::object document_of(const http::request& message) {
        return boost::json::parse(message.body).as_object();
    }

    /// The row that a write stores.
    static gateway::store_row stored(const http::request& message) {
        const auto put = document_of(message).at("puts").as_array().at(0);
        return {std::string{put.at("key").as_string()},
                users_platform::decode_base64(std::string{put.at("value").as_string()}), 5};
    }
};

BOOST_FIXTURE_TEST_SUITE(streams_test, streams_fixture)

BOOST_AUTO_TEST_CASE(list_of_versions_that_is_written_reads_back) {
    const gateway::listed_versions listed{{"v1", "v2"}, 3, 4000};
    const auto message = users_platform::encode_versions_write("engines", listed, 7);
    BOOST_TEST(message.target == "/rows-tx");
    const auto expected = document_of(message).at("expect").as_array().at(0);
    BOOST_TEST(expected.at("row_version").to_number<std::uint64_t>() == 7U);
    const auto read = users_platform::decode_versions("engines", stored(message));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read == listed));
}

// Guards against a list of another service: the store returns the next row if the one that is asked
// for does not exist.
BOOST_AUTO_TEST_CASE(list_of_another_service_is_not_taken_for_this_one) {
    const auto row = stored(users_platform::encode_versions_write("f", {{"v1"}, 1, 0}, 0));
    BOOST_TEST(!users_platform::decode_versions("engines", row).has_value());
}

BOOST_AUTO_TEST_CASE(stream_that_is_written_reads_back) {
    const gateway::stream_record record{stream, "v1", 4000};
    const auto message = users_platform::encode_stream_write({record}, {});
    BOOST_TEST(document_of(message).at("expect").as_array().empty());
    const auto read = users_platform::decode_stream(stream, stored(message));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read == record));
}

BOOST_AUTO_TEST_CASE(stream_with_a_like_name_is_not_taken_for_this_one) {
    const auto row = stored(users_platform::encode_stream_write({{stream, "v1", 0}}, {}));
    BOOST_TEST(!users_platform::decode_stream({"engine", "sa1"}, row).has_value());
    BOOST_TEST(!users_platform::decode_stream({"engines", "a2"}, row).has_value());
}

BOOST_AUTO_TEST_CASE(stream_with_any_attempt_id_has_a_key_that_the_store_takes) {
    stream.attempt_id = std::string(4000, '"');
    const auto put = document_of(users_platform::encode_stream_write({{stream, "v1", 0}}, {}))
                         .at("puts")
                         .as_array()
                         .at(0);
    constexpr std::size_t max_key_bytes = 200;
    BOOST_TEST(put.at("key").as_string().size() <= max_key_bytes);
}

BOOST_AUTO_TEST_CASE(row_with_malformed_content_is_rejected) {
    auto row = stored(users_platform::encode_versions_write("engines", {{"v1"}, 1, 0}, 0));
    for (const auto* text : {"", "[]", "{}", R"({"versions":[1],"era":1,"complete_since_ms":0})",
                             R"({"versions":["v"],"era":-1,"complete_since_ms":0})"}) {
        row.value = text;
        BOOST_CHECK_THROW(users_platform::decode_versions("engines", row), common::format_error);
    }
    auto of_stream = stored(users_platform::encode_stream_write({{stream, "v1", 0}}, {}));
    of_stream.value = R"({"version":7})";
    BOOST_CHECK_THROW(users_platform::decode_stream(stream, of_stream), common::format_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
