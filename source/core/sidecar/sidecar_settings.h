#pragma once

#include "settings/settings.h"

namespace jujubemast::sidecar {

/// The settings of jujubemast-sidecar.
struct sidecar_settings {
    static const settings::setting<std::string> name;
    static const settings::setting<std::string> failure_domain;
    static const settings::setting<std::string> pool;
    static const settings::setting<std::string> log_level;
    static const settings::setting<std::string> link_listen;
    static const settings::setting<std::chrono::milliseconds> link_silence_limit;
    static const settings::setting<std::string> admin_listen;
    static const settings::setting<std::string> upstream_address;
    static const settings::setting<std::string> upstream_kind;
    static const settings::setting<std::chrono::milliseconds> upstream_progress_timeout;
    static const settings::setting<std::int64_t> admission_concurrency;
    static const settings::setting<std::int64_t> admission_queue_capacity;
    static const settings::setting<std::chrono::milliseconds> admission_queue_cost;
    static const settings::setting<std::string> admission_order;
    static const settings::setting<std::string> admission_limit;
    static const settings::setting<double> admission_latency_tolerance;
    static const settings::setting<double> admission_floor_urgent;
    static const settings::setting<double> admission_floor_standard;
    static const settings::setting<double> admission_floor_background;
    static const settings::setting<std::chrono::milliseconds> admission_status_interval;

    static const settings::setting<std::chrono::milliseconds> orders_interval;
    static const settings::setting<std::chrono::milliseconds> orders_spread;

    static const settings::table table;
};

} // namespace jujubemast::sidecar
