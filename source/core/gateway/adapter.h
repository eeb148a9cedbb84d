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
#include "gateway/stream_record.h"
#include "gateway/upstream_list.h"
#include "http/message.h"

namespace jujubemast::gateway {

/// A row of the platform's store. A deleted row has no value.
struct store_row {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t version = 0;
};

/// One page of a table, or the changes of a table since a version.
struct store_rows {
    std::vector<store_row> rows;
    bool has_more = false;
    /// The newest version of the store. The next watch continues after it.
    std::uint64_t version = 0;
    /// The store's clock in ms, if the response names it.
    std::optional<std::int64_t> now_ms;
};

/// The result of a call to the store.
enum class store_outcome {
    done,
    history_lost,
    conflict,
    /// The store refuses the call because of the number of calls.
    throttled,
    unavailable,
    malformed
};

struct store_response {
    store_outcome outcome = store_outcome::unavailable;
    store_rows content;
    std::string detail;
    /// Grows each time the store is restored from an older copy. A response that does not name it
    /// belongs to the latest era that is known.
    std::optional<std::uint64_t> era;
};

/// Store tables that the gateway reads.
enum class store_table { configuration, upstreams, gateways };

/// The registration of a gateway in the store.
struct gateway_record {
    std::string name;
    /// Address on which the gateway listens for other gateways, as IP:PORT.
    std::string address;
    std::uint64_t incarnation = 0;
    /// Processor time of the gateway's instance, in cores.
    double processor_share = 1;
    std::string failure_domain;

    friend bool operator==(const gateway_record&, const gateway_record&) = default;
};

/// A row that drains a failure domain.
struct drain_row {
    std::string domain;
    /// Why the content of the row is malformed. Empty if it is not.
    std::string fault;
};

/// Converts between the gateway's types and the message formats of one platform. The hooks only
/// encode and decode and make no decisions. Decoders throw `common::format_error` for malformed
/// input.
struct adapter {
    std::function<caller_request(http::request message)> decode_request;
    std::function<http::request(const caller_request& request, const forward_options& options)>
        encode_forward;
    std::function<response_head(unsigned status, const http::headers& fields)> decode_response_head;
    /// Returns the header fields of an upstream's response that are passed on to the caller.
    std::function<http::headers(const http::headers& fields)> response_fields;
    /// Makes a response of the gateway itself. `retry_after` is the delay after which the caller
    /// may retry.
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
    /// Returns the start time that an instance's report names, as `upstream_instance::started_ms`.
    /// Returns nothing if it names none. May be empty.
    std::function<std::optional<std::int64_t>(const std::string& body)> decode_reported_start;

    std::function<http::request(store_table table, const std::string& from)> encode_read;
    std::function<http::request(store_table table, std::uint64_t after, common::duration wait)>
        encode_watch;
    std::function<store_response(const http::response& response)> decode_rows;
    /// Returns the era that a response of the store names. May be empty.
    std::function<std::optional<std::uint64_t>(const http::response& response)> decode_store_era;
    std::function<http::request(const gateway_record& self)> encode_register;
    std::function<http::request(const std::string& name)> encode_unregister;

    /// Reads the row that lists the software versions of a service.
    std::function<http::request(const std::string& service)> encode_versions_read;
    /// Writes that row if it still has the version `expected`; 0 means that it must not exist.
    std::function<http::request(const std::string& service, const listed_versions& listed,
                                std::uint64_t expected)>
        encode_versions_write;
    /// Returns nothing for the row of another service. Throws for a malformed one.
    std::function<std::optional<listed_versions>(const std::string& service, const store_row& row)>
        decode_versions;
    /// Reads the row of a stream.
    std::function<http::request(const stream_id& stream)> encode_stream_read;
    /// Returns nothing for the row of another stream. Throws for a malformed one.
    std::function<std::optional<stream_record>(const stream_id& stream, const store_row& row)>
        decode_stream;
    /// Writes and removes rows of streams. All must be in one partition.
    std::function<http::request(const std::vector<stream_record>& added,
                                const std::vector<stream_id>& removed)>
        encode_stream_write;

    /// Returns nothing for rows that do not hold the configuration.
    std::function<std::optional<configuration>(const store_row& row)> decode_configuration;
    /// Decodes a row of the configuration table that drains a failure domain, or did so before it
    /// was deleted. Returns nothing for other rows. Does not throw.
    std::function<std::optional<drain_row>(const store_row& row)> decode_drain;
    /// Counts times that the row gives as remaining from `received`.
    std::function<upstream_instance(const store_row& row, common::time_point received)>
        decode_upstream;
    std::function<gateway_record(const store_row& row)> decode_gateway;
};

} // namespace jujubemast::gateway

namespace jujubemast::common {

template <>
struct enum_names<gateway::store_outcome> {
    static constexpr std::array<std::string_view, 6> table{
        "done", "history_lost", "conflict", "throttled", "unavailable", "malformed"};
};

template <>
struct enum_names<gateway::store_table> {
    static constexpr std::array<std::string_view, 3> table{"configuration", "upstreams",
                                                           "gateways"};
};

} // namespace jujubemast::common
