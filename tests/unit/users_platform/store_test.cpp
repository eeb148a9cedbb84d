#include "store.h"

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "common/error.h"
#include "configuration.h"
#include "support/property.h"
#include "upstreams.h"

namespace jujubemast::tests {

struct store_fixture {
    static gateway::store_row row(const std::string& key, const std::string& value) {
        return {key, value, 3};
    }

    static const std::string& configuration_text() {
        static const std::string text =
            R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","kind":"streaming",)"
            R"("timeout_ms":12000,"goal_ms":1500,"priority":1,"max_attempts":2,"sticky":true,)"
            R"("traffic_split":[{"service":"m","weight":90},{"service":"n","weight":10}],)"
            R"("stages":[{"service":"s","after":[],"byte_count":8000},)"
            R"({"service":"s","after":[0],"byte_count":600}],"resumable":true,"gap_target_ms":600}],)"
            R"("services":[{"name":"s","max_conns":9,"pieces":{"slots":1,"queue":2,"batch":8,)"
            R"("call_ms":240.0,"item_ms":26.0,"headroom_mb":9.6,"handle_s":4.0}}],)"
            R"("limits":{"max_body_bytes":4000,"idle_timeout_ms":15000},)"
            R"("tenants":[{"name":"w","api_keys":["k1","k2"],"priority":0}]})";
        return text;
    }

    static const std::string& upstream_text() {
        static const std::string text =
            R"({"service":"s","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":64,)"
            R"("state":"ready","cold_left_ms":0,"seq":4,"born":17})";
        return text;
    }

    static boost::json::object upstream_fields() {
        return boost::json::parse(upstream_text()).as_object();
    }

    /// Returns a valid entry in which the value of one field is replaced by other bytes.
    static std::string upstream_text_with(const std::string& field, const std::string& value) {
        auto fields = upstream_fields();
        fields.erase(field);
        auto text = boost::json::serialize(fields);
        text.back() = ',';
        return text + '"' + field + "\":" + value + '}';
    }

    static void check_upstream_is_rejected(const std::string& key, const std::string& text) {
        BOOST_CHECK_THROW(users_platform::decode_upstream(row(key, text)), common::format_error);
    }
};

BOOST_FIXTURE_TEST_SUITE(store_test, store_fixture)

BOOST_AUTO_TEST_CASE(rows_with_values_and_deleted_rows_are_decoded) {
    const auto response = users_platform::decode_rows(
        {200,
         {},
         R"({"rows":[{"table":"t","part":"","key":"a","value":"bm9kZS0x","row_version":4},)"
         R"({"table":"t","part":"","key":"b","deleted":true,"row_version":5}],"row_version":9})"});
    BOOST_REQUIRE((response.outcome == gateway::store_outcome::done));
    BOOST_TEST(response.content.version == 9U);
    BOOST_TEST(*response.content.rows[0].value == "node-1");
    BOOST_TEST(!response.content.rows[1].value.has_value());
}

BOOST_AUTO_TEST_CASE(store_responses_without_rows_are_distinguished) {
    const auto outcome = [](unsigned status) {
        return users_platform::decode_rows({status, {}, "{}"}).outcome;
    };
    BOOST_TEST((outcome(410) == gateway::store_outcome::history_lost));
    BOOST_TEST((outcome(429) == gateway::store_outcome::throttled));
    BOOST_TEST((outcome(503) == gateway::store_outcome::unavailable));
    BOOST_TEST((outcome(200) == gateway::store_outcome::malformed));
}

BOOST_AUTO_TEST_CASE(configuration_is_decoded_completely) {
    const auto read = users_platform::decode_configuration(row("config", configuration_text()));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->version == 7U);
    const auto& route = read->routes.at(0);
    BOOST_TEST((route.kind == gateway::repeatability::stream));
    BOOST_TEST(route.services.size() == 2U);
    BOOST_TEST(route.stages.at(1).dependencies.front() == 0U);
    BOOST_TEST((route.event_gap_target == std::chrono::milliseconds{600}));
    BOOST_TEST(read->services.at("s").pieces->batch == 8U);
    BOOST_TEST(read->workspaces_by_key.at("k2").name == "w");
    BOOST_TEST(read->keys_required);
    BOOST_TEST(!users_platform::decode_configuration(row("other", "{}")).has_value());
}

// Guards against using an entry that was written by a program other than an upstream instance.
BOOST_AUTO_TEST_CASE(upstream_entry_with_missing_or_unknown_fields_is_rejected) {
    const auto good = users_platform::decode_upstream(row("i-1", upstream_text()));
    BOOST_TEST(good.address.port == 8080U);
    BOOST_TEST(good.started_ms == 17);
    for (const auto* bad :
         {"", "7", "{}", R"({"service":"s","address":"x","zone":"a","slots":1,"state":"ready"})",
          R"({"service":"s","address":"1.1.1.1:1","zone":"a","slots":1,"state":"gone"})",
          R"({"service":5,"address":"1.1.1.1:1","zone":"a","slots":1,"state":"ready"})"}) {
        BOOST_TEST_CONTEXT(bad) {
            check_upstream_is_rejected("i-1", bad);
        }
    }
    const auto fields = upstream_fields();
    for (const auto& it : fields) {
        if (it.key() != "born") {
            auto without = fields;
            without.erase(it.key());
            BOOST_TEST_CONTEXT("without " << it.key()) {
                check_upstream_is_rejected("i-1", boost::json::serialize(without));
            }
        }
    }
}

// Guards against a cold instance that is taken for warm, and against a limit that never ends.
BOOST_AUTO_TEST_CASE(upstream_entry_with_a_cold_time_counts_it_from_its_arrival) {
    const common::time_point received{std::chrono::seconds{100}};
    const auto cold_until = [&](const std::string& left) {
        return users_platform::decode_upstream(row("i-1", upstream_text_with("cold_left_ms", left)),
                                               received)
            .cold_until;
    };
    BOOST_TEST(!cold_until("0").has_value());
    BOOST_TEST((cold_until("1500.5") == received + std::chrono::microseconds{1500500}));
    BOOST_TEST((cold_until("1e300") == received + std::chrono::hours{1}));
}

// Guards against an entry whose address made each call to it throw, which ended the gateways again
// and again.
BOOST_AUTO_TEST_CASE(upstream_entry_whose_address_cannot_be_called_is_rejected) {
    for (const auto* value : {R"("")",
                              R"(":8080")",
                              R"("10.0.0.9")",
                              R"("10.0.0.9:")",
                              R"("10.0.0.9:0")",
                              R"("10.0.0.9:65536")",
                              R"("10.0.0.9:99999999999")",
                              R"("10.0.0.9:-1")",
                              R"("10.0.0.9:+1")",
                              R"("10.0.0.9: 1")",
                              R"("10.0.0.9:1 ")",
                              R"("10.0.0.9:1e2")",
                              R"("10.0.0.256:80")",
                              R"("10.0.0:80")",
                              R"("10.0.0.9.9:80")",
                              R"("engine:80")",
                              R"("[::1]:80")",
                              R"("[]:80")",
                              R"("::1")",
                              R"("10.0.0.9\u0000:80")",
                              R"("10.0.0.9\r\n:80")",
                              "7",
                              "null",
                              "[]",
                              "{}",
                              "true"}) {
        BOOST_TEST_CONTEXT(value) {
            check_upstream_is_rejected("i-1", upstream_text_with("address", value));
        }
    }
}

// Guards against an entry whose numbers are out of range: slots were read modulo 2^32, and an
// instance without slots was used.
BOOST_AUTO_TEST_CASE(upstream_entry_with_values_out_of_range_is_rejected) {
    const std::vector<std::pair<const char*, std::vector<const char*>>> odd_values{
        {"service", {R"("")", "7", "null", "[]", R"(["s"])"}},
        {"zone", {"7", "null", "{}"}},
        {"version", {"7", "null"}},
        {"slots",
         {"0", "-1", "1.5", "4294967296", "4294967297", "18446744073709551616", "1e400", "-1e400",
          "1e300", "NaN", "Infinity", R"("64")", "null", "[64]"}},
        {"state", {R"("")", R"("READY")", R"("ready ")", "1", "null", "[]"}},
        {"cold_left_ms", {"-1", "1e400", "NaN", R"("0")", "null", "{}"}},
        {"seq", {"-1", "1.5", "18446744073709551616", "1e400", R"("4")", "null"}},
        {"born",
         {"-1", "1.5", "9223372036854775808", "18446744073709551616", "1e30", "1e400", R"("17")",
          "null", "[]"}}};
    for (const auto& [field, values] : odd_values) {
        for (const auto* value : values) {
            BOOST_TEST_CONTEXT(field << " " << value) {
                check_upstream_is_rejected("i-1", upstream_text_with(field, value));
            }
        }
    }
}

// Guards against an id that no header field can carry, which made the calls to it throw.
BOOST_AUTO_TEST_CASE(upstream_entry_whose_key_is_no_id_is_rejected) {
    for (const auto& key : {std::string{}, std::string{"i\r\nX: y"}, std::string(1, '\0'),
                            std::string{"i 1"}, std::string{"i\xff"}, std::string(70'000, 'i')}) {
        BOOST_TEST_CONTEXT(key.substr(0, 10)) {
            check_upstream_is_rejected(key, upstream_text());
        }
    }
}

// Guards against a reader that exhausts its stack on an entry of another writer.
BOOST_AUTO_TEST_CASE(upstream_entry_that_is_deeply_nested_is_rejected) {
    for (const std::size_t depth : {100, 10'000, 300'000}) {
        for (const auto& [open, close] : {std::pair{"[", "]"}, {R"({"a":)", "}"}}) {
            std::string nested;
            for (std::size_t n = 0; n < depth; ++n) {
                nested += open;
            }
            const auto unclosed = nested;
            nested += "1";
            for (std::size_t n = 0; n < depth; ++n) {
                nested += close;
            }
            BOOST_TEST_CONTEXT(open << " " << depth) {
                check_upstream_is_rejected("i-1", unclosed);
                check_upstream_is_rejected("i-1", nested);
                for (const auto* field : {"address", "slots", "state", "extra"}) {
                    check_upstream_is_rejected("i-1", upstream_text_with(field, nested));
                }
            }
        }
    }
}

// Guards against a decoder that accepts one writer's garbage: whatever is decoded can be called.
BOOST_AUTO_TEST_CASE(upstream_entry_that_is_accepted_names_an_address_that_can_be_called) {
    check_property(20261205, 3000, [&] {
        auto text = upstream_text();
        const auto count = *rc::gen::inRange(1, 4);
        for (int n = 0; n < count; ++n) {
            const auto pos = *rc::gen::inRange<std::size_t>(0, text.size());
            const auto piece = *rc::gen::element<std::string>(
                "", "0", "9", "-", "e9", ":", ".", ",", "\"", "[", "{", "null", "\\u0000", "\xff");
            text.replace(pos, *rc::gen::inRange<std::size_t>(0, 3), piece);
        }
        try {
            const auto read = users_platform::decode_upstream(row("i-1", text));
            boost::system::error_code ec;
            boost::asio::ip::make_address(read.address.host, ec);
            RC_ASSERT(!ec);
            RC_ASSERT(read.address.port != 0);
            RC_ASSERT(read.slots > 0U);
            RC_ASSERT(!read.service.empty());
        } catch (const common::format_error&) {
            RC_SUCCEED("rejected");
        }
    });
}

// Guards against malformed bytes in the store that end the process: a decoder either reads them or
// throws a format error.
BOOST_AUTO_TEST_CASE(decoders_with_corrupted_bytes_read_or_reject_them) {
    const auto survives = [](const auto& decode) {
        try {
            decode();
        } catch (const common::format_error&) {
            return true;
        }
        return true;
    };
    check_property(20261204, 400, [&] {
        auto text = *rc::gen::element(configuration_text(), upstream_text());
        const auto count = *rc::gen::inRange(1, 6);
        for (int n = 0; n < count; ++n) {
            const auto pos = *rc::gen::inRange<std::size_t>(0, text.size());
            text[pos] = *rc::gen::arbitrary<char>();
        }
        RC_ASSERT(survives([&] { users_platform::decode_configuration(row("config", text)); }));
        RC_ASSERT(survives([&] { users_platform::decode_upstream(row("i-1", text)); }));
        RC_ASSERT(survives([&] { users_platform::decode_rows({200, {}, text}); }));
    });
}

// Guards against leaving out a gateway as owner because it runs an earlier release.
BOOST_AUTO_TEST_CASE(gateway_row_without_a_processor_share_counts_as_one_core) {
    const auto read =
        users_platform::decode_gateway({"g", R"({"address":"127.0.0.1:7000","incarnation":7})", 1});
    BOOST_TEST(read.processor_share == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
