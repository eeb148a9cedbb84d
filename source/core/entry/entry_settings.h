#pragma once

#include "settings/settings.h"

namespace jujubemast::entry {

/// The settings of jujubemast-entry.
struct entry_settings {
    static const settings::setting<std::string> name;
    static const settings::setting<std::string> failure_domain;
    static const settings::setting<std::string> log_level;
    static const settings::setting<std::string> api_listen;
    static const settings::setting<std::chrono::milliseconds> api_stop_grace;
    static const settings::setting<std::int64_t> api_max_body_bytes;
    static const settings::setting<std::int64_t> api_max_connections;
    static const settings::setting<std::chrono::milliseconds> api_read_timeout;
    static const settings::setting<std::chrono::milliseconds> api_write_timeout;
    static const settings::setting<std::chrono::milliseconds> api_idle_timeout;
    static const settings::setting<std::string> admin_listen;
    static const settings::setting<std::string> platform_address;
    static const settings::setting<std::chrono::milliseconds> platform_poll_interval;
    static const settings::setting<std::chrono::milliseconds> membership_poll_interval;
    static const settings::setting<std::string> membership_static;
    static const settings::setting<std::chrono::milliseconds> link_ping_interval;
    static const settings::setting<std::chrono::milliseconds> link_idle_interval;
    static const settings::setting<std::chrono::milliseconds> link_silence_limit;
    static const settings::setting<std::int64_t> link_subset_size;
    static const settings::setting<std::string> routing_policy;
    static const settings::setting<std::int64_t> retry_max_attempts;
    static const settings::setting<bool> retry_budget;
    static const settings::setting<bool> hedge_enabled;
    static const settings::setting<std::int64_t> requests_max_in_progress;
    static const settings::setting<std::chrono::milliseconds> claims_wait;
    static const settings::setting<std::chrono::milliseconds> claims_flush_delay;
    static const settings::setting<std::int64_t> claims_max_group;
    static const settings::setting<std::int64_t> claims_max_outcome_bytes;

    static const settings::table table;
};

/// Splits a list of addresses at its commas.
std::vector<std::string> split_addresses(const std::string& list);

} // namespace jujubemast::entry
