#include <algorithm>

#include <boost/json.hpp>

#include "common/error.h"
#include "gateway/requests/forwarder.h"
#include "gateway/requests/route_question.h"
#include "gateway/statuses.h"

// Explains where a request would go now.

namespace jujubemast::gateway::requests {

namespace {

void respond_with_error(const route_query& query, unsigned status, const std::string& reason) {
    query.reply.respond(http::json_response(
        status, boost::json::serialize(boost::json::object{{"error", reason}})));
}

boost::json::object to_json(const instances::candidate_explanation& it) {
    return {{"upstream", it.id},
            {"domain", it.failure_domain},
            {"verdict", std::string{common::to_name(it.verdict)}},
            {"in_progress", it.in_progress},
            {"slots", it.slots},
            {"holds_prompt", it.holds_prompt},
            {"remote_bytes", it.work.remote_bytes},
            {"wait_ms", it.work.wait_ms},
            {"prompt_ms", it.work.prompt_ms},
            {"cost_ms", it.cost_ms}};
}

boost::json::object to_json(const instances::choice_explanation& explained) {
    boost::json::array candidates;
    for (const auto& it : explained.candidates) {
        candidates.push_back(to_json(it));
    }
    return {{"chosen", explained.chosen},
            {"placement", std::string{common::to_name(explained.reason)}},
            {"target_domain", explained.target_domain},
            {"candidates", std::move(candidates)}};
}

} // namespace

void forwarder::handle(const route_query& query) {
    route_question question;
    try {
        question = decode_route_question(query.query);
    } catch (const common::format_error& e) {
        respond_with_error(query, status_bad_request, e.what());
        return;
    }
    if (!m_configuration) {
        respond_with_error(query, status_unavailable, "no configuration yet");
        return;
    }
    const auto* found = find_route(*m_configuration, question.host, question.path);
    if (found == nullptr || !found->usable) {
        respond_with_error(query, status_not_found,
                           found == nullptr
                               ? "no route for host " + question.host + " and path " + question.path
                               : "a part of the route " + found->name + " could not be decoded");
        return;
    }
    exchange asked;
    asked.matched_route = found;
    asked.stages.progress = stages::stage_progress{found->stages, {}};
    asked.request.prompt = question.prompt;
    asked.tried = question.tried;
    asked.regions = found->regions;
    auto routing = make_routing_request(asked);
    routing.inputs = question.results;
    boost::json::array services;
    for (const auto& it : found->services) {
        asked.service = it.service;
        auto explained = to_json(
            pool_of(it.service).explain(routing, m_options.transfer, allowed_instances(asked)));
        explained["service"] = it.service;
        explained["weight"] = it.weight;
        services.push_back(std::move(explained));
    }
    query.reply.respond(http::json_response(
        200, boost::json::serialize(boost::json::object{{"route", found->name},
                                                        {"gateway", m_options.name},
                                                        {"domain", m_options.failure_domain},
                                                        {"services", std::move(services)}})));
}

} // namespace jujubemast::gateway::requests
