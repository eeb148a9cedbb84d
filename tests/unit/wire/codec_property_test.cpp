#include <boost/test/unit_test.hpp>

#include "common/error.h"
#include "support/property.h"
#include "wire/codec.h"

namespace jujubemast::tests {

struct codec_property_fixture {
    std::uint64_t seed = 20261204;

    /// Names and texts are UTF-8 on the wire. Bodies and payloads are arbitrary bytes.
    static std::string text() {
        return *rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
    }
    static std::string bytes() { return *rc::gen::arbitrary<std::string>(); }
    template <typename Number>
    static Number number() {
        return *rc::gen::scale(100.0, rc::gen::arbitrary<Number>());
    }
    template <typename Enum>
    static Enum enumerator() {
        return static_cast<Enum>(
            *rc::gen::inRange<std::uint32_t>(0, common::enumerator_count<Enum>()));
    }

    static protocol::work_identity identity() {
        return {text(), number<std::uint32_t>(), number<std::uint32_t>(), number<std::uint64_t>()};
    }

    static protocol::load_report load() {
        protocol::load_report report;
        report.queued = number<std::uint32_t>();
        report.in_progress = number<std::uint32_t>();
        report.limit = number<std::uint32_t>();
        for (auto& it : report.queue_wait_us) {
            it = number<std::int64_t>();
        }
        report.completed = number<std::uint64_t>();
        report.failed = number<std::uint64_t>();
        report.models = {text(), text()};
        return report;
    }

    static protocol::dispatch dispatch() {
        protocol::dispatch message;
        message.identity = identity();
        message.deadline_us = number<std::int64_t>();
        message.revision = number<std::uint64_t>();
        message.workspace = text();
        message.priority = enumerator<common::priority>();
        message.idempotent = *rc::gen::arbitrary<bool>();
        message.operation = text();
        message.model = text();
        message.body = bytes();
        message.resume_offset = number<std::uint64_t>();
        message.estimated_cost_us = number<std::int64_t>();
        message.trace_parent = text();
        return message;
    }

    static protocol::pong pong() {
        protocol::pong message;
        message.nonce = number<std::uint64_t>();
        message.incarnation = number<std::uint64_t>();
        message.clock_us = number<std::int64_t>();
        message.revision = number<std::uint64_t>();
        message.draining = *rc::gen::arbitrary<bool>();
        message.load = load();
        return message;
    }

    /// Returns a random message. Each type of message is equally likely.
    static protocol::message message() {
        switch (*rc::gen::inRange<std::size_t>(0, std::variant_size_v<protocol::message>)) {
        case 0:
            return protocol::ping{text(), number<std::uint64_t>(), number<std::uint64_t>()};
        case 1:
            return pong();
        case 2:
            return dispatch();
        case 3:
            return protocol::result_chunk{identity(), number<std::uint32_t>(), bytes()};
        case 4:
            return protocol::result_end{identity(), number<std::uint32_t>(),
                                        number<std::uint64_t>(), number<std::int64_t>(),
                                        number<std::int64_t>()};
        case 5:
            return protocol::refusal{identity(), enumerator<protocol::refusal_reason>(),
                                     enumerator<common::execution>(), number<std::int64_t>(),
                                     text()};
        case 6:
            return protocol::cancel{identity()};
        case 7:
            return protocol::cancelled{identity(), enumerator<common::execution>()};
        case 8:
            return protocol::acknowledge{identity()};
        case 9:
            return protocol::fetch{identity(), number<std::uint32_t>()};
        case 10:
            return protocol::configuration_fetch{number<std::uint64_t>()};
        default:
            return protocol::configuration_state{number<std::uint64_t>(), number<std::uint64_t>(),
                                                 text()};
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(codec_property_test, codec_property_fixture)

// Guards against a field that is lost, swapped or truncated. The bytes of a message contain all of
// its fields, so equal bytes after a round trip mean equal messages.
BOOST_AUTO_TEST_CASE(codec_when_random_message_is_decoded_and_encoded_again_keeps_every_byte) {
    check_property(seed, 2000, [] {
        const auto original = message();
        const auto bytes = wire::encode(original);
        const auto copy = wire::decode(bytes);
        RC_ASSERT(copy.index() == original.index());
        RC_ASSERT(wire::encode(copy) == bytes);
    });
}

// Guards against a crash of the receiver when a message is corrupted or truncated.
BOOST_AUTO_TEST_CASE(codec_when_random_message_is_corrupted_decodes_or_throws_format_error) {
    check_property(seed, 2000, [] {
        auto bytes = wire::encode(message());
        const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
        if (*rc::gen::arbitrary<bool>() || position == bytes.size()) {
            bytes.resize(position);
        } else {
            bytes[position] = *rc::gen::arbitrary<char>();
        }
        try {
            wire::decode(bytes);
        } catch (const common::format_error&) {
            return;
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
