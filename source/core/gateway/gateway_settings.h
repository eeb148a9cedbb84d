#pragma once

#include "settings/settings.h"

namespace jujubemast::gateway {

/// The settings of jujubemast-gateway.
struct gateway_settings {
    static const settings::setting<std::string> name;
    static const settings::setting<std::string> failure_domain;
    static const settings::setting<std::string> region;
    static const settings::setting<std::string> regions;
    static const settings::setting<double> processor_share;
    static const settings::setting<std::int64_t> memory_mb;
    static const settings::setting<double> termination_grace;
    static const settings::setting<std::string> log_level;
    static const settings::setting<std::string> callers_listen;
    static const settings::setting<std::chrono::milliseconds> callers_stop_grace;
    static const settings::setting<std::chrono::milliseconds> callers_stop_limit;
    static const settings::setting<std::int64_t> callers_max_body_bytes;
    static const settings::setting<std::string> ready_listen;
    static const settings::setting<std::string> peers_listen;
    static const settings::setting<std::string> admin_listen;
    static const settings::setting<std::string> store_address;
    static const settings::setting<std::chrono::milliseconds> store_staleness_limit;
    static const settings::setting<std::chrono::milliseconds> store_heartbeat;
    static const settings::setting<double> retry_ratio;
    static const settings::setting<double> retry_reserve;
    static const settings::setting<std::chrono::milliseconds> retry_window;
    static const settings::setting<double> placement_price;

    static const settings::table table;
};

} // namespace jujubemast::gateway
