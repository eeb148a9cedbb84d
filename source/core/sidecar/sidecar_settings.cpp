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
    .section = "instance",
    .key = "name",
    .help = "name of this instance, unique in the deployment",
    .required = true,
};
const settings::setting<std::string> sidecar_settings::failure_domain{
    .section = "instance",
    .key = "failure_domain",
    .help = "failure domain of this instance",
    .required = true,
};
const settings::setting<std::string> sidecar_settings::pool{
    .section = "instance",
    .key = "pool",
    .help = "pool of the upstream; without it, no orders are sent to an engine",
};
const settings::setting<std::string> sidecar_settings::log_level{
    .section = "log",
    .key = "level",
    .fallback = "info",
    .help = "debug, info, warn or error",
};
const settings::setting<std::string> sidecar_settings::link_listen{
    .section = "link",
    .key = "listen",
    .fallback = "127.0.0.1:0",
    .help = "address for entries",
    .check = check_address,
};
const settings::setting<milliseconds> sidecar_settings::link_silence_limit{
    .section = "link",
    .key = "silence_limit_ms",
    .fallback = milliseconds{2000},
    .help = "time without a heartbeat after which the work of an entry is cancelled, in ms",
    .check = check_positive_duration,
};
const settings::setting<std::string> sidecar_settings::admin_listen{
    .section = "admin",
    .key = "listen",
    .fallback = "127.0.0.1:0",
    .help = "address for health, dump and metrics",
    .check = check_address,
};
const settings::setting<std::string> sidecar_settings::upstream_address{
    .section = "upstream",
    .key = "address",
    .help = "address of the upstream next to this process",
    .required = true,
    .check = check_address,
};
const settings::setting<std::string> sidecar_settings::upstream_kind{
    .section = "upstream",
    .key = "kind",
    .fallback = "service",
    .help = "service or engine",
    .check = check_kind,
};
const settings::setting<milliseconds> sidecar_settings::upstream_progress_timeout{
    .section = "upstream",
    .key = "progress_timeout_ms",
    .fallback = milliseconds{5000},
    .help = "longest time between two chunks of a result, in ms",
    .check = check_positive_duration,
};
const settings::setting<std::int64_t> sidecar_settings::admission_concurrency{
    .section = "admission",
    .key = "concurrency",
    .fallback = 8,
    .help = "largest number of concurrent calls to the upstream",
    .check = check_positive,
};
const settings::setting<std::int64_t> sidecar_settings::admission_queue_capacity{
    .section = "admission",
    .key = "queue_capacity",
    .fallback = 1000,
    .help = "largest number of calls that wait in the queue",
    .check = check_positive,
};
const settings::setting<milliseconds> sidecar_settings::admission_queue_cost{
    .section = "admission",
    .key = "queue_cost_ms",
    .fallback = milliseconds{600000},
    .help = "largest expected service time of all queued work, in ms",
    .check = check_positive_duration,
};
const settings::setting<std::string> sidecar_settings::admission_order{
    .section = "admission",
    .key = "order",
    .fallback = "fair",
    .help = "order of the queue, fifo or fair",
    .check = check_order,
};
const settings::setting<std::string> sidecar_settings::admission_limit{
    .section = "admission",
    .key = "limit",
    .fallback = "adaptive",
    .help = "limit of concurrent calls, fixed or adaptive",
    .check = check_limit,
};
const settings::setting<double> sidecar_settings::admission_latency_tolerance{
    .section = "admission",
    .key = "latency_tolerance",
    .fallback = 1.5,
    .help = "ratio of the service time to that without load at which the adaptive limit is lowered",
    .check = check_tolerance,
};
const settings::setting<double> sidecar_settings::admission_floor_urgent{
    .section = "admission",
    .key = "floor_urgent",
    .fallback = 0.3,
    .help = "share reserved for urgent work under overload, until a ticket sets floors",
    .check = check_share,
};
const settings::setting<double> sidecar_settings::admission_floor_standard{
    .section = "admission",
    .key = "floor_standard",
    .fallback = 0.2,
    .help = "share reserved for standard work under overload, until a ticket sets floors",
    .check = check_share,
};
const settings::setting<double> sidecar_settings::admission_floor_background{
    .section = "admission",
    .key = "floor_background",
    .fallback = 0.1,
    .help = "share reserved for background work under overload, until a ticket sets floors",
    .check = check_share,
};
const settings::setting<milliseconds> sidecar_settings::admission_status_interval{
    .section = "admission",
    .key = "status_interval_ms",
    .fallback = milliseconds{5},
    .help = "shortest time between two reports of a changed load, in ms",
    .check = check_positive_duration,
};

const settings::setting<milliseconds> sidecar_settings::orders_interval{
    .section = "orders",
    .key = "interval_ms",
    .fallback = milliseconds{1000},
    .help = "time between two comparisons of the engine with its placement, in ms",
    .check = check_positive_duration,
};
const settings::setting<milliseconds> sidecar_settings::orders_spread{
    .section = "orders",
    .key = "spread_ms",
    .fallback = milliseconds{10000},
    .help = "largest random delay of the first order after a change, in ms",
    .check = check_positive_duration,
};

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
