#include "sidecar/sidecar_settings.h"

#include "policy/concurrency_limit.h"
#include "policy/work_queue.h"
#include "tickets/configuration.h"

namespace jujubemast::sidecar {

using settings::check_address;
using settings::check_positive;
using settings::check_positive_duration;
using std::chrono::milliseconds;

namespace {

std::string check_kind(const std::string& value) {
    return common::from_name<tickets::pool_kind>(value) ? "" : "must be service or engine";
}

std::string check_order(const std::string& value) {
    return common::from_name<policy::queue_order>(value) ? "" : "must be fifo or fair";
}

std::string check_limit(const std::string& value) {
    return common::from_name<policy::limit_kind>(value) ? "" : "must be fixed or adaptive";
}

std::string check_share(double value) {
    return value >= 0.0 && value <= 1.0 ? "" : "must be between 0 and 1";
}

std::string check_tolerance(double value) {
    return value > 1.0 ? "" : "must be above 1";
}

} // namespace

const settings::setting<std::string> sidecar_settings::name{
    "instance", "name", "", "name of this instance, unique in the deployment", true};
const settings::setting<std::string> sidecar_settings::failure_domain{
    "instance", "failure_domain", "", "failure domain of this instance", true};
const settings::setting<std::string> sidecar_settings::pool{
    "instance", "pool", "", "pool of the upstream; without it, no orders are given to an engine"};
const settings::setting<std::string> sidecar_settings::log_level{"log", "level", "info",
                                                                 "debug, info, warn or error"};
const settings::setting<std::string> sidecar_settings::link_listen{
    "link", "listen", "127.0.0.1:0", "address for entries", false, check_address};
const settings::setting<milliseconds> sidecar_settings::link_silence_limit{
    "link",
    "silence_limit_ms",
    milliseconds{2000},
    "work of an entry that sends no heartbeat for this time is cancelled, in ms",
    false,
    check_positive_duration};
const settings::setting<std::string> sidecar_settings::admin_listen{
    "admin", "listen", "127.0.0.1:0", "address for health, dump and metrics", false, check_address};
const settings::setting<std::string> sidecar_settings::upstream_address{
    "upstream", "address", "", "address of the upstream beside this process", true, check_address};
const settings::setting<std::string> sidecar_settings::upstream_kind{
    "upstream", "kind", "service", "service or engine", false, check_kind};
const settings::setting<milliseconds> sidecar_settings::upstream_progress_timeout{
    "upstream",
    "progress_timeout_ms",
    milliseconds{5000},
    "longest wait between two pieces of a result, in ms",
    false,
    check_positive_duration};
const settings::setting<std::int64_t> sidecar_settings::admission_concurrency{
    "admission", "concurrency", 8, "most calls to the upstream at the same time",
    false,       check_positive};
const settings::setting<std::int64_t> sidecar_settings::admission_queue_capacity{
    "admission", "queue_capacity", 1000, "pieces of work that may wait", false, check_positive};
const settings::setting<milliseconds> sidecar_settings::admission_queue_cost{
    "admission",
    "queue_cost_ms",
    milliseconds{600000},
    "expected service time of all work that may wait, in ms",
    false,
    check_positive_duration};
const settings::setting<std::string> sidecar_settings::admission_order{
    "admission", "order", "fair", "order of waiting work, fifo or fair", false, check_order};
const settings::setting<std::string> sidecar_settings::admission_limit{
    "admission", "limit", "adaptive", "limit of calls, fixed or adaptive", false, check_limit};
const settings::setting<double> sidecar_settings::admission_latency_tolerance{
    "admission", "latency_tolerance",
    1.5,         "service time relative to that without load at which the adaptive limit falls",
    false,       check_tolerance};
const settings::setting<double> sidecar_settings::admission_floor_urgent{
    "admission", "floor_urgent",
    0.3,         "share of urgent work that no flood takes, until a ticket sets floors",
    false,       check_share};
const settings::setting<double> sidecar_settings::admission_floor_standard{
    "admission", "floor_standard",
    0.2,         "share of standard work that no flood takes, until a ticket sets floors",
    false,       check_share};
const settings::setting<double> sidecar_settings::admission_floor_background{
    "admission", "floor_background",
    0.1,         "share of background work that no flood takes, until a ticket sets floors",
    false,       check_share};
const settings::setting<milliseconds> sidecar_settings::admission_status_interval{
    "admission",     "status_interval_ms",
    milliseconds{5}, "shortest time between two reports of a changed load, in ms",
    false,           check_positive_duration};

const settings::setting<milliseconds> sidecar_settings::orders_interval{
    "orders",
    "interval_ms",
    milliseconds{1000},
    "time between two comparisons of the engine with its placement, in ms",
    false,
    check_positive_duration};
const settings::setting<milliseconds> sidecar_settings::orders_spread{
    "orders",
    "spread_ms",
    milliseconds{10000},
    "the first order after a change waits for a random part of this time, in ms",
    false,
    check_positive_duration};

const settings::table sidecar_settings::table{
    &name,
    &failure_domain,
    &pool,
    &log_level,
    &link_listen,
    &link_silence_limit,
    &admin_listen,
    &upstream_address,
    &upstream_kind,
    &upstream_progress_timeout,
    &admission_concurrency,
    &admission_queue_capacity,
    &admission_queue_cost,
    &admission_order,
    &admission_limit,
    &admission_latency_tolerance,
    &admission_floor_urgent,
    &admission_floor_standard,
    &admission_floor_background,
    &admission_status_interval,
    &orders_interval,
    &orders_spread,
};

} // namespace jujubemast::sidecar
