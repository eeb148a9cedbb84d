#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "entry/caller_request.h"
#include "support/property.h"

namespace jujubemast::tests {

using namespace jujubemast::entry;

struct caller_request_property_fixture {
    std::uint64_t seed = 20261204;

    static http::request request(std::string body) {
        return {"POST",
                "/v1/pipelines/draft/requests",
                {{"Authorization", "Bearer k"}},
                std::move(body)};
    }

    /// Returns JSON text of random shape, mostly an object with the members that a request may
    /// have.
    static std::string random_body() {
        const std::string member = *rc::gen::element<std::string>("input", "max_tokens", "stream");
        const std::string value = *rc::gen::element<std::string>(
            "null", "true", "-1", "0", "1", "32768", "32769", "1e300", "99999999999999999999", "[]",
            "{}", "\"\"", "\"\\ud800\"", "\"\xff\"", "\"text\"",
            "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["
            "[[[[");
        return R"({"input":"x",")" + member + "\":" + value + "}";
    }

    /// Decodes the request and checks the conditions that hold for every outcome.
    static std::variant<caller_request, problem> decode(const http::request& message) {
        auto decoded = decode_caller_request(message);
        if (const auto* error = std::get_if<problem>(&decoded)) {
            RC_ASSERT((error->execution == common::execution::not_run));
            RC_ASSERT(status_of(error->kind) >= 400U);
            RC_ASSERT(status_of(error->kind) < 500U);
            RC_ASSERT(!to_document(*error).empty());
        } else {
            const auto& accepted = std::get<caller_request>(decoded);
            RC_ASSERT(accepted.max_tokens >= 1U);
            RC_ASSERT(accepted.max_tokens <= 32768U);
            RC_ASSERT(accepted.idempotency_key.size() <= 128U);
        }
        return decoded;
    }
};

BOOST_FIXTURE_TEST_SUITE(caller_request_property_test, caller_request_property_fixture)

// Guards against a well-formed request that the decoder changes or refuses.
BOOST_AUTO_TEST_CASE(caller_request_when_well_formed_keeps_its_content) {
    check_property(seed, 1000, [] {
        const auto input = *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
        const auto tokens = *rc::gen::inRange<std::int64_t>(1, 32769);
        const auto timeout = *rc::gen::inRange<std::int64_t>(1, 3600001);
        const auto stream = *rc::gen::arbitrary<bool>();
        const auto key =
            *rc::gen::container<std::string>(rc::gen::elementOf(std::string{"abcXYZ019-_.:"}));
        auto message = request(boost::json::serialize(
            boost::json::object{{"input", input}, {"max_tokens", tokens}, {"stream", stream}}));
        message.fields.push_back({"idempotency-key", key});
        message.fields.push_back({"X-Request-Timeout-Ms", std::to_string(timeout)});
        const auto decoded = decode(message);
        const auto* accepted = std::get_if<caller_request>(&decoded);
        RC_ASSERT((accepted != nullptr) == (key.size() <= 128));
        if (accepted != nullptr) {
            RC_ASSERT(accepted->input == input);
            RC_ASSERT(accepted->max_tokens == tokens);
            RC_ASSERT(accepted->stream == stream);
            RC_ASSERT(accepted->idempotency_key == key);
            RC_ASSERT((accepted->timeout == std::chrono::milliseconds{timeout}));
        }
    });
}

// Guards against bodies and headers that crash the process or are accepted although they are not
// fully understood.
BOOST_AUTO_TEST_CASE(caller_request_when_arbitrary_is_decoded_or_refused_with_4xx) {
    check_property(seed, 3000, [] {
        auto message = request(*rc::gen::arbitrary<bool>() ? random_body()
                                                           : *rc::gen::arbitrary<std::string>());
        const auto name =
            *rc::gen::element<std::string>("X-Request-Timeout-Ms", "Priority", "Idempotency-Key",
                                           "traceparent", "X-Request-Id", "Authorization");
        message.fields.insert(message.fields.begin(), {name, *rc::gen::arbitrary<std::string>()});
        if (*rc::gen::inRange(0, 4) == 0) {
            message.target = "/" + *rc::gen::arbitrary<std::string>();
        }
        decode(message);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
