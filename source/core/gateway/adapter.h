#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.h"
#include "gateway/caller_request.h"
#include "gateway/configuration.h"
#include "gateway/upstream_list.h"
#include "http/message.h"

namespace jujubemast::gateway {

/// A row of the platform's store. A removed row has no value.
struct store_row {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t version = 0;
};

/// A page of rows, or the changes since a version.
struct store_rows {
    std::vector<store_row> rows;
    bool has_more = false;
    /// The newest version of the store; the next watch goes on after it.
    std::uint64_t version = 0;
};

/// How a call to the store ended.
enum class store_outcome { done, history_lost, conflict, unavailable, malformed };

struct store_response {
    store_outcome outcome = store_outcome::unavailable;
    store_rows content;
    std::string detail;
};

/// The tables that the gateway reads.
enum class store_table { configuration, upstreams, gateways };

/// Another gateway, as it registered itself.
struct gateway_record {
    std::string name;
    /// Address of its socket for other gateways, as IP:PORT.
    std::string address;
    std::uint64_t incarnation = 0;
    /// Processor time that its instance has, in cores.
    double processor_share = 1;

    friend bool operator==(const gateway_record&, const gateway_record&) = default;
};

/// Translates between the gateway's types and the formats of one platform. The hooks decide
/// nothing. Decoders throw `common::format_error` for what they cannot read.
struct adapter {
    std::function<caller_request(http::request message)> decode_request;
    std::function<http::request(const caller_request& request, const forward_options& options)>
        encode_forward;
    std::function<response_head(unsigned status, const http::headers& fields)> decode_response_head;
    /// Header fields of an upstream's answer that the caller gets.
    std::function<http::headers(const http::headers& fields)> response_fields;
    /// An answer of the gateway's own; `retry_after` says when to come back.
    std::function<http::response(unsigned status, const std::string& reason,
                                 std::optional<common::duration> retry_after)>
        make_refusal;

    std::function<http::request(const std::string& upstream_id,
                                const std::vector<piece_item>& pieces)>
        encode_piece_call;
    std::function<std::vector<piece_result>(const std::string& body)> decode_piece_response;
    std::function<http::request(const std::string& upstream_id,
                                const std::vector<std::string>& handles)>
        encode_release;
    std::function<http::request(const std::string& upstream_id)> encode_report_query;
    std::function<instance_report(const std::string& body)> decode_instance_report;

    std::function<http::request(store_table table, const std::string& from)> encode_read;
    std::function<http::request(store_table table, std::uint64_t after, common::duration wait)>
        encode_watch;
    std::function<store_response(const http::response& response)> decode_rows;
    std::function<http::request(const gateway_record& self)> encode_register;
    std::function<http::request(const std::string& name)> encode_unregister;

    /// Returns nothing for rows that are not the configuration.
    std::function<std::optional<configuration>(const store_row& row)> decode_configuration;
    std::function<upstream_instance(const store_row& row)> decode_upstream;
    std::function<gateway_record(const store_row& row)> decode_gateway;
};

} // namespace jujubemast::gateway

namespace jujubemast::common {

template <>
struct enum_names<gateway::store_outcome> {
    static constexpr std::array<std::string_view, 5> table{"done", "history_lost", "conflict",
                                                           "unavailable", "malformed"};
};

template <>
struct enum_names<gateway::store_table> {
    static constexpr std::array<std::string_view, 3> table{"configuration", "upstreams",
                                                           "gateways"};
};

} // namespace jujubemast::common
