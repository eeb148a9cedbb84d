#include "entry/entry_settings.h"

#include <sstream>

#include "policy/routing.h"

namespace jujubemast::entry {

using settings::check_address;
using settings::check_positive;
using settings::check_positive_duration;
using std::chrono::milliseconds;

std::vector<std::string> split_addresses(const std::string& list) {
    std::vector<std::string> addresses;
    std::istringstream input{list};
    for (std::string it; std::getline(input, it, ',');) {
        addresses.push_back(it);
    }
    return addresses;
}

namespace {

std::string check_addresses(const std::string& value) {
    for (const auto& it : split_addresses(value)) {
        if (auto complaint = check_address(it); !complaint.empty()) {
            return complaint;
        }
    }
    return {};
}

std::string check_routing_policy(const std::string& value) {
    return common::from_name<policy::routing_policy>(value)
               ? ""
               : "must be round_robin, two_choices or load_aware";
}

} // namespace

const settings::setting<std::string> entry_settings::name{
    "instance", "name", "", "name of this instance, unique in the deployment", true};
const settings::setting<std::string> entry_settings::failure_domain{
    "instance", "failure_domain", "", "failure domain of this instance", true};
const settings::setting<std::string> entry_settings::log_level{"log", "level", "info",
                                                               "debug, info, warn or error"};
const settings::setting<std::string> entry_settings::api_listen{
    "api", "listen", "127.0.0.1:8080", "address for callers", false, check_address};
const settings::setting<milliseconds> entry_settings::api_stop_grace{
    "api", "stop_grace_ms", milliseconds{0},
    "time between the loss of readiness and the end of listening, in ms"};
const settings::setting<std::int64_t> entry_settings::api_max_body_bytes{
    "api", "max_body_bytes", std::int64_t{1024} * 1024, "largest request body in bytes",
    false, check_positive};
const settings::setting<std::int64_t> entry_settings::api_max_connections{
    "api", "max_connections", 4096, "callers connected at the same time", false, check_positive};
const settings::setting<milliseconds> entry_settings::api_read_timeout{
    "api",
    "read_timeout_ms",
    milliseconds{10000},
    "longest time for a request to arrive, in ms",
    false,
    check_positive_duration};
const settings::setting<milliseconds> entry_settings::api_write_timeout{
    "api",
    "write_timeout_ms",
    milliseconds{10000},
    "longest time for a piece of an answer to leave, in ms",
    false,
    check_positive_duration};
const settings::setting<milliseconds> entry_settings::api_idle_timeout{
    "api",
    "idle_timeout_ms",
    milliseconds{60000},
    "longest time between two requests of a connection, in ms",
    false,
    check_positive_duration};
const settings::setting<std::string> entry_settings::admin_listen{
    "admin", "listen", "127.0.0.1:0", "address for health, dump and metrics", false, check_address};
const settings::setting<std::string> entry_settings::platform_address{
    "platform", "address", "", "address of the platform's service", true, check_address};
const settings::setting<milliseconds> entry_settings::platform_poll_interval{
    "platform",
    "poll_interval_ms",
    milliseconds{500},
    "average time between two reads of the head row, in ms",
    false,
    check_positive_duration};
const settings::setting<milliseconds> entry_settings::membership_poll_interval{
    "membership",
    "poll_interval_ms",
    milliseconds{1000},
    "time between two reads of the membership list, in ms",
    false,
    check_positive_duration};
const settings::setting<std::string> entry_settings::membership_static{
    "membership",
    "static",
    "",
    "sidecars to learn the configuration from before the first list, as IP:PORT with commas",
    false,
    check_addresses};
const settings::setting<milliseconds> entry_settings::link_ping_interval{
    "links",
    "ping_interval_ms",
    milliseconds{250},
    "time between two heartbeats while work is in progress and nothing arrives, in ms",
    false,
    check_positive_duration};
const settings::setting<milliseconds> entry_settings::link_idle_interval{
    "links",
    "idle_interval_ms",
    milliseconds{1000},
    "longest time between two heartbeats, also on a link without work, in ms",
    false,
    check_positive_duration};
const settings::setting<milliseconds> entry_settings::link_silence_limit{
    "links",
    "silence_limit_ms",
    milliseconds{1000},
    "a link that leaves a heartbeat unanswered for this time is replaced, in ms",
    false,
    check_positive_duration};
const settings::setting<std::int64_t> entry_settings::link_subset_size{
    "links", "subset_size", 24, "upstreams of one pool that this instance keeps links to",
    false,   check_positive};
const settings::setting<std::string> entry_settings::routing_policy{
    "routing",           "policy", "load_aware", "round_robin, two_choices or load_aware", false,
    check_routing_policy};
const settings::setting<bool> entry_settings::retry_budget{
    "retry", "budget", true, "bound extra attempts to 10% of the first ones, with backoff"};
const settings::setting<bool> entry_settings::hedge_enabled{
    "hedge", "enabled", true, "send a second attempt of an idempotent stage that is slow"};
const settings::setting<std::int64_t> entry_settings::retry_max_attempts{
    "retry", "max_attempts", 3, "attempts for one stage of a request", false, check_positive};
const settings::setting<std::int64_t> entry_settings::requests_max_in_progress{
    "requests", "max_in_progress", 3072, "further requests are refused as overloaded",
    false,      check_positive};
const settings::setting<milliseconds> entry_settings::claims_wait{
    "claims",
    "wait_ms",
    milliseconds{300},
    "longest wait of a caller for the store, for its claim and for its outcome, in ms",
    false,
    check_positive_duration};
const settings::setting<milliseconds> entry_settings::claims_flush_delay{
    "claims",        "flush_delay_ms",
    milliseconds{3}, "time in which claims share a transaction, in ms",
    false,           check_positive_duration};
const settings::setting<std::int64_t> entry_settings::claims_max_group{
    "claims", "max_group", 64, "claims and outcomes in one transaction", false, check_positive};
const settings::setting<std::int64_t> entry_settings::claims_max_outcome_bytes{
    "claims",
    "max_outcome_bytes",
    std::int64_t{64} * 1024,
    "larger answers are not stored with their claim",
    false,
    check_positive};

const settings::table entry_settings::table{
    &name,
    &failure_domain,
    &log_level,
    &api_listen,
    &api_stop_grace,
    &api_max_body_bytes,
    &api_max_connections,
    &api_read_timeout,
    &api_write_timeout,
    &api_idle_timeout,
    &admin_listen,
    &platform_address,
    &platform_poll_interval,
    &membership_poll_interval,
    &membership_static,
    &link_ping_interval,
    &link_idle_interval,
    &link_silence_limit,
    &link_subset_size,
    &routing_policy,
    &retry_max_attempts,
    &retry_budget,
    &hedge_enabled,
    &requests_max_in_progress,
    &claims_wait,
    &claims_flush_delay,
    &claims_max_group,
    &claims_max_outcome_bytes,
};

} // namespace jujubemast::entry
