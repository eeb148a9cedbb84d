#include <algorithm>
#include <utility>

#include "common/digest.h"
#include "gateway/store/catalog.h"

// The store comes back from an older copy of itself: it lacks the latest writes, has earlier states
// of other rows, and gives out versions again.

namespace jujubemast::gateway::store {

namespace {

// Each gateway reads three tables. With this time between two gateways their reads stay far below
// the limits of the store.
constexpr common::duration read_interval = std::chrono::milliseconds{3};
constexpr common::duration max_read_delay = std::chrono::seconds{1};

} // namespace

void catalog::era_seen(std::uint64_t era) {
    if (era <= m_era) {
        return;
    }
    const auto former = std::exchange(m_era, era);
    const auto delay = read_delay();
    for (const auto& [table, watch] : m_watches) {
        m_pending[table] = {};
        watch->begin_era(era, delay);
    }
    if (former == 0) {
        // The first response, or the first one of a store that begins to name its era.
        return;
    }
    m_log.warn("The store was restored from an older copy, so its tables are read again.",
               {{"former_era", std::to_string(former)},
                {"era", std::to_string(era)},
                {"delay_ms", std::to_string(common::to_milliseconds(delay))}});
    record_restore();
}

common::duration catalog::read_delay() const {
    const auto spread =
        std::min(max_read_delay, read_interval * static_cast<int>(m_gateways.size()));
    const auto steps =
        static_cast<std::uint64_t>(std::max<common::duration::rep>(spread.count(), 1));
    return common::duration{
        static_cast<common::duration::rep>(common::digest_of(m_self.name) % steps)};
}

void catalog::record_restore() {
    const auto now = common::monotonic_clock::now();
    ++m_restores;
    m_restored = true;
    m_may_lack_configuration = true;
    m_upstreams.record_restore(now);
    m_gateways.record_restore(now);
    m_drains.record_restore(now);
    m_hooks.confirm_configuration({});
    schedule_expiry();
    m_reregistration_timer.start(gateway_list::reregistration_time,
                                 m_context.wrap([this] { end_reregistration(); }));
    m_restore_timer.start(drained_domains::rewrite_time, m_context.wrap([this] { end_restore(); }));
    publish();
}

void catalog::end_reregistration() {
    if (m_gateways.expire(common::monotonic_clock::now())) {
        m_log.info("Some gateways have not registered again after the restore of the store.");
        publish_gateways();
    }
}

void catalog::end_restore() {
    m_restored = false;
    m_may_lack_configuration = false;
    const auto ended = m_drains.end_lost(common::monotonic_clock::now());
    log_drains(ended);
    if (!ended.empty()) {
        m_hooks.announce_drains({ended});
    }
    const bool upstreams_changed = m_upstreams.end_restore();
    m_log.info("The time to write again after the restore of the store is over.",
               {{"drains_lost", std::to_string(ended.size())},
                {"configuration_older", m_newest_in_force ? "no" : "yes"},
                {"registered", m_registration.is_registered() ? "yes" : "no"}});
    if (upstreams_changed || !ended.empty()) {
        publish();
    }
}

} // namespace jujubemast::gateway::store
