#include "entry/upstream_set.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "common/digest.h"

namespace jujubemast::entry {

namespace {

bool accepts_new_work(const link_status& status) {
    return status.up && !status.draining &&
           status.instance.state == table_service::instance_state::live;
}

/// An upstream that does not report its models is assumed to hold all of them.
bool holds_model(const link_status& status, const std::string& model) {
    const auto& models = status.load.models;
    return model.empty() || models.empty() ||
           std::find(models.begin(), models.end(), model) != models.end();
}

} // namespace

link_change upstream_set::update(const link_status& status, common::time_point now) {
    const auto& name = status.instance.name;
    if (const auto it = m_pool_of.find(name);
        it != m_pool_of.end() && it->second != status.instance.pool) {
        remove(name);
    }
    m_pool_of.insert_or_assign(name, status.instance.pool);
    auto& target = pool(status.instance.pool);
    const auto n = index_of(target, name);
    auto& view = target.members.views[n];
    auto& known = target.members.statuses[n];
    const bool lost = known.up && (!status.up || status.incarnation != known.incarnation);
    const bool reconnected = known.up && status.connection != known.connection;
    const bool available = accepts_new_work(status);
    if (available && !view.available) {
        view.available_since = now;
    }
    view.available = available;
    view.failure_domain = status.instance.failure_domain;
    view.reported_queued = status.load.queued;
    view.reported_in_progress = status.load.in_progress;
    view.limit = status.load.limit;
    view.sent_since_report = 0;
    known = status;
    if (lost) {
        return link_change::lost;
    }
    return reconnected ? link_change::reconnected : link_change::none;
}

std::size_t upstream_set::index_of(pool_state& target, const std::string& name) {
    auto& [statuses, views] = target.members;
    const auto it = std::find_if(views.begin(), views.end(),
                                 [&](const policy::upstream_view& at) { return at.name == name; });
    if (it != views.end()) {
        return static_cast<std::size_t>(it - views.begin());
    }
    views.push_back({.name = name, .name_digest = common::digest_of(name)});
    statuses.emplace_back();
    target.outliers.add_member(name);
    return views.size() - 1;
}

void upstream_set::remove(const std::string& instance) {
    const auto it = m_pool_of.find(instance);
    if (it == m_pool_of.end()) {
        return;
    }
    auto& target = pool(it->second);
    const auto n = static_cast<std::ptrdiff_t>(index_of(target, instance));
    target.members.views.erase(target.members.views.begin() + n);
    target.members.statuses.erase(target.members.statuses.begin() + n);
    target.outliers.remove_member(instance);
    m_pool_of.erase(it);
}

const link_status* upstream_set::choose(const tickets::stage_settings& stage,
                                        policy::routing_request request) {
    auto& target = pool(stage.pool);
    auto& [statuses, views] = target.members;
    for (std::size_t n = 0; n < views.size(); ++n) {
        views[n].holds_model = holds_model(statuses[n], stage.model);
        const auto& name = views[n].name;
        const auto rotation = target.outliers.state(name, request.now);
        views[n].ejected = rotation == policy::rotation_state::ejected;
        views[n].probing = rotation == policy::rotation_state::probing &&
                           !target.outliers.is_probe_overdue(name, request.now);
    }
    auto index = m_route(request, views);
    if (!index && !request.excluded.empty()) {
        // If no other upstream is left, one that has already failed this stage is tried again.
        request.excluded.clear();
        index = m_route(request, views);
    }
    if (!index) {
        return nullptr;
    }
    ++views[*index].sent_since_report;
    target.outliers.record_dispatch(views[*index].name, request.now);
    return &statuses[*index];
}

void upstream_set::record_success(const std::string& pool_name, const std::string& instance,
                                  common::duration service_time, common::time_point now) {
    pool(pool_name).outliers.record_success(instance, service_time, now);
}

void upstream_set::record_failure(const std::string& pool_name, const std::string& instance,
                                  common::time_point now) {
    pool(pool_name).outliers.record_failure(instance, now);
}

bool upstream_set::try_acquire_retry(const std::string& pool_name, common::time_point now) {
    return pool(pool_name).retries.try_acquire(now);
}

bool upstream_set::try_acquire_hedge(const std::string& pool_name, common::time_point now) {
    return pool(pool_name).hedges.try_acquire(now);
}

void upstream_set::record_first_attempt(const std::string& pool_name) {
    auto& target = pool(pool_name);
    target.retries.record_first_attempt();
    target.hedges.record_first_attempt();
}

common::duration upstream_set::expected_wait(const std::string& pool_name,
                                             common::priority priority) const {
    const auto it = m_pools.find(pool_name);
    std::optional<std::int64_t> shortest_us;
    if (it != m_pools.end()) {
        const auto& [statuses, views] = it->second.members;
        for (std::size_t n = 0; n < views.size(); ++n) {
            const auto wait_us =
                statuses[n].load.queue_wait_us.at(static_cast<std::size_t>(priority));
            if (views[n].available && !views[n].ejected) {
                shortest_us = std::min(shortest_us.value_or(wait_us), wait_us);
            }
        }
    }
    return std::chrono::microseconds{shortest_us.value_or(0)};
}

upstream_set::pool_state& upstream_set::pool(const std::string& name) {
    return m_pools.try_emplace(name, m_options).first->second;
}

boost::json::value upstream_set::dump() const {
    boost::json::object upstreams;
    for (const auto& [pool_name, target] : m_pools) {
        for (std::size_t n = 0; n < target.members.views.size(); ++n) {
            const auto& view = target.members.views[n];
            const auto& status = target.members.statuses[n];
            upstreams[view.name] = boost::json::object{
                {"pool", pool_name},
                {"up", status.up},
                {"draining", status.draining},
                {"rotation", common::to_name(target.outliers.last_state(view.name))},
                {"queued", view.reported_queued},
                {"in_progress", view.reported_in_progress},
                {"limit", view.limit},
                {"sent_since_report", view.sent_since_report}};
        }
    }
    return upstreams;
}

} // namespace jujubemast::entry
