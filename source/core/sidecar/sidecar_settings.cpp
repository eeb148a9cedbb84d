#include "sidecar/sidecar_settings.h"

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

} // namespace

const settings::setting<std::string> sidecar_settings::name{
    "instance", "name", "", "name of this instance, unique in the deployment", true};
const settings::setting<std::string> sidecar_settings::failure_domain{
    "instance", "failure_domain", "", "failure domain of this instance", true};
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
    "admission", "concurrency", 8, "calls to the upstream at the same time", false, check_positive};
const settings::setting<std::int64_t> sidecar_settings::admission_queue_capacity{
    "admission", "queue_capacity", 1000, "pieces of work that may wait", false, check_positive};

const settings::table sidecar_settings::table{
    &name,
    &failure_domain,
    &log_level,
    &link_listen,
    &link_silence_limit,
    &admin_listen,
    &upstream_address,
    &upstream_kind,
    &upstream_progress_timeout,
    &admission_concurrency,
    &admission_queue_capacity,
};

} // namespace jujubemast::sidecar
