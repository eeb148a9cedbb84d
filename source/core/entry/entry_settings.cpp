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
        if (auto error = check_address(it); !error.empty()) {
            return error;
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
    .section = "instance",
    .key = "name",
    .help = "name of this instance, unique in the deployment",
    .required = true,
};
const settings::setting<std::string> entry_settings::failure_domain{
    .section = "instance",
    .key = "failure_domain",
    .help = "failure domain of this instance",
    .required = true,
};
const settings::setting<std::string> entry_settings::log_level{
    .section = "log",
    .key = "level",
    .fallback = "info",
    .help = "debug, info, warn or error",
};
const settings::setting<std::string> entry_settings::api_listen{
    .section = "api",
    .key = "listen",
    .fallback = "127.0.0.1:8080",
    .help = "address for callers",
    .check = check_address,
};
const settings::setting<milliseconds> entry_settings::api_stop_grace{
    .section = "api",
    .key = "stop_grace_ms",
    .fallback = milliseconds{0},
    .help =
        "time between the report that the instance is not ready and the end of listening, in ms",
};
const settings::setting<std::int64_t> entry_settings::api_max_body_bytes{
    .section = "api",
    .key = "max_body_bytes",
    .fallback = std::int64_t{1024} * 1024,
    .help = "largest request body in bytes",
    .check = check_positive,
};
const settings::setting<std::int64_t> entry_settings::api_max_connections{
    .section = "api",
    .key = "max_connections",
    .fallback = 4096,
    .help = "largest number of open connections from callers",
    .check = check_positive,
};
const settings::setting<milliseconds> entry_settings::api_read_timeout{
    .section = "api",
    .key = "read_timeout_ms",
    .fallback = milliseconds{10000},
    .help = "longest time for a request to arrive, in ms",
    .check = check_positive_duration,
};
const settings::setting<milliseconds> entry_settings::api_write_timeout{
    .section = "api",
    .key = "write_timeout_ms",
    .fallback = milliseconds{10000},
    .help = "longest time to send a part of a response, in ms",
    .check = check_positive_duration,
};
const settings::setting<milliseconds> entry_settings::api_idle_timeout{
    .section = "api",
    .key = "idle_timeout_ms",
    .fallback = milliseconds{60000},
    .help = "longest time between two requests on a connection, in ms",
    .check = check_positive_duration,
};
const settings::setting<std::string> entry_settings::admin_listen{
    .section = "admin",
    .key = "listen",
    .fallback = "127.0.0.1:0",
    .help = "address for health, dump and metrics",
    .check = check_address,
};
const settings::setting<std::string> entry_settings::platform_address{
    .section = "platform",
    .key = "address",
    .help = "address of the platform's service",
    .required = true,
    .check = check_address,
};
const settings::setting<milliseconds> entry_settings::platform_poll_interval{
    .section = "platform",
    .key = "poll_interval_ms",
    .fallback = milliseconds{500},
    .help = "average time between two polls for a new configuration, in ms",
    .check = check_positive_duration,
};
const settings::setting<milliseconds> entry_settings::membership_poll_interval{
    .section = "membership",
    .key = "poll_interval_ms",
    .fallback = milliseconds{1000},
    .help = "time between two polls of the membership list, in ms",
    .check = check_positive_duration,
};
const settings::setting<std::string> entry_settings::membership_static{
    .section = "membership",
    .key = "static",
    .help = "sidecars that give the configuration before the first list, as IP:PORT with commas",
    .check = check_addresses,
};
const settings::setting<milliseconds> entry_settings::link_ping_interval{
    .section = "links",
    .key = "ping_interval_ms",
    .fallback = milliseconds{250},
    .help = "time between two heartbeats while work is in progress and nothing arrives, in ms",
    .check = check_positive_duration,
};
const settings::setting<milliseconds> entry_settings::link_idle_interval{
    .section = "links",
    .key = "idle_interval_ms",
    .fallback = milliseconds{1000},
    .help = "longest time between two heartbeats, also on a link without work, in ms",
    .check = check_positive_duration,
};
const settings::setting<milliseconds> entry_settings::link_silence_limit{
    .section = "links",
    .key = "silence_limit_ms",
    .fallback = milliseconds{1000},
    .help = "time without a heartbeat response after which a link is replaced, in ms",
    .check = check_positive_duration,
};
const settings::setting<std::int64_t> entry_settings::link_subset_size{
    .section = "links",
    .key = "subset_size",
    .fallback = 24,
    .help = "number of upstreams of one pool that this instance keeps links to",
    .check = check_positive,
};
const settings::setting<std::string> entry_settings::routing_policy{
    .section = "routing",
    .key = "policy",
    .fallback = "load_aware",
    .help = "round_robin, two_choices or load_aware",
    .check = check_routing_policy,
};
const settings::setting<bool> entry_settings::retry_budget{
    .section = "retry",
    .key = "budget",
    .fallback = true,
    .help = "limit extra attempts to 10% of the first attempts, with backoff",
};
const settings::setting<bool> entry_settings::hedge_enabled{
    .section = "hedge",
    .key = "enabled",
    .fallback = true,
    .help = "send a second attempt of an idempotent stage that is slow",
};
const settings::setting<std::int64_t> entry_settings::retry_max_attempts{
    .section = "retry",
    .key = "max_attempts",
    .fallback = 3,
    .help = "largest number of attempts for one stage of a request",
    .check = check_positive,
};
const settings::setting<std::int64_t> entry_settings::requests_max_in_progress{
    .section = "requests",
    .key = "max_in_progress",
    .fallback = 3072,
    .help = "largest number of requests in progress; more are refused as overloaded",
    .check = check_positive,
};
const settings::setting<milliseconds> entry_settings::claims_wait{
    .section = "claims",
    .key = "wait_ms",
    .fallback = milliseconds{300},
    .help = "longest wait of a caller for the store, for its claim and for its outcome, in ms",
    .check = check_positive_duration,
};
const settings::setting<milliseconds> entry_settings::claims_flush_delay{
    .section = "claims",
    .key = "flush_delay_ms",
    .fallback = milliseconds{3},
    .help = "longest time that a claim waits for others to share its transaction, in ms",
    .check = check_positive_duration,
};
const settings::setting<std::int64_t> entry_settings::claims_max_group{
    .section = "claims",
    .key = "max_group",
    .fallback = 64,
    .help = "largest number of claims and outcomes in one transaction",
    .check = check_positive,
};
const settings::setting<std::int64_t> entry_settings::claims_max_outcome_bytes{
    .section = "claims",
    .key = "max_outcome_bytes",
    .fallback = std::int64_t{64} * 1024,
    .help = "largest response that is stored with its claim, in bytes",
    .check = check_positive,
};

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
