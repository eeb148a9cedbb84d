#include "wire/codec.h"

#include <algorithm>
#include <utility>

#include <messages.pb.h>

#include "common/error.h"

namespace jujubemast::wire {

namespace {

namespace pb = generated;

template <typename Enum>
Enum to_enum(std::uint32_t number) {
    if (number >= common::enumerator_count<Enum>()) {
        throw common::format_error{"enum value out of range in a message"};
    }
    return static_cast<Enum>(number);
}

void to_proto(pb::WorkIdentity& out, const protocol::work_identity& in) {
    out.set_request_id(in.request_id);
    out.set_stage(in.stage);
    out.set_attempt(in.attempt);
    out.set_incarnation(in.incarnation);
}

protocol::work_identity from_proto(const pb::WorkIdentity& in) {
    return {in.request_id(), in.stage(), in.attempt(), in.incarnation()};
}

void to_proto(pb::LoadReport& out, const protocol::load_report& in) {
    out.set_queued(in.queued);
    out.set_in_progress(in.in_progress);
    out.set_limit(in.limit);
    for (const auto wait : in.queue_wait_us) {
        out.add_queue_wait_us(wait);
    }
    out.set_completed(in.completed);
    out.set_failed(in.failed);
    for (const auto& it : in.models) {
        out.add_models(it);
    }
}

protocol::load_report from_proto(const pb::LoadReport& in) {
    protocol::load_report out;
    out.queued = in.queued();
    out.in_progress = in.in_progress();
    out.limit = in.limit();
    const auto n = std::min<std::size_t>(out.queue_wait_us.size(),
                                         static_cast<std::size_t>(in.queue_wait_us_size()));
    std::copy_n(in.queue_wait_us().begin(), n, out.queue_wait_us.begin());
    out.completed = in.completed();
    out.failed = in.failed();
    out.models.assign(in.models().begin(), in.models().end());
    return out;
}

void to_proto(pb::Envelope& out, const protocol::ping& in) {
    auto& content = *out.mutable_ping();
    content.set_entry(in.entry);
    content.set_nonce(in.nonce);
    content.set_revision(in.revision);
    content.set_leaving(in.leaving);
}

void to_proto(pb::Envelope& out, const protocol::pong& in) {
    auto& content = *out.mutable_pong();
    content.set_nonce(in.nonce);
    content.set_incarnation(in.incarnation);
    content.set_clock_us(in.clock_us);
    content.set_revision(in.revision);
    content.set_draining(in.draining);
    to_proto(*content.mutable_load(), in.load);
    content.set_connection(in.connection);
}

void to_proto(pb::Envelope& out, const protocol::dispatch& in) {
    auto& content = *out.mutable_dispatch();
    to_proto(*content.mutable_identity(), in.identity);
    content.set_deadline_us(in.deadline_us);
    content.set_revision(in.revision);
    content.set_workspace(in.workspace);
    content.set_priority(static_cast<std::uint32_t>(in.priority));
    content.set_idempotent(in.idempotent);
    content.set_operation(in.operation);
    content.set_model(in.model);
    content.set_body(in.body);
    content.set_resume_offset(in.resume_offset);
    content.set_estimated_cost_us(in.estimated_cost_us);
    content.set_trace_parent(in.trace_parent);
    content.set_reserve_us(in.reserve_us);
    content.set_max_output_tokens(in.max_output_tokens);
}

void to_proto(pb::Envelope& out, const protocol::result_chunk& in) {
    auto& content = *out.mutable_result_chunk();
    to_proto(*content.mutable_identity(), in.identity);
    content.set_sequence(in.sequence);
    content.set_payload(in.payload);
}

void to_proto(pb::Envelope& out, const protocol::result_end& in) {
    auto& content = *out.mutable_result_end();
    to_proto(*content.mutable_identity(), in.identity);
    content.set_chunk_count(in.chunk_count);
    content.set_digest(in.digest);
    content.set_queue_us(in.queue_us);
    content.set_service_us(in.service_us);
    if (in.load) {
        to_proto(*content.mutable_load(), *in.load);
    }
}

void to_proto(pb::Envelope& out, const protocol::refusal& in) {
    auto& content = *out.mutable_refusal();
    to_proto(*content.mutable_identity(), in.identity);
    content.set_reason(static_cast<std::uint32_t>(in.reason));
    content.set_execution(static_cast<std::uint32_t>(in.execution));
    content.set_retry_after_us(in.retry_after_us);
    content.set_detail(in.detail);
}

void to_proto(pb::Envelope& out, const protocol::cancel& in) {
    auto& content = *out.mutable_cancel();
    to_proto(*content.mutable_identity(), in.identity);
    content.set_deadline_us(in.deadline_us);
}

void to_proto(pb::Envelope& out, const protocol::cancelled& in) {
    auto& content = *out.mutable_cancelled();
    to_proto(*content.mutable_identity(), in.identity);
    content.set_execution(static_cast<std::uint32_t>(in.execution));
}

void to_proto(pb::Envelope& out, const protocol::acknowledge& in) {
    to_proto(*out.mutable_acknowledge()->mutable_identity(), in.identity);
}

void to_proto(pb::Envelope& out, const protocol::fetch& in) {
    auto& content = *out.mutable_fetch();
    to_proto(*content.mutable_identity(), in.identity);
    content.set_from_sequence(in.from_sequence);
    content.set_deadline_us(in.deadline_us);
}

void to_proto(pb::Envelope& out, const protocol::configuration_fetch& in) {
    out.mutable_configuration_fetch()->set_revision(in.revision);
}

void to_proto(pb::Envelope& out, const protocol::configuration_state& in) {
    auto& content = *out.mutable_configuration_state();
    content.set_revision(in.revision);
    content.set_digest(in.digest);
    content.set_document(in.document);
}

protocol::pong from_proto(const pb::Pong& in) {
    return {in.nonce(),    in.incarnation(),      in.clock_us(),  in.revision(),
            in.draining(), from_proto(in.load()), in.connection()};
}

protocol::dispatch from_proto(const pb::Dispatch& in) {
    protocol::dispatch out;
    out.identity = from_proto(in.identity());
    out.deadline_us = in.deadline_us();
    out.revision = in.revision();
    out.workspace = in.workspace();
    out.priority = to_enum<common::priority>(in.priority());
    out.idempotent = in.idempotent();
    out.operation = in.operation();
    out.model = in.model();
    out.body = in.body();
    out.resume_offset = in.resume_offset();
    out.estimated_cost_us = in.estimated_cost_us();
    out.trace_parent = in.trace_parent();
    out.reserve_us = in.reserve_us();
    out.max_output_tokens = in.max_output_tokens();
    return out;
}

protocol::result_end from_proto(const pb::ResultEnd& in) {
    protocol::result_end out{from_proto(in.identity()), in.chunk_count(), in.digest(),
                             in.queue_us(), in.service_us()};
    if (in.has_load()) {
        out.load = from_proto(in.load());
    }
    return out;
}

protocol::refusal from_proto(const pb::Refusal& in) {
    return {from_proto(in.identity()), to_enum<protocol::refusal_reason>(in.reason()),
            to_enum<common::execution>(in.execution()), in.retry_after_us(), in.detail()};
}

protocol::message from_proto(const pb::Envelope& in) {
    switch (in.content_case()) {
    case pb::Envelope::kPing:
        return protocol::ping{in.ping().entry(), in.ping().nonce(), in.ping().revision(),
                              in.ping().leaving()};
    case pb::Envelope::kPong:
        return from_proto(in.pong());
    case pb::Envelope::kDispatch:
        return from_proto(in.dispatch());
    case pb::Envelope::kResultChunk:
        return protocol::result_chunk{from_proto(in.result_chunk().identity()),
                                      in.result_chunk().sequence(), in.result_chunk().payload()};
    case pb::Envelope::kResultEnd:
        return from_proto(in.result_end());
    case pb::Envelope::kRefusal:
        return from_proto(in.refusal());
    case pb::Envelope::kCancel:
        return protocol::cancel{from_proto(in.cancel().identity()), in.cancel().deadline_us()};
    case pb::Envelope::kCancelled:
        return protocol::cancelled{from_proto(in.cancelled().identity()),
                                   to_enum<common::execution>(in.cancelled().execution())};
    case pb::Envelope::kAcknowledge:
        return protocol::acknowledge{from_proto(in.acknowledge().identity())};
    case pb::Envelope::kFetch:
        return protocol::fetch{from_proto(in.fetch().identity()), in.fetch().from_sequence(),
                               in.fetch().deadline_us()};
    case pb::Envelope::kConfigurationFetch:
        return protocol::configuration_fetch{in.configuration_fetch().revision()};
    case pb::Envelope::kConfigurationState:
        return protocol::configuration_state{in.configuration_state().revision(),
                                             in.configuration_state().digest(),
                                             in.configuration_state().document()};
    case pb::Envelope::CONTENT_NOT_SET:
        break;
    }
    throw common::format_error{"unknown message type"};
}

} // namespace

std::string encode(const protocol::message& message) {
    pb::Envelope envelope;
    envelope.set_version(protocol_version);
    std::visit([&](const auto& it) { to_proto(envelope, it); }, message);
    return envelope.SerializeAsString();
}

protocol::message decode(std::string_view bytes) {
    pb::Envelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        throw common::format_error{"malformed message"};
    }
    if (envelope.version() < minimum_protocol_version) {
        throw common::format_error{"protocol version " + std::to_string(envelope.version()) +
                                   " is below the minimum"};
    }
    return from_proto(envelope);
}

} // namespace jujubemast::wire
