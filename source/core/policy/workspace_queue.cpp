#include "policy/workspace_queue.h"

#include <algorithm>

namespace jujubemast::policy {

namespace {

// Maximum number of idle workspaces evicted each time one becomes idle, so that no single operation
// takes long.
constexpr int max_evictions = 2;

double seconds(common::duration value) {
    return std::chrono::duration<double>(value).count();
}

common::duration from_seconds(double value) {
    return std::chrono::duration_cast<common::duration>(std::chrono::duration<double>{value});
}

} // namespace

workspace_queue::~workspace_queue() {
    m_by_backlog.clear();
    m_backlogged.clear();
    m_idle.clear();
    for (auto& [name, flow] : m_flows) {
        flow.work.clear();
    }
}

double workspace_queue::weight_of(const std::string& workspace) const {
    const auto it = m_weights.find(workspace);
    return it == m_weights.end() ? 1.0 : it->second;
}

workspace_flow& workspace_queue::flow_of(const std::string& workspace) {
    const auto it = m_flows.find(workspace);
    if (it != m_flows.end()) {
        return it->second;
    }
    auto& added = m_flows[workspace];
    added.name = workspace;
    added.weight = weight_of(workspace);
    added.start_tag = m_virtual_time;
    m_idle.insert(added);
    return added;
}

void workspace_queue::activate(workspace_flow& flow) {
    m_idle.erase(m_idle.iterator_to(flow));
    flow.start_tag = std::max(flow.start_tag, m_virtual_time);
    m_backlogged.insert(flow);
    m_by_backlog.insert(flow);
    m_backlogged_weight += flow.weight;
}

void workspace_queue::change_backlog(workspace_flow& flow, common::duration change) {
    m_by_backlog.erase(m_by_backlog.iterator_to(flow));
    flow.backlog += change;
    m_by_backlog.insert(flow);
    m_cost += change;
}

void workspace_queue::add(queue_node& added) {
    auto& flow = flow_of(added.work.workspace);
    if (flow.work.empty()) {
        activate(flow);
    }
    added.flow = &flow;
    flow.work.insert(added);
    ++m_size;
    change_backlog(flow, added.work.cost);
}

queue_node& workspace_queue::front() {
    return *m_backlogged.begin()->work.begin();
}

queue_node& workspace_queue::eviction_candidate() {
    return *m_by_backlog.rbegin()->work.rbegin();
}

void workspace_queue::unlink(queue_node& node) {
    node.flow->work.erase(node.flow->work.iterator_to(node));
    --m_size;
    change_backlog(*node.flow, -node.work.cost);
}

void workspace_queue::take(queue_node& taken) {
    auto& flow = *taken.flow;
    unlink(taken);
    m_virtual_time = std::max(m_virtual_time, flow.start_tag);
    m_backlogged.erase(m_backlogged.iterator_to(flow));
    flow.start_tag += seconds(taken.work.cost) / flow.weight;
    m_backlogged.insert(flow);
    move_to_idle_if_empty(flow);
}

void workspace_queue::erase(queue_node& erased) {
    auto& flow = *erased.flow;
    unlink(erased);
    move_to_idle_if_empty(flow);
}

void workspace_queue::move_to_idle_if_empty(workspace_flow& flow) {
    if (!flow.work.empty()) {
        return;
    }
    m_backlogged.erase(m_backlogged.iterator_to(flow));
    m_by_backlog.erase(m_by_backlog.iterator_to(flow));
    m_backlogged_weight = m_backlogged.empty() ? 0.0 : m_backlogged_weight - flow.weight;
    m_idle.insert(flow);
    evict_idle_flows();
}

void workspace_queue::evict_idle_flows() {
    // Without a backlog the virtual time advances to the last finish tag, which clears all charges.
    if (m_backlogged.empty()) {
        m_virtual_time = std::max(m_virtual_time, m_idle.rbegin()->start_tag);
    }
    for (int n = 0; n < max_evictions && !m_idle.empty(); ++n) {
        auto& oldest = *m_idle.begin();
        if (oldest.start_tag > m_virtual_time) {
            return;
        }
        m_idle.erase(m_idle.iterator_to(oldest));
        m_flows.erase(m_flows.find(oldest.name));
    }
}

void workspace_queue::charge(const std::string& workspace, common::duration extra) {
    const auto it = m_flows.find(workspace);
    if (it == m_flows.end()) {
        return;
    }
    auto& flow = it->second;
    auto& set = flow.work.empty() ? m_idle : m_backlogged;
    set.erase(set.iterator_to(flow));
    flow.start_tag = std::max(m_virtual_time, flow.start_tag + seconds(extra) / flow.weight);
    set.insert(flow);
}

common::duration workspace_queue::cost_ahead(const queued_work& work) const {
    const auto it = m_flows.find(work.workspace);
    double own_cost = 0.0;
    double weight = weight_of(work.workspace);
    double tag_lead = 0.0;
    double other_weight = m_backlogged_weight;
    double other_cost = seconds(m_cost);
    if (it != m_flows.end()) {
        const auto& flow = it->second;
        weight = flow.weight;
        tag_lead = std::max(0.0, flow.start_tag - m_virtual_time);
        if (!flow.work.empty()) {
            const auto first = flow.work.begin()->work.deadline;
            const auto last = flow.work.rbegin()->work.deadline;
            const double fraction = work.deadline >= last ? 1.0
                                    : work.deadline <= first
                                        ? 0.0
                                        : seconds(work.deadline - first) / seconds(last - first);
            own_cost = seconds(flow.backlog) * fraction;
            other_weight -= flow.weight;
            other_cost -= seconds(flow.backlog);
        }
    }
    // Until the new work is served, each other workspace gets at most its fair share.
    const double others_ahead = std::min(other_cost, (tag_lead + own_cost / weight) * other_weight);
    return from_seconds(own_cost + std::max(0.0, others_ahead));
}

void workspace_queue::set_weights(const std::unordered_map<std::string, double>& weights) {
    m_weights = weights;
    m_by_backlog.clear();
    m_backlogged_weight = 0.0;
    for (auto& [name, flow] : m_flows) {
        flow.weight = weight_of(name);
        if (!flow.work.empty()) {
            m_by_backlog.insert(flow);
            m_backlogged_weight += flow.weight;
        }
    }
}

} // namespace jujubemast::policy
