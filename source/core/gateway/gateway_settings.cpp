#include "gateway/gateway_settings.h"

#include "common/error.h"
#include "gateway/region_table.h"
#include "gateway/upstream_list.h"

namespace jujubemast::gateway {

using settings::check_address;
using settings::check_positive;
using settings::check_positive_duration;
using std::chrono::milliseconds;

namespace {

std::string check_not_negative(double value) {
    return value >= 0 ? "" : "must not be negative";
}

std::string check_termination_grace(double value) {
    constexpr double min_seconds = 1;
    constexpr double max_seconds = 86'400;
    return value >= min_seconds && value <= max_seconds ? "" : "must be from 1 to 86400";
}

std::string check_regions(const std::string& value) {
    try {
        parse_region_table(value);
        return "";
    } catch (const common::format_error& e) {
        return e.what();
    }
}

std::string check_not_negative_duration(milliseconds value) {
    return value >= milliseconds::zero() ? "" : "must not be negative";
}

} // namespace

const settings::setting<std::string> gateway_settings::name{
    .section = "instance",
    .key = "name",
    .help = "name of this instance, unique in the deployment",
    .required = true,
};
const settings::setting<std::string> gateway_settings::failure_domain{
    .section = "instance",
    .key = "failure_domain",
    .help = "failure domain of this instance",
    .required = true,
};
const settings::setting<std::string> gateway_settings::region{
    .section = "instance",
    .key = "region",
    .help = "region of this instance's failure domain, unless instance.regions names it",
};
const settings::setting<std::string> gateway_settings::regions{
    .section = "instance",
    .key = "regions",
    .help =
        "region of each failure domain, as DOMAIN=REGION pairs with commas; work that is limited "
        "to some regions goes to no instance whose region is unknown",
    .check = check_regions,
};
const settings::setting<double> gateway_settings::processor_share{
    .section = "instance",
    .key = "processor_share",
    .fallback = 1,
    .help =
        "processor time of this instance in cores; instances with the most own the stage services",
    .check = check_not_negative,
};
const settings::setting<std::int64_t> gateway_settings::memory_mb{
    .section = "instance",
    .key = "memory_mb",
    .fallback = 256,
    .help = "memory of this instance in MB, or that of the machine if it is less; bounds what is "
            "buffered for callers and upstreams",
    .check = check_positive,
};
const settings::setting<double> gateway_settings::termination_grace{
    .section = "instance",
    .key = "termination_grace_s",
    .fallback = 8,
    .help = "time after SIGTERM after which the platform kills the process, in s",
    .check = check_termination_grace,
};
const settings::setting<std::string> gateway_settings::log_level{
    .section = "log",
    .key = "level",
    .fallback = "info",
    .help = "debug, info, warn or error",
};
const settings::setting<std::string> gateway_settings::callers_listen{
    .section = "callers",
    .key = "listen",
    .help = "address for callers",
    .required = true,
    .check = check_address,
};
const settings::setting<milliseconds> gateway_settings::callers_stop_grace{
    .section = "callers",
    .key = "stop_grace_ms",
    .fallback = milliseconds{2800},
    .help = "longest time after SIGTERM in which new connections are still accepted",
    .check = check_not_negative_duration,
};
const settings::setting<milliseconds> gateway_settings::callers_stop_limit{
    .section = "callers",
    .key = "stop_limit_ms",
    .help = "time after SIGTERM at which requests in progress are cut off; 0 derives it from "
            "instance.termination_grace_s",
    .check = check_not_negative_duration,
};
const settings::setting<std::int64_t> gateway_settings::callers_max_body_bytes{
    .section = "callers",
    .key = "max_body_bytes",
    .fallback = std::int64_t{8} * 1024 * 1024,
    .help = "largest body of a request, if the configuration has no limit",
    .check = check_positive,
};
const settings::setting<std::string> gateway_settings::ready_listen{
    .section = "ready",
    .key = "listen",
    .help = "address for the load balancer's readiness checks",
    .required = true,
    .check = check_address,
};
const settings::setting<std::string> gateway_settings::peers_listen{
    .section = "peers",
    .key = "listen",
    .help = "address for the other gateways (ZeroMQ)",
    .required = true,
    .check = check_address,
};
const settings::setting<std::string> gateway_settings::admin_listen{
    .section = "admin",
    .key = "listen",
    .help = "address for metrics and state dumps",
    .required = true,
    .check = check_address,
};
const settings::setting<std::string> gateway_settings::store_address{
    .section = "store",
    .key = "address",
    .help = "address of the platform's store",
    .required = true,
    .check = check_address,
};
const settings::setting<milliseconds> gateway_settings::store_staleness_limit{
    .section = "store",
    .key = "staleness_limit_ms",
    .fallback = milliseconds{3000},
    .help = "longest time for which a lost call to the store may hide its changes; values below "
            "2000 act as 2000",
    .check = check_positive_duration,
};
const settings::setting<milliseconds> gateway_settings::store_heartbeat{
    .section = "store",
    .key = "heartbeat_ms",
    .fallback = upstream_list::default_heartbeat,
    .help = "interval at which upstreams renew their entries in the store; an entry expires after "
            "three intervals without a renewal",
    .check = check_positive_duration,
};
const settings::setting<double> gateway_settings::retry_ratio{
    .section = "retries",
    .key = "ratio",
    .fallback = 0.2,
    .help = "retries allowed for each request, over all gateways",
    .check = check_not_negative,
};
const settings::setting<double> gateway_settings::retry_reserve{
    .section = "retries",
    .key = "reserve",
    .fallback = 50,
    .help = "additional retries allowed in one window, over all gateways",
    .check = check_not_negative,
};
const settings::setting<milliseconds> gateway_settings::retry_window{
    .section = "retries",
    .key = "window_ms",
    .fallback = milliseconds{10000},
    .help = "window in which retries are counted",
    .check = check_positive_duration,
};
const settings::setting<double> gateway_settings::placement_price{
    .section = "placement",
    .key = "price_ms_per_gb",
    .fallback = 0,
    .help = "waiting time of a caller, in ms, that a gigabyte between failure domains may cost; 0 "
            "places work as if transfers were free",
    .check = check_not_negative,
};

const settings::table gateway_settings::table{
    &name,
    &failure_domain,
    &region,
    &regions,
    &processor_share,
    &memory_mb,
    &termination_grace,
    &log_level,
    &callers_listen,
    &callers_stop_grace,
    &callers_stop_limit,
    &callers_max_body_bytes,
    &ready_listen,
    &peers_listen,
    &admin_listen,
    &store_address,
    &store_staleness_limit,
    &store_heartbeat,
    &retry_ratio,
    &retry_reserve,
    &retry_window,
    &placement_price,
};

} // namespace jujubemast::gateway
