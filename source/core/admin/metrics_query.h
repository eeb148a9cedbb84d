#pragma once

#include <string>

#include "http/server.h"

namespace jujubemast::admin {

/// A request for the metrics of a task, which the task responds to itself.
struct metrics_query {
    http::responder reply;
};

/// Responds with metrics in the Prometheus text format.
inline void respond_with_metrics(const metrics_query& query, std::string text) {
    query.reply.respond(
        {200, {{"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}}, std::move(text)});
}

} // namespace jujubemast::admin
