#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include <boost/intrusive/set.hpp>

#include "policy/work_queue.h"

namespace jujubemast::policy {

struct workspace_flow;

/// An intrusive node that holds queued work, owned by the user of `workspace_queue`.
struct queue_node {
    queued_work work;
    std::uint64_t sequence = 0;
    workspace_flow* flow = nullptr;
    boost::intrusive::set_member_hook<> deadline_hook;
};

struct earlier_deadline {
    bool operator()(const queue_node& a, const queue_node& b) const {
        return a.work.deadline != b.work.deadline ? a.work.deadline < b.work.deadline
                                                  : a.sequence < b.sequence;
    }
};

/// The waiting work of one workspace, ordered by deadline.
struct workspace_flow {
    using work_set = boost::intrusive::set<
        queue_node,
        boost::intrusive::member_hook<queue_node, boost::intrusive::set_member_hook<>,
                                      &queue_node::deadline_hook>,
        boost::intrusive::compare<earlier_deadline>>;

    std::string name;
    double weight = 1.0;
    /// Start tag of the next request in virtual time; the last finish tag while idle.
    double start_tag = 0.0;
    common::duration backlog = common::duration::zero();
    work_set work;
    boost::intrusive::set_member_hook<> tag_hook;
    boost::intrusive::set_member_hook<> backlog_hook;
};

/// The waiting work of one priority: weighted fair queueing by cost between workspaces, and
/// earliest deadline first within a workspace. The algorithm is start-time fair queueing (Goyal,
/// Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996), which needs no rate of the server and
/// stays fair with several calls in progress (Jin, Chase and Kaur, "Interposed Proportional Sharing
/// for a Storage Service Utility", SIGMETRICS 2004). All operations except `set_weights` take
/// O(log n).
class workspace_queue {
public:
    workspace_queue() = default;
    ~workspace_queue();
    workspace_queue(const workspace_queue&) = delete;
    workspace_queue& operator=(const workspace_queue&) = delete;

    /// Adds work; the node must keep its address until it is taken or erased.
    void add(queue_node& added);

    /// Returns the work to serve next. The queue must not be empty.
    [[nodiscard]] queue_node& front();

    /// Returns the work to refuse first: the latest deadline of the workspace with the largest
    /// backlog relative to its weight. The queue must not be empty.
    [[nodiscard]] queue_node& eviction_candidate();

    /// Removes work that is going to be served and charges its workspace for it.
    void take(queue_node& taken);

    /// Removes work without a charge.
    void erase(queue_node& erased);

    /// Charges the workspace for additional service time; a negative value is a refund.
    void charge(const std::string& workspace, common::duration extra);

    /// Returns the expected service time of the work that would be served before this work. The
    /// estimate uses totals and is exact if the deadlines of each workspace are evenly distributed.
    [[nodiscard]] common::duration cost_ahead(const queued_work& work) const;

    void set_weights(const std::unordered_map<std::string, double>& weights);

    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] common::duration cost() const { return m_cost; }

    /// Returns the number of workspaces with stored state.
    [[nodiscard]] std::size_t workspaces() const { return m_flows.size(); }

private:
    struct earlier_start_tag {
        bool operator()(const workspace_flow& a, const workspace_flow& b) const {
            return a.start_tag < b.start_tag;
        }
    };
    struct smaller_relative_backlog {
        bool operator()(const workspace_flow& a, const workspace_flow& b) const {
            return static_cast<double>(a.backlog.count()) * b.weight <
                   static_cast<double>(b.backlog.count()) * a.weight;
        }
    };
    using tag_set = boost::intrusive::multiset<
        workspace_flow,
        boost::intrusive::member_hook<workspace_flow, boost::intrusive::set_member_hook<>,
                                      &workspace_flow::tag_hook>,
        boost::intrusive::compare<earlier_start_tag>>;
    using backlog_set = boost::intrusive::multiset<
        workspace_flow,
        boost::intrusive::member_hook<workspace_flow, boost::intrusive::set_member_hook<>,
                                      &workspace_flow::backlog_hook>,
        boost::intrusive::compare<smaller_relative_backlog>>;

    workspace_flow& flow_of(const std::string& workspace);
    [[nodiscard]] double weight_of(const std::string& workspace) const;
    void activate(workspace_flow& flow);
    void unlink(queue_node& node);
    void change_backlog(workspace_flow& flow, common::duration change);
    void move_to_idle_if_empty(workspace_flow& flow);
    void evict_idle_flows();

    std::unordered_map<std::string, double> m_weights;
    std::unordered_map<std::string, workspace_flow> m_flows;
    tag_set m_backlogged;
    tag_set m_idle;
    backlog_set m_by_backlog;
    double m_virtual_time = 0.0;
    double m_backlogged_weight = 0.0;
    std::size_t m_size = 0;
    common::duration m_cost = common::duration::zero();
};

} // namespace jujubemast::policy
