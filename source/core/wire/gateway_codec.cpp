#include "wire/gateway_codec.h"

#include <algorithm>
#include <chrono>
#include <set>

#include <gateway_messages.pb.h>

#include "common/error.h"
#include "wire/crash_evidence_codec.h"

namespace jujubemast::wire {

namespace {

namespace pb = gateway_pb;

std::int64_t microseconds(common::duration value) {
    return std::chrono::duration_cast<std::chrono::microseconds>(value).count();
}

void to_proto(pb::gateway_envelope& to, const gateway_ping& from, common::time_point /*now*/) {
    to.mutable_ping()->set_hears_receiver(from.hears_receiver);
    to.mutable_ping()->set_leaving(from.leaving);
    if (from.sent) {
        to.mutable_ping()->set_sent_us(common::to_microseconds(*from.sent));
    }
}

gateway_ping ping_from_proto(const pb::gateway_ping& from) {
    gateway_ping result{from.hears_receiver(), from.leaving(), std::nullopt};
    if (from.sent_us() != 0) {
        result.sent = common::from_microseconds(from.sent_us());
    }
    return result;
}

void to_proto(pb::gateway_envelope& to, const gateway::piece_order& from, common::time_point now) {
    auto& order = *to.mutable_order();
    order.set_number(from.key.number);
    order.set_attempt_id(from.attempt_id);
    order.set_service(from.service);
    order.set_stage(from.stage);
    order.set_count(from.count);
    order.set_input_key(from.input_key);
    for (const auto& it : from.inputs) {
        order.add_inputs(it);
    }
    order.set_priority(from.priority);
    order.set_result_bytes(from.result_bytes);
    order.set_preferred_domain(from.preferred_domain);
    order.set_inputs_to_release(from.inputs_to_release);
    if (from.regions.is_restricted()) {
        auto& regions = *order.mutable_allowed_regions();
        for (const auto& it : from.regions.names()) {
            regions.add_names(it);
        }
    }
    order.set_target_us(microseconds(from.target_time - now));
    order.set_latest_us(microseconds(from.deadline - now));
}

void to_proto(pb::gateway_envelope& to, const gateway::cancel_order& from,
              common::time_point /*now*/) {
    to.mutable_withdraw()->set_number(from.key.number);
    to.mutable_withdraw()->set_service(from.service);
}

void to_proto(pb::gateway_envelope& to, const gateway::release_results& from,
              common::time_point /*now*/) {
    to.mutable_release()->set_service(from.service);
    for (const auto& it : from.handles) {
        to.mutable_release()->add_handles(it);
    }
}

void to_proto(pb::gateway_envelope& to, const gateway::order_finished& from,
              common::time_point /*now*/) {
    auto& outcome = *to.mutable_outcome();
    outcome.set_number(from.key.number);
    outcome.set_status(std::string{common::to_name(from.outcome.status)});
    outcome.set_retry_after_us(microseconds(from.outcome.retry_after));
    for (const auto& it : from.outcome.handles) {
        outcome.add_handles(it);
    }
}

void to_proto(pb::gateway_envelope& to, const gateway::outcome_acknowledged& from,
              common::time_point /*now*/) {
    to.mutable_acknowledgement()->set_number(from.key.number);
}

void to_proto(pb::gateway_envelope& to, const gateway::instance_leaving& from,
              common::time_point /*now*/) {
    auto& instance = *to.mutable_leaving_instance();
    instance.set_id(from.instance.id);
    instance.set_started_ms(from.instance.started_ms);
    instance.set_address(from.instance.address);
}

void to_proto(pb::gateway_envelope& to, const gateway::backlog_report& from,
              common::time_point /*now*/) {
    for (const auto& it : from.services) {
        auto& service = *to.mutable_backlog()->add_services();
        service.set_name(it.service);
        service.set_instances(static_cast<std::uint32_t>(it.instances));
        service.set_busy(static_cast<std::uint32_t>(it.busy));
        service.set_goodput(it.goodput);
        for (const auto& pieces : it.waiting) {
            auto& waiting = *service.add_waiting();
            waiting.set_priority(pieces.priority);
            waiting.set_pieces(static_cast<std::uint32_t>(pieces.pieces));
            waiting.set_slack_range(static_cast<std::uint32_t>(pieces.range));
            waiting.set_ordered_per_s(static_cast<float>(pieces.ordered_per_s));
        }
    }
}

void to_proto(pb::gateway_envelope& to, const gateway::table_relay& from,
              common::time_point /*now*/) {
    auto& changes = *to.mutable_table_changes();
    changes.set_table(std::string{common::to_name(from.changes.table)});
    changes.set_since(from.changes.since.version);
    changes.set_version(from.changes.until.version);
    changes.set_era(from.changes.until.era);
    changes.set_digest(from.changes.digest);
    changes.set_confirmed_us(common::to_microseconds(from.confirmed));
    for (const auto& it : from.changes.rows) {
        auto& row = *changes.add_rows();
        row.set_key(it.key);
        row.set_version(it.version);
        if (it.value) {
            row.set_value(*it.value);
        }
    }
}

void to_proto(pb::gateway_envelope& to, const gateway::crash_evidence& from,
              common::time_point now) {
    wire::to_proto(*to.mutable_crash_evidence(), from, now);
}

void to_proto(pb::gateway_envelope& to, const gateway::reading_request& from,
              common::time_point /*now*/) {
    auto& request = *to.mutable_reading_request();
    request.set_number(from.number);
    request.set_engine(from.engine);
    request.set_reading_us(microseconds(from.reading));
}

void to_proto(pb::gateway_envelope& to, const gateway::reading_response& from,
              common::time_point /*now*/) {
    to.mutable_reading_response()->set_number(from.number);
    to.mutable_reading_response()->set_granted(from.granted);
    to.mutable_reading_response()->set_free_in_us(microseconds(from.free_in));
}

void to_proto(pb::gateway_envelope& to, const gateway::reading_ended& from,
              common::time_point /*now*/) {
    to.mutable_reading_ended()->set_number(from.number);
    to.mutable_reading_ended()->set_engine(from.engine);
}

void to_proto(pb::gateway_envelope& to, const gateway::domain_drains& from,
              common::time_point /*now*/) {
    auto& drains = *to.mutable_domain_drains();
    for (const auto& it : from.drains) {
        auto& drain = *drains.add_drains();
        drain.set_domain(it.domain);
        drain.set_version(it.position.version);
        drain.set_era(it.position.era);
        drain.set_in_force(it.in_force);
    }
}

gateway::domain_drains drains_from_proto(const pb::gateway_domain_drains& from) {
    gateway::domain_drains result;
    for (const auto& it : from.drains()) {
        result.drains.push_back({it.domain(), {it.era(), it.version()}, it.in_force()});
    }
    return result;
}

gateway::table_relay relay_from_proto(const pb::gateway_table_changes& from) {
    const auto table = common::from_name<gateway::store_table>(from.table());
    if (!table) {
        throw common::format_error{"unknown table: " + from.table()};
    }
    gateway::table_relay result;
    result.changes = {
        *table, {from.era(), from.since()}, {from.era(), from.version()}, from.digest(), {}};
    result.confirmed = common::from_microseconds(from.confirmed_us());
    for (const auto& it : from.rows()) {
        gateway::store_row row{it.key(), std::nullopt, it.version()};
        if (it.has_value()) {
            row.value = it.value();
        }
        result.changes.rows.push_back(std::move(row));
    }
    return result;
}

gateway::backlog_report backlogs_from_proto(const pb::gateway_envelope& from) {
    gateway::backlog_report result;
    for (const auto& it : from.backlog().services()) {
        gateway::service_backlog service;
        service.service = it.name();
        service.instances = it.instances();
        service.busy = it.busy();
        // Gateways of earlier releases do not report it.
        service.goodput = it.has_goodput() ? it.goodput() : 1;
        for (const auto& waiting : it.waiting()) {
            // Without a range, as earlier releases send them, the pieces count as the next ones.
            const std::size_t range = waiting.has_slack_range() ? waiting.slack_range() : 1;
            service.waiting.push_back({waiting.priority(),
                                       std::min(range, gateway::slack_bounds.size()),
                                       waiting.pieces(), waiting.ordered_per_s()});
        }
        result.services.push_back(std::move(service));
    }
    return result;
}

gateway::piece_order order_from_proto(const pb::gateway_envelope& from, common::time_point now) {
    const auto& order = from.order();
    gateway::piece_order result;
    result.key = {from.sender(), order.number()};
    result.attempt_id = order.attempt_id();
    result.service = order.service();
    result.stage = order.stage();
    result.count = order.count();
    result.input_key = order.input_key();
    result.inputs = {order.inputs().begin(), order.inputs().end()};
    result.priority = order.priority();
    result.result_bytes = order.result_bytes();
    result.preferred_domain = order.preferred_domain();
    result.inputs_to_release = order.inputs_to_release();
    if (order.has_allowed_regions()) {
        const auto& names = order.allowed_regions().names();
        result.regions =
            gateway::allowed_regions{std::set<std::string>{names.begin(), names.end()}};
    }
    result.target_time = now + std::chrono::microseconds{order.target_us()};
    result.deadline = now + std::chrono::microseconds{order.latest_us()};
    return result;
}

gateway::order_finished outcome_from_proto(const pb::gateway_envelope& from) {
    const auto& outcome = from.outcome();
    const auto status = common::from_name<gateway::order_status>(outcome.status());
    if (!status) {
        throw common::format_error{"unknown order status: " + outcome.status()};
    }
    return {{"", outcome.number()},
            {*status,
             {outcome.handles().begin(), outcome.handles().end()},
             std::chrono::microseconds{outcome.retry_after_us()}}};
}

} // namespace

std::string encode(const gateway_message& message, common::time_point now) {
    pb::gateway_envelope envelope;
    envelope.set_sender(message.sender);
    envelope.set_incarnation(message.incarnation);
    std::visit([&](const auto& it) { to_proto(envelope, it, now); }, message.content);
    return envelope.SerializeAsString();
}

gateway_message decode_gateway_message(std::string_view bytes, common::time_point now) {
    pb::gateway_envelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        throw common::format_error{"malformed gateway message"};
    }
    gateway_message result{envelope.sender(), envelope.incarnation(), {}};
    switch (envelope.content_case()) {
    case pb::gateway_envelope::kPing:
        result.content = ping_from_proto(envelope.ping());
        return result;
    case pb::gateway_envelope::kTableChanges:
        result.content = relay_from_proto(envelope.table_changes());
        return result;
    case pb::gateway_envelope::kCrashEvidence:
        result.content = evidence_from_proto(envelope.crash_evidence(), now);
        return result;
    case pb::gateway_envelope::kDomainDrains:
        result.content = drains_from_proto(envelope.domain_drains());
        return result;
    case pb::gateway_envelope::kOrder:
        result.content = order_from_proto(envelope, now);
        return result;
    case pb::gateway_envelope::kWithdraw:
        result.content = gateway::cancel_order{envelope.withdraw().service(),
                                               {envelope.sender(), envelope.withdraw().number()}};
        return result;
    case pb::gateway_envelope::kRelease:
        result.content = gateway::release_results{
            envelope.release().service(),
            {envelope.release().handles().begin(), envelope.release().handles().end()}};
        return result;
    case pb::gateway_envelope::kOutcome:
        result.content = outcome_from_proto(envelope);
        return result;
    case pb::gateway_envelope::kBacklog:
        result.content = backlogs_from_proto(envelope);
        return result;
    case pb::gateway_envelope::kAcknowledgement:
        result.content =
            gateway::outcome_acknowledged{{envelope.sender(), envelope.acknowledgement().number()}};
        return result;
    case pb::gateway_envelope::kLeavingInstance: {
        const auto& instance = envelope.leaving_instance();
        result.content =
            gateway::instance_leaving{{instance.id(), instance.started_ms(), instance.address()}};
        return result;
    }
    case pb::gateway_envelope::kReadingRequest: {
        const auto& request = envelope.reading_request();
        result.content =
            gateway::reading_request{envelope.sender(), request.number(), request.engine(),
                                     std::chrono::microseconds{request.reading_us()}};
        return result;
    }
    case pb::gateway_envelope::kReadingResponse:
        result.content = gateway::reading_response{
            "", envelope.reading_response().number(), envelope.reading_response().granted(),
            std::chrono::microseconds{envelope.reading_response().free_in_us()}};
        return result;
    case pb::gateway_envelope::kReadingEnded:
        result.content =
            gateway::reading_ended{envelope.sender(), envelope.reading_ended().number(),
                                   envelope.reading_ended().engine()};
        return result;
    case pb::gateway_envelope::CONTENT_NOT_SET:
        break;
    }
    throw common::format_error{"gateway message without content"};
}

} // namespace jujubemast::wire
