#include "requests.h"

#include <boost/test/unit_test.hpp>

#include "common/error.h"
#include "http/socket_options.h"
#include "stages.h"

namespace jujubemast::tests {

using std::chrono::milliseconds;

struct requests_fixture {
    http::request message{"POST",
                          "/p/x?q=1",
                          {{"Host", "h.example"},
                           {"X-Attempt-Id", "a1"},
                           {"X-Deadline-Ms", "1500"},
                           {"Authorization", "Bearer key1"},
                           {"X-Prompt-Prefix", "5c:800,91:410"},
                           {"X-Token-Count", "1210,80"},
                           {"X-Pieces", "2,0,4"},
                           {"X-Piece-Key", "pk"},
                           {"Connection", "keep-alive, X-Private"},
                           {"X-Private", "1"},
                           {"X-Other", "kept"}},
                          "body"};

    http::request forward(const gateway::forward_options& options) const {
        return users_platform::encode_forward(users_platform::decode_request(message), options);
    }

    static std::string field(const http::request& of, const char* name) {
        return std::string{http::find_header(of.fields, name)};
    }
};

BOOST_FIXTURE_TEST_SUITE(requests_test, requests_fixture)

BOOST_AUTO_TEST_CASE(request_is_decoded_into_typed_fields) {
    const auto read = users_platform::decode_request(message);
    BOOST_TEST(read.attempt_id == "a1");
    BOOST_TEST(read.path == "/p/x");
    BOOST_TEST(read.api_key == "key1");
    BOOST_TEST((*read.deadline == milliseconds{1500}));
    BOOST_TEST(read.prompt.size() == 2U);
    BOOST_TEST(read.prompt[1].tokens == 410U);
    BOOST_TEST(read.max_output_tokens == 80U);
    BOOST_TEST(read.piece_counts == (std::vector<std::uint32_t>{2, 0, 4}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(response_of_an_instance_that_leaves_or_pauses_is_decoded) {
    const auto decode = [](unsigned status, const http::headers& fields) {
        return users_platform::decode_response_head(status, fields);
    };
    BOOST_TEST(decode(200, {{"Server-Leaving", "1"}}).leaving);
    BOOST_TEST(!decode(200, {{"Server-Leaving", "0"}}).leaving);
    BOOST_TEST((decode(503, {{"Retry-After", "1.5"}}).pause == milliseconds{1500}));
    BOOST_TEST((decode(503, {{"Retry-After", "1e9"}}).pause == std::chrono::minutes{5}));
    BOOST_TEST(!decode(200, {{"Retry-After", "1"}}).pause);
    for (const char* malformed :
         {"", "soon", "-1", "0", "nan", "1s", "Fri, 04 Dec 2026 10:00:00"}) {
        BOOST_TEST(!decode(503, {{"Retry-After", malformed}}).pause);
    }
}

BOOST_AUTO_TEST_CASE(request_with_a_bad_number_or_without_an_id_is_rejected) {
    message.fields[7].value = "0";
    message.fields[6].value = "4000000000";
    BOOST_CHECK_THROW(users_platform::decode_request(message), common::format_error);
    message.fields[6].value = "1";
    message.fields[2].value = "99999999999999999";
    BOOST_TEST((*users_platform::decode_request(message).deadline == std::chrono::hours{1}));
    message.fields[2].value = "soon";
    BOOST_CHECK_THROW(users_platform::decode_request(message), common::format_error);
    message.fields.clear();
    BOOST_CHECK_THROW(users_platform::decode_request(message), common::format_error);
}

// Guards against forwarding the caller's API key, or a field that only the gateway may set, to an
// upstream.
BOOST_AUTO_TEST_CASE(forwarded_request_carries_only_what_the_gateway_allows) {
    for (const auto* name : {"X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "X-Tenant",
                             "X-Expect-Instance", "X-Inputs", "Last-Event-Id"}) {
        message.fields.push_back({name, "7"});
    }
    gateway::forward_options options;
    options.upstream_id = "i-1";
    options.remaining = milliseconds{900};
    options.workspace = "w";
    const auto sent = forward(options);
    BOOST_TEST(sent.target == "/p/x?q=1");
    BOOST_TEST(sent.body == "body");
    BOOST_TEST(field(sent, "Host") == "h.example");
    BOOST_TEST(field(sent, "X-Attempt-Id") == "a1");
    BOOST_TEST(field(sent, "X-Other") == "kept");
    BOOST_TEST(field(sent, "X-Expect-Instance") == "i-1");
    BOOST_TEST(field(sent, "X-Deadline-Ms") == "900");
    BOOST_TEST(field(sent, "X-Tenant") == "w");
    for (const auto* name : {"Authorization", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From",
                             "X-Inputs", "Last-Event-Id", "Connection", "X-Private"}) {
        BOOST_TEST_CONTEXT(name) {
            BOOST_TEST(field(sent, name).empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(forwarded_stream_carries_inputs_position_and_cache_source) {
    gateway::forward_options options;
    options.inputs = {"10.0.0.1:80/a", "10.0.0.2:80/b"};
    options.last_event = 12;
    options.urgency = 3;
    options.cache_source = "10.0.0.3:80";
    const auto sent = forward(options);
    BOOST_TEST(field(sent, "X-Inputs") == "10.0.0.1:80/a,10.0.0.2:80/b");
    BOOST_TEST(field(sent, "Last-Event-Id") == "12");
    BOOST_TEST(field(sent, "X-Urgency") == "3");
    BOOST_TEST(field(sent, "Kv-Fetch") == "10.0.0.3:80");
}

BOOST_AUTO_TEST_CASE(response_head_states_whether_the_request_ran) {
    const auto refused = users_platform::decode_response_head(503, {{"X-Not-Run", "1"}});
    BOOST_TEST(refused.not_run);
    BOOST_TEST(users_platform::decode_response_head(421, {}).not_run);
    BOOST_TEST(!users_platform::decode_response_head(503, {}).not_run);
    BOOST_TEST(users_platform::decode_response_head(409, {{"X-Not-Run", "1"}}).input_gone);
    BOOST_TEST(!users_platform::decode_response_head(409, {}).input_gone);
    const auto good = users_platform::decode_response_head(
        200, {{"x-attempt-id", "a1"}, {"X-Response-Seal", "s"}});
    BOOST_TEST(good.has_signature);
    BOOST_TEST(good.attempt_id == "a1");
}

BOOST_AUTO_TEST_CASE(refusal_has_a_retry_after_header) {
    const auto refusal = users_platform::make_refusal(503, "full", milliseconds{1250});
    BOOST_TEST(http::find_header(refusal.fields, "Retry-After") == "1.25");
}

BOOST_AUTO_TEST_CASE(piece_response_is_decoded_in_order) {
    const auto results = users_platform::decode_piece_response(
        R"({"entries":[{"handle":"h"},{"reason":"gone"},{"reason":"room"},{"reason":"new"}]})");
    BOOST_REQUIRE(results.size() == 4U);
    BOOST_TEST(results[0].handle == "h");
    BOOST_TEST((results[1].status == gateway::piece_status::input_gone));
    BOOST_TEST((results[2].status == gateway::piece_status::no_room));
    BOOST_TEST((results[3].status == gateway::piece_status::failed));
    BOOST_CHECK_THROW(users_platform::decode_piece_response("{}"), common::format_error);
}

// Guards against overestimating the used memory: the platform rounds free memory down to whole
// megabytes.
BOOST_AUTO_TEST_CASE(instance_report_has_calls_and_the_upper_bound_of_free_memory) {
    const auto working =
        users_platform::decode_instance_report(R"({"queued":2,"busy":true,"free_mb":3})");
    BOOST_TEST(working.calls == 3U);
    BOOST_TEST(working.max_free_bytes == 4e6);
    const auto idle =
        users_platform::decode_instance_report(R"({"queued":0,"busy":0,"free_mb":0.36})");
    BOOST_TEST(idle.calls == 0U);
    BOOST_TEST(idle.max_free_bytes == 1e6);
    BOOST_CHECK_THROW(users_platform::decode_instance_report("{}"), common::format_error);
}

BOOST_AUTO_TEST_CASE(reported_start_is_read_if_present) {
    using users_platform::decode_reported_start;
    BOOST_TEST(*decode_reported_start(R"({"stage":"both","born":1700000000123})") ==
               1'700'000'000'123);
    BOOST_TEST(!decode_reported_start("{}").has_value());
    for (const char* malformed :
         {"", "[]", R"({"born":-1})", R"({"born":1.5})", R"({"born":"1"})"}) {
        BOOST_CHECK_THROW(decode_reported_start(malformed), common::format_error);
    }
}

BOOST_AUTO_TEST_CASE(keep_alive_timeout_is_read_if_present) {
    BOOST_TEST((*http::parse_keep_alive_timeout("timeout=5, max=100") == std::chrono::seconds{5}));
    BOOST_TEST(!http::parse_keep_alive_timeout("max=100").has_value());
    BOOST_TEST(!http::parse_keep_alive_timeout("timeout=x").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
