#include "wire/gateway_codec.h"

#include <boost/test/unit_test.hpp>

#include "common/error.h"

namespace jujubemast::tests {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct gateway_codec_fixture {
    // Clocks of two gateways with unrelated origins.
    common::time_point sender_now{seconds{5}};
    common::time_point receiver_now{seconds{90'000}};

    wire::gateway_message round_trip(const wire::gateway_content& content) const {
        return wire::decode_gateway_message(wire::encode({"g1", 7, content}, sender_now),
                                            receiver_now);
    }
};

BOOST_FIXTURE_TEST_SUITE(gateway_codec_test, gateway_codec_fixture)

// Guards against deadlines that are interpreted on the clock of another process.
BOOST_AUTO_TEST_CASE(order_when_decoded_on_another_clock_keeps_its_remaining_times) {
    gateway::piece_order order;
    order.key = {"", 42};
    order.attempt_id = "a1";
    order.service = "s";
    order.count = 3;
    order.inputs = {"h1", "h2"};
    order.target_time = sender_now + milliseconds{700};
    order.deadline = sender_now + seconds{4};
    const auto message = round_trip(order);
    BOOST_TEST(message.incarnation == 7U);
    const auto& read = std::get<gateway::piece_order>(message.content);
    BOOST_TEST(read.key.origin == "g1");
    BOOST_TEST(read.key.number == 42U);
    BOOST_TEST(read.inputs == order.inputs, boost::test_tools::per_element());
    BOOST_TEST((read.target_time == receiver_now + milliseconds{700}));
    BOOST_TEST((read.deadline == receiver_now + seconds{4}));
}

// Guards against pieces that are made in other regions because the owner does not learn of the
// list.
BOOST_AUTO_TEST_CASE(order_when_decoded_keeps_its_allowed_regions) {
    gateway::piece_order order;
    const auto decoded = [&] { return std::get<gateway::piece_order>(round_trip(order).content); };
    BOOST_TEST(!decoded().regions.is_restricted());
    for (const auto& names : {std::set<std::string>{}, std::set<std::string>{"r1", "r2"}}) {
        order.regions = gateway::allowed_regions{names};
        BOOST_TEST((decoded().regions == order.regions));
    }
}

// Guards against ages that are interpreted on the clock of another process.
BOOST_AUTO_TEST_CASE(crash_evidence_when_decoded_on_another_clock_keeps_its_ages) {
    const gateway::incarnation instance{"i1", 1'700'000'000'123, "10.0.0.1:80"};
    gateway::crash_evidence evidence;
    evidence.crashes.push_back({instance, {1, ~0ULL}, sender_now - milliseconds{700}});
    evidence.sound.push_back({2, sender_now - milliseconds{30}});
    evidence.alive.push_back({instance, sender_now - milliseconds{40}});
    evidence.trials.push_back({3, sender_now});
    evidence.quarantines.push_back({4, 2, sender_now + seconds{20}, sender_now - milliseconds{50}});
    const auto message = round_trip(evidence);
    const auto& read = std::get<gateway::crash_evidence>(message.content);
    const auto shift = receiver_now - sender_now;
    for (auto& it : evidence.crashes) {
        it.at += shift;
    }
    evidence.sound[0].began += shift;
    evidence.alive[0].sent += shift;
    evidence.trials[0].at += shift;
    evidence.quarantines[0].trial_due += shift;
    evidence.quarantines[0].last_crash += shift;
    BOOST_TEST((read.crashes == evidence.crashes));
    BOOST_TEST((read.sound == evidence.sound));
    BOOST_TEST((read.alive == evidence.alive));
    BOOST_TEST((read.trials == evidence.trials));
    BOOST_TEST((read.quarantines == evidence.quarantines));
}

// Guards against a report that occupies the receiver for long.
BOOST_AUTO_TEST_CASE(crash_report_when_it_has_too_many_parts_is_cut) {
    const std::vector<gateway::prompt_part_id> parts(13'000, 5);
    gateway::crash_evidence evidence;
    evidence.crashes.push_back({{"i1", 1, "a:1"}, parts, sender_now});
    const auto message = round_trip(evidence);
    const auto& read = std::get<gateway::crash_evidence>(message.content);
    BOOST_REQUIRE(read.crashes.size() == 1U);
    BOOST_TEST(read.crashes[0].parts.size() == gateway::max_report_parts);
}

BOOST_AUTO_TEST_CASE(outcome_when_decoded_keeps_status_and_handles) {
    gateway::order_finished finished{{"g2", 9}, {gateway::order_status::made, {"h"}, seconds{1}}};
    const auto message = round_trip(finished);
    const auto& read = std::get<gateway::order_finished>(message.content);
    BOOST_TEST(read.key.number == 9U);
    BOOST_TEST((read.outcome.status == gateway::order_status::made));
    BOOST_TEST(read.outcome.handles.front() == "h");
    BOOST_TEST((read.outcome.retry_after == seconds{1}));
}

BOOST_AUTO_TEST_CASE(backlogs_when_decoded_keep_pieces_by_priority) {
    gateway::backlog_report report{{{"s", {{0, 1, 4}, {2, 5, 9, 2.5}}, 5, 3, 0.75}}};
    const auto message = round_trip(report);
    const auto& read = std::get<gateway::backlog_report>(message.content);
    BOOST_REQUIRE(read.services.size() == 1U);
    BOOST_TEST((read.services[0].waiting == report.services[0].waiting));
    BOOST_TEST(read.services[0].instances == 5U);
    BOOST_TEST(read.services[0].busy == 3U);
    BOOST_TEST(read.services[0].goodput == 0.75);
}

BOOST_AUTO_TEST_CASE(leaving_instance_when_decoded_keeps_its_incarnation) {
    const gateway::incarnation instance{"i", 1700000000123, "10.0.0.1:80"};
    const auto message = round_trip(gateway::instance_leaving{instance});
    BOOST_TEST((std::get<gateway::instance_leaving>(message.content).instance == instance));
}

// Guards against gateways that pass no changes on, because they do not know the receiver's clock.
BOOST_AUTO_TEST_CASE(ping_when_decoded_keeps_the_time_of_its_sender) {
    const common::time_point sent{seconds{77}};
    const auto message = round_trip(wire::gateway_ping{true, false, sent});
    const auto& read = std::get<wire::gateway_ping>(message.content);
    BOOST_TEST(read.hears_receiver);
    BOOST_TEST(!read.leaving);
    BOOST_REQUIRE(read.sent);
    BOOST_TEST((*read.sent == sent));
    BOOST_TEST(!std::get<wire::gateway_ping>(round_trip(wire::gateway_ping{}).content).sent);
}

BOOST_AUTO_TEST_CASE(table_changes_when_decoded_keep_rows_deletions_and_times) {
    gateway::table_relay relay;
    relay.changes = {gateway::store_table::upstreams,
                     {3, 7},
                     {3, 9},
                     0xfedcba9876543210U,
                     {{"a", "value", 8}, {"b", std::nullopt, 9}, {"c", "", 9}}};
    relay.confirmed = common::time_point{seconds{5}};
    const auto message = round_trip(relay);
    const auto& read = std::get<gateway::table_relay>(message.content);
    BOOST_TEST((read.changes.table == gateway::store_table::upstreams));
    BOOST_TEST((read.changes.since == gateway::store_position{3, 7}));
    BOOST_TEST((read.changes.until == gateway::store_position{3, 9}));
    BOOST_TEST(read.changes.digest == 0xfedcba9876543210U);
    BOOST_REQUIRE(read.changes.rows.size() == 3U);
    BOOST_TEST(*read.changes.rows[0].value == "value");
    BOOST_TEST(!read.changes.rows[1].value);
    BOOST_TEST(read.changes.rows[2].value->empty());
    BOOST_TEST((read.confirmed == relay.confirmed));
}

BOOST_AUTO_TEST_CASE(drains_when_decoded_keep_their_versions) {
    const gateway::domain_drains drains{{{"z1", {3, 1ULL << 40U}, true}, {"z2", {2, 7}, false}}};
    const auto message = round_trip(drains);
    BOOST_TEST((std::get<gateway::domain_drains>(message.content).drains == drains.drains));
}

BOOST_AUTO_TEST_CASE(acknowledgement_when_decoded_names_the_sender_as_origin) {
    const auto message = round_trip(gateway::outcome_acknowledged{{"", 9}});
    const auto& read = std::get<gateway::outcome_acknowledged>(message.content);
    BOOST_TEST(read.key.origin == "g1");
    BOOST_TEST(read.key.number == 9U);
}

BOOST_AUTO_TEST_CASE(question_for_a_reading_when_decoded_names_the_sender_as_origin) {
    const auto message = round_trip(gateway::reading_request{"", ~0ULL, "e1", milliseconds{212}});
    const auto& read = std::get<gateway::reading_request>(message.content);
    BOOST_TEST(read.origin == "g1");
    BOOST_TEST(read.number == ~0ULL);
    BOOST_TEST(read.engine == "e1");
    BOOST_TEST((read.reading == milliseconds{212}));
    for (const bool granted : {true, false}) {
        const auto response =
            round_trip(gateway::reading_response{"g2", 8, granted, milliseconds{31}});
        const auto& decoded = std::get<gateway::reading_response>(response.content);
        BOOST_TEST(decoded.number == 8U);
        BOOST_TEST(decoded.granted == granted);
        BOOST_TEST((decoded.free_in == milliseconds{31}));
    }
}

// Guards against an end that the owner cannot match with its grant.
BOOST_AUTO_TEST_CASE(end_of_a_reading_when_decoded_names_the_sender_as_origin) {
    const auto message = round_trip(gateway::reading_ended{"", ~0ULL, "e1"});
    const auto& read = std::get<gateway::reading_ended>(message.content);
    BOOST_TEST(read.origin == "g1");
    BOOST_TEST(read.number == ~0ULL);
    BOOST_TEST(read.engine == "e1");
}

BOOST_AUTO_TEST_CASE(gateway_message_when_bytes_are_malformed_throws_format_error) {
    BOOST_CHECK_THROW(wire::decode_gateway_message("\xff\xff\xff", receiver_now),
                      common::format_error);
    BOOST_CHECK_THROW(wire::decode_gateway_message("", receiver_now), common::format_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
