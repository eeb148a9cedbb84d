#include "entry/upstream_set.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/json.hpp>

namespace jujubemast::entry {

namespace {

bool takes_new_work(const link_status& status) {
    return status.up && !status.draining && status.instance.state == platform::instance_state::live;
}

/// An upstream that does not report its models is taken to hold all of them.
bool holds_model(const link_status& status, const std::string& model) {
    const auto& models = status.load.models;
    return model.empty() || models.empty() ||
           std::find(models.begin(), models.end(), model) != models.end();
}

} // namespace

link_change upstream_set::update(const link_status& status, common::time_point now) {
    auto [it, added] = m_upstreams.try_emplace(status.instance.name);
    auto& upstream = it->second;
    if (added) {
        pool(status.instance.pool).outliers.add_member(status.instance.name);
    }
    const bool lost =
        upstream.status.up && (!status.up || status.incarnation != upstream.status.incarnation);
    const bool reconnected = upstream.status.up && upstream.status.connection != status.connection;
    const bool available = takes_new_work(status);
    if (available && !upstream.available) {
        upstream.available_since = now;
    }
    upstream.available = available;
    upstream.status = status;
    upstream.sent_since_report = 0;
    if (lost) {
        return link_change::lost;
    }
    return reconnected ? link_change::reconnected : link_change::none;
}

void upstream_set::remove(const std::string& instance) {
    const auto it = m_upstreams.find(instance);
    if (it == m_upstreams.end()) {
        return;
    }
    pool(it->second.status.instance.pool).outliers.remove_member(instance);
    m_upstreams.erase(it);
}

const link_status* upstream_set::choose(const tickets::stage_settings& stage,
                                        policy::routing_request request) {
    auto& members = pool(stage.pool);
    std::vector<policy::upstream_view> views;
    std::vector<upstream_state*> states;
    for (auto& [name, it] : m_upstreams) {
        if (it.status.instance.pool != stage.pool) {
            continue;
        }
        const auto rotation = members.outliers.state(name, request.now);
        views.push_back({name, it.status.instance.failure_domain,
                         it.available && holds_model(it.status, stage.model),
                         rotation == policy::rotation_state::ejected, it.status.load.queued,
                         it.status.load.in_progress, it.status.load.limit, it.sent_since_report,
                         it.available_since});
        states.push_back(&it);
    }
    auto index = m_route(request, views);
    if (!index && !request.excluded.empty()) {
        // With no other upstream left, one that has failed before is better than none.
        request.excluded.clear();
        index = m_route(request, views);
    }
    if (!index) {
        return nullptr;
    }
    auto& chosen = *states[*index];
    ++chosen.sent_since_report;
    members.outliers.record_dispatch(chosen.status.instance.name, request.now);
    return &chosen.status;
}

void upstream_set::record_response(const std::string& pool_name, common::duration response_time) {
    pool(pool_name).response_s.add(std::chrono::duration<double>(response_time).count());
}

void upstream_set::record_success(const std::string& pool_name, const std::string& instance,
                                  common::duration service_time, common::time_point now) {
    pool(pool_name).outliers.record_success(instance, service_time, now);
}

void upstream_set::record_failure(const std::string& pool_name, const std::string& instance,
                                  common::time_point now) {
    pool(pool_name).outliers.record_failure(instance, now);
}

bool upstream_set::take_extra_attempt(const std::string& pool_name, common::time_point now) {
    return pool(pool_name).budget.take(now);
}

void upstream_set::record_first_attempt(const std::string& pool_name) {
    pool(pool_name).budget.record_first_attempt();
}

std::optional<common::duration> upstream_set::hedge_delay(const std::string& pool_name) const {
    const auto it = m_pools.find(pool_name);
    if (it == m_pools.end() || it->second.response_s.count() < m_options.least_hedge_samples) {
        return std::nullopt;
    }
    const std::chrono::duration<double> delay{it->second.response_s.value() *
                                              m_options.hedge_factor};
    return std::max(std::chrono::duration_cast<common::duration>(delay),
                    m_options.least_hedge_delay);
}

upstream_set::pool_state& upstream_set::pool(const std::string& name) {
    return m_pools.try_emplace(name, m_options).first->second;
}

boost::json::value upstream_set::dump() const {
    boost::json::object upstreams;
    for (const auto& [name, it] : m_upstreams) {
        const auto rotation = m_pools.at(it.status.instance.pool).outliers.last_state(name);
        upstreams[name] = boost::json::object{
            {"pool", it.status.instance.pool}, {"up", it.status.up},
            {"draining", it.status.draining},  {"rotation", common::to_name(rotation)},
            {"queued", it.status.load.queued}, {"in_progress", it.status.load.in_progress},
            {"limit", it.status.load.limit},   {"sent_since_report", it.sent_since_report}};
    }
    return upstreams;
}

} // namespace jujubemast::entry
