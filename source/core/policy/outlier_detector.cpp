#include "policy/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace jujubemast::policy {

namespace {

// Weight of a new sample in the average service time.
constexpr double sample_weight = 0.2;

// A probe without a result after this time counts as failed.
constexpr common::duration probe_timeout = std::chrono::seconds{2};

} // namespace

void outlier_detector::add_member(const std::string& name) {
    m_members.try_emplace(name);
}

void outlier_detector::remove_member(const std::string& name) {
    m_members.erase(name);
}

void outlier_detector::record_success(const std::string& name, common::duration service_time,
                                      common::time_point now) {
    const auto it = m_members.find(name);
    if (it == m_members.end()) {
        return;
    }
    auto& target = it->second;
    target.failures = 0;
    const double sample = std::chrono::duration<double>(service_time).count();
    ++target.samples;
    target.average_service_s =
        target.samples == 1
            ? sample
            : target.average_service_s + sample_weight * (sample - target.average_service_s);
    const double slow_limit = m_options.slow_factor * median_service_s();
    if (target.state == rotation_state::probing) {
        if (sample > slow_limit) {
            eject(target, now);
            return;
        }
        target = member{};
        return;
    }
    if (target.state == rotation_state::in_rotation && target.samples >= m_options.min_samples &&
        target.average_service_s > slow_limit && may_eject()) {
        eject(target, now);
    }
}

void outlier_detector::record_failure(const std::string& name, common::time_point now) {
    const auto it = m_members.find(name);
    if (it == m_members.end()) {
        return;
    }
    auto& target = it->second;
    ++target.failures;
    if (target.state == rotation_state::probing) {
        eject(target, now);
        return;
    }
    if (target.state == rotation_state::in_rotation &&
        target.failures >= m_options.consecutive_failures && may_eject()) {
        eject(target, now);
    }
}

void outlier_detector::record_call(const std::string& name, bool completed, common::duration time,
                                   common::time_point now) {
    const auto it = m_members.find(name);
    if (it == m_members.end()) {
        return;
    }
    auto& target = it->second;
    const std::chrono::duration<double> weighed_time = time;
    const double weight = 1 - std::exp(-weighed_time / m_options.goodput_window);
    target.goodput += weight * ((completed ? 1 : 0) - target.goodput);
    if (completed) {
        return;
    }
    const bool is_outlier = target.state == rotation_state::in_rotation &&
                            target.goodput < m_options.min_goodput && may_eject();
    if (is_outlier || target.state == rotation_state::probing) {
        eject(target, now);
    }
}

double outlier_detector::goodput(const std::string& name) const {
    const auto it = m_members.find(name);
    return it == m_members.end() ? 1 : it->second.goodput;
}

void outlier_detector::record_dispatch(const std::string& name, common::time_point now) {
    const auto it = m_members.find(name);
    if (it != m_members.end() && it->second.state == rotation_state::probing) {
        it->second.probe_sent = true;
        it->second.ejected_until = now + probe_timeout;
    }
}

rotation_state outlier_detector::state(const std::string& name, common::time_point now) {
    const auto it = m_members.find(name);
    if (it == m_members.end()) {
        return rotation_state::in_rotation;
    }
    auto& target = it->second;
    if (target.state == rotation_state::ejected && now >= target.ejected_until) {
        target.state = rotation_state::probing;
        target.probe_sent = false;
    }
    if (target.state == rotation_state::probing && target.probe_sent) {
        if (now >= target.ejected_until) {
            eject(target, now);
        }
        return rotation_state::ejected;
    }
    return target.state;
}

bool outlier_detector::is_probe_overdue(const std::string& name, common::time_point now) const {
    const auto it = m_members.find(name);
    return it != m_members.end() && it->second.state == rotation_state::probing &&
           now - it->second.ejected_until >= m_options.base_ejection_time;
}

rotation_state outlier_detector::last_state(const std::string& name) const {
    const auto it = m_members.find(name);
    return it == m_members.end() ? rotation_state::in_rotation : it->second.state;
}

void outlier_detector::eject(member& target, common::time_point now) {
    constexpr std::uint32_t max_exponent = 10;
    const auto ejection_time = m_options.base_ejection_time *
                               (std::int64_t{1} << std::min(target.ejections, max_exponent));
    target.state = rotation_state::ejected;
    target.ejected_until =
        now + std::min<common::duration>(ejection_time, m_options.max_ejection_time);
    ++target.ejections;
    target.failures = 0;
    target.probe_sent = false;
}

bool outlier_detector::may_eject() const {
    const auto ejected = std::count_if(m_members.begin(), m_members.end(), [](const auto& it) {
        return it.second.state != rotation_state::in_rotation;
    });
    return static_cast<double>(ejected + 1) <=
           m_options.max_ejected_share * static_cast<double>(m_members.size());
}

double outlier_detector::median_service_s() const {
    std::vector<double> averages;
    for (const auto& [name, it] : m_members) {
        if (it.samples > 0) {
            averages.push_back(it.average_service_s);
        }
    }
    if (averages.empty()) {
        return 0;
    }
    // The lower median is used so that in a pool of two the slow upstream is compared with the fast
    // one and not with itself.
    const auto middle = averages.begin() + static_cast<std::ptrdiff_t>((averages.size() - 1) / 2);
    std::nth_element(averages.begin(), middle, averages.end());
    return *middle;
}

} // namespace jujubemast::policy
