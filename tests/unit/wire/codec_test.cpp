#include "wire/codec.h"

#include <boost/test/unit_test.hpp>

#include "common/error.h"
#include "common/random.h"

namespace jujubemast::tests {

struct codec_fixture {
    protocol::work_identity identity{"request", 2, 1, 0x8000000000000001U};

    template <typename Message>
    static Message round_trip(const Message& message) {
        return std::get<Message>(wire::decode(wire::encode(message)));
    }
};

BOOST_FIXTURE_TEST_SUITE(codec_test, codec_fixture)

BOOST_AUTO_TEST_CASE(codec_when_dispatch_is_decoded_keeps_every_field) {
    protocol::dispatch message;
    message.identity = identity;
    message.deadline_us = -5;
    message.revision = 7;
    message.workspace = "w";
    message.priority = common::priority::background;
    message.idempotent = false;
    message.operation = "generate";
    message.model = "m";
    message.body = std::string{"\0x", 2};
    message.resume_offset = 9;
    message.estimated_cost_us = 11;
    message.trace_parent = "t";
    message.reserve_us = 12;
    message.max_output_tokens = 13;
    const auto copy = round_trip(message);
    BOOST_TEST((copy.identity == identity));
    BOOST_TEST(copy.deadline_us == -5);
    BOOST_TEST(copy.revision == 7U);
    BOOST_TEST(copy.workspace == "w");
    BOOST_TEST((copy.priority == common::priority::background));
    BOOST_TEST(!copy.idempotent);
    BOOST_TEST(copy.operation == "generate");
    BOOST_TEST(copy.model == "m");
    BOOST_TEST(copy.body == message.body);
    BOOST_TEST(copy.resume_offset == 9U);
    BOOST_TEST(copy.estimated_cost_us == 11);
    BOOST_TEST(copy.trace_parent == "t");
    BOOST_TEST(copy.reserve_us == 12);
    BOOST_TEST(copy.max_output_tokens == 13U);
}

BOOST_AUTO_TEST_CASE(codec_when_refusal_is_decoded_keeps_reason_and_execution) {
    const auto copy = round_trip(protocol::refusal{identity, protocol::refusal_reason::draining,
                                                   common::execution::not_run, 3, "d"});
    BOOST_TEST((copy.reason == protocol::refusal_reason::draining));
    BOOST_TEST((copy.execution == common::execution::not_run));
    BOOST_TEST(copy.retry_after_us == 3);
    BOOST_TEST(copy.detail == "d");
}

// Guards against a crash of the receiver when it gets arbitrary bytes.
BOOST_AUTO_TEST_CASE(codec_when_bytes_are_random_decodes_or_throws_format_error) {
    const auto random = common::seeded_random(1);
    for (int n = 0; n < 2000; ++n) {
        std::string bytes(common::uniform_below(random, 60), '\0');
        for (auto& it : bytes) {
            it = static_cast<char>(random());
        }
        try {
            wire::decode(bytes);
        } catch (const common::format_error&) {
            continue;
        }
    }
    BOOST_CHECK_THROW(wire::decode("x"), common::format_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
