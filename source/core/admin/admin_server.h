#pragma once

#include <functional>
#include <string>

#include "admin/health.h"
#include "admin/metrics_query.h"
#include "http/server.h"
#include "runtime/process.h"

namespace jujubemast::admin {

/// Forwards the query to the task that owns the metrics. Returns false when the task does not
/// accept it.
using metrics_hook = std::function<bool(const metrics_query&)>;

/// Forwards a request to the task that responds to it. Returns false for other paths.
using query_hook = std::function<bool(const http::request&, const http::responder&)>;

struct admin_hooks {
    runtime::dump_hook dump;
    metrics_hook metrics;
    query_hook query;
};

/// Limits of an admin server, whose clients are few and send small requests.
http::server_limits default_admin_limits();

/// Returns the child specification of the admin server, which serves GET /livez, /readyz, /dump and
/// /metrics.
runtime::child_spec make_admin_server(const http::endpoint& listen,
                                      runtime::address<health_message> health, admin_hooks hooks,
                                      const http::server_limits& limits = default_admin_limits());

} // namespace jujubemast::admin
