#include "gateway/store/catalog.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/json.hpp>

#include "common/error.h"
#include "gateway/store/row_digest.h"

namespace jujubemast::gateway::store {

namespace {

// Interval between confirmations that nothing has changed.
constexpr common::duration min_relay_interval = std::chrono::milliseconds{400};
// Larger changes are not passed on. A gateway has some twenty followers, and its link may be slower
// than that of the store by orders of magnitude.
constexpr std::size_t max_relayed_bytes = std::size_t{8} * 1024;

// Further parts of a configuration that could not be decoded are counted but not logged.
constexpr std::size_t max_logged_faults = 10;

http::client_limits store_limits() {
    http::client_limits limits;
    limits.connect_timeout = std::chrono::milliseconds{800};
    limits.head_timeout = std::chrono::milliseconds{1500};
    limits.progress_timeout = std::chrono::milliseconds{1500};
    // Applies to the calls that register and unregister. The table watches set their own limits.
    limits.total_timeout = std::chrono::seconds{3};
    limits.max_response_bytes = std::size_t{64} * 1024;
    return limits;
}

std::size_t count_bytes(const std::vector<store_row>& rows) {
    std::size_t bytes = 0;
    for (const auto& it : rows) {
        bytes += it.key.size() + (it.value ? it.value->size() : 0);
    }
    return bytes;
}

} // namespace

catalog::catalog(runtime::task_context context,
                 std::shared_ptr<runtime::mailbox<catalog_message>> inbox, http::endpoint store,
                 std::shared_ptr<const adapter> platform_adapter, gateway_record self,
                 catalog_hooks hooks, const table_watch_limits& limits, common::duration heartbeat)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)},
      m_adapter{std::move(platform_adapter)}, m_self{std::move(self)}, m_hooks{std::move(hooks)},
      m_limits{limits}, m_client{m_context, std::move(store), store_limits()},
      m_registration{m_context, m_client, m_adapter, m_self,
                     [this](std::uint64_t era) { era_seen(era); }},
      m_upstreams{heartbeat}, m_expiry_timer{m_context.loop()},
      m_reregistration_timer{m_context.loop()}, m_restore_timer{m_context.loop()} {}

void catalog::start() {
    table_watch_hooks configuration_hooks;
    configuration_hooks.on_update = [this](const table_update& it) {
        apply_configuration_rows(it);
    };
    m_watches[store_table::configuration] =
        make_watch(store_table::configuration, std::move(configuration_hooks));
    table_watch_hooks upstream_hooks;
    upstream_hooks.on_update = [this](const table_update& it) { apply_upstream_rows(it); };
    upstream_hooks.on_unavailable = [this] {
        m_upstreams.record_store_outage();
        schedule_expiry();
    };
    upstream_hooks.on_available = [this](common::duration unseen) { upstreams_available(unseen); };
    m_watches[store_table::upstreams] =
        make_watch(store_table::upstreams, std::move(upstream_hooks));
    table_watch_hooks gateway_hooks;
    gateway_hooks.on_update = [this](const table_update& it) { apply_gateway_rows(it); };
    m_watches[store_table::gateways] = make_watch(store_table::gateways, std::move(gateway_hooks));
    m_inbox.receive(m_context.wrap([this](const catalog_message& message) {
        std::visit([this](const auto& it) { handle(it); }, message);
    }));
    for (const auto& [table, watch] : m_watches) {
        watch->begin();
    }
    m_registration.begin();
}

std::unique_ptr<table_watch> catalog::make_watch(store_table table, table_watch_hooks hooks) {
    const auto apply = std::move(hooks.on_update);
    hooks.on_update = [this, table, apply](const table_update& update) {
        if (update.complete) {
            m_watches.at(table)->copy().clear_rows();
            m_malformed[table].keep_only(update.rows);
            m_pending[table] = {};
        }
        apply(update);
    };
    hooks.on_confirmed = [this, table](common::time_point at) { confirmed(table, at); };
    hooks.on_era = [this](std::uint64_t era) { era_seen(era); };
    return std::make_unique<table_watch>(m_context, m_client, m_adapter, table, std::move(hooks),
                                         m_limits);
}

void catalog::confirmed(store_table table, common::time_point at) {
    if (table == store_table::configuration && m_newest_in_force && !m_may_lack_configuration) {
        m_hooks.confirm_configuration({at});
    }
    if (table == store_table::upstreams && m_hooks.confirm_upstreams) {
        m_hooks.confirm_upstreams({at});
    }
    if (table == store_table::gateways) {
        m_hooks.confirm_gateways({at});
    }
    if (table == store_table::configuration) {
        m_drains.advance(m_watches.at(table)->copy().position());
        m_hooks.confirm_drains({at});
    }
    relay(table);
}

void catalog::record_row(store_table table, const store_row& row,
                         std::optional<std::uint64_t> content, bool is_hidden_change) {
    const bool changed = m_watches.at(table)->copy().set_row(row.key, content) || is_hidden_change;
    auto& pending = m_pending[table];
    if (changed && m_role.reads_store && pending.since) {
        pending.rows.push_back(row);
    }
}

void catalog::relay(store_table table) {
    auto& pending = m_pending[table];
    const auto& copy = m_watches.at(table)->copy();
    const auto now = common::monotonic_clock::now();
    if (!m_role.reads_store || !copy.is_complete() ||
        (pending.rows.empty() && now - pending.relayed < min_relay_interval)) {
        return;
    }
    pending.relayed = now;
    auto rows = std::exchange(pending.rows, {});
    auto since = std::exchange(pending.since, copy.position()).value_or(copy.position());
    if (count_bytes(rows) > max_relayed_bytes) {
        // The others see that changes are missing and ask the store.
        since = copy.position();
        rows.clear();
    }
    m_hooks.relay(
        {{table, since, copy.position(), copy.digest(), std::move(rows)}, *copy.confirmed()});
}

void catalog::handle(const table_relay& message) {
    const auto& table = message.changes.table;
    m_watches.at(table)->changes_relayed(message.changes, message.confirmed);
}

void catalog::handle(const store_role& message) {
    if (message == m_role) {
        return;
    }
    m_role = message;
    m_log.info(m_role.reads_store ? "Follows the store." : "Follows other gateways.",
               {{"gateway", m_self.name}, {"has_followers", m_role.has_followers ? "yes" : "no"}});
    for (const auto& [table, watch] : m_watches) {
        watch->set_source(!m_role.reads_store    ? watch_source::others
                          : m_role.has_followers ? watch_source::store_for_others
                                                 : watch_source::store);
        m_pending[table] = {};
    }
}

void catalog::stop(const runtime::stop_done& done) {
    m_registration.end(done);
}

void catalog::close() noexcept {
    m_inbox.close();
    m_expiry_timer.cancel();
    m_reregistration_timer.cancel();
    m_restore_timer.cancel();
    m_registration.close();
    m_client.close();
    m_watches.clear();
}

template <typename Record>
std::optional<Record> catalog::decode_row(store_table table, std::string_view described,
                                          const store_row& row,
                                          const std::function<Record(const store_row&)>& decode) {
    auto& malformed = m_malformed[table];
    std::optional<Record> decoded;
    try {
        if (row.value) {
            decoded = decode(row);
        }
        malformed.remove(row.key);
    } catch (const common::format_error& e) {
        if (malformed.add(row.key)) {
            m_log.warn("Could not decode the entry of " + std::string{described} + '.',
                       {{"key", row.key}, {"reason", e.what()}});
        }
    }
    return decoded;
}

bool catalog::apply_drain_rows(const table_update& update) {
    const auto now = common::monotonic_clock::now();
    const auto era = m_watches.at(store_table::configuration)->copy().position().era;
    std::vector<domain_drain> rows;
    for (const auto& row : update.rows) {
        const auto decoded = m_adapter->decode_drain(row);
        if (!decoded) {
            continue;
        }
        auto& malformed = m_malformed[store_table::configuration];
        if (decoded->fault.empty()) {
            malformed.remove(row.key);
        } else if (malformed.add(row.key)) {
            m_log.warn("Could not decode the drain of a failure domain; it is in force.",
                       {{"key", row.key}, {"reason", decoded->fault}});
        }
        record_row(store_table::configuration, row,
                   row.value ? std::optional{versioned_row_digest(row)} : std::nullopt);
        rows.push_back({decoded->domain, {era, row.version}, row.value.has_value()});
    }
    std::vector<domain_drain> changes;
    if (update.complete) {
        const auto position = m_watches.at(store_table::configuration)->copy().position();
        changes = m_drains.replace(rows, position, now);
    } else {
        std::copy_if(rows.begin(), rows.end(), std::back_inserter(changes),
                     [&](const domain_drain& it) { return m_drains.apply(it, now); });
    }
    if (changes.empty()) {
        return false;
    }
    log_drains(changes);
    if (!update.relayed) {
        m_hooks.announce_drains({changes});
    }
    return true;
}

void catalog::log_drains(const std::vector<domain_drain>& changes) const {
    for (const auto& it : changes) {
        m_log.info(it.in_force ? "Failure domain drained." : "Failure domain no longer drained.",
                   {{"domain", it.domain}, {"row_version", std::to_string(it.position.version)}});
    }
}

void catalog::handle(const domain_drains& message) {
    const auto now = common::monotonic_clock::now();
    const auto is_of_later_era = [this](const domain_drain& it) { return it.position.era > m_era; };
    if (std::any_of(message.drains.begin(), message.drains.end(), is_of_later_era)) {
        m_watches.at(store_table::configuration)->refresh();
    }
    std::vector<domain_drain> changes;
    std::copy_if(message.drains.begin(), message.drains.end(), std::back_inserter(changes),
                 [&](const domain_drain& it) {
                     // Only the store shows that a drain of a later era has ended.
                     return (it.in_force || !is_of_later_era(it)) && m_drains.apply(it, now);
                 });
    if (!changes.empty()) {
        log_drains(changes);
        publish();
    }
}

void catalog::apply_configuration_rows(const table_update& update) {
    const bool drains_changed = apply_drain_rows(update);
    bool configuration_changed = false;
    if (update.complete && m_configuration) {
        // The older copy of a restored store may lack the row.
        m_newest_in_force = false;
    }
    for (const auto& row : update.rows) {
        std::optional<configuration> decoded;
        try {
            decoded = m_adapter->decode_configuration(row);
        } catch (const common::format_error& e) {
            m_log.error("Could not decode the configuration; keeping the current one.",
                        {{"row_version", std::to_string(row.version)}, {"reason", e.what()}});
            // The others must learn that their configuration is not the newest.
            record_row(store_table::configuration, row, undecoded_row_digest(row));
            m_newest_in_force = false;
            continue;
        }
        if (decoded) {
            record_row(store_table::configuration, row, row_digest(*decoded));
        }
        if (!decoded) {
            continue;
        }
        // The older copy of a restored store may hold an earlier version, whose keys are withdrawn.
        m_newest_in_force = !m_configuration || decoded->version >= m_configuration->version;
        if (m_configuration && decoded->version <= m_configuration->version) {
            continue;
        }
        // The operator has written again.
        m_may_lack_configuration = false;
        index_routes(*decoded);
        check_stages(*decoded);
        log_faults(*decoded);
        m_configuration = std::make_shared<const configuration>(std::move(*decoded));
        m_log.info("Configuration in force.",
                   {{"version", std::to_string(m_configuration->version)},
                    {"routes", std::to_string(m_configuration->routes.size())},
                    {"faults", std::to_string(m_configuration->faults.size())},
                    {"row_version", std::to_string(row.version)}});
        configuration_changed = true;
    }
    if (drains_changed || configuration_changed) {
        publish();
    }
}

void catalog::log_faults(const configuration& config) const {
    const auto count = std::min(config.faults.size(), max_logged_faults);
    for (std::size_t n = 0; n < count; ++n) {
        m_log.error("Could not decode a part of the configuration.",
                    {{"version", std::to_string(config.version)},
                     {"element", config.faults[n].element},
                     {"reason", config.faults[n].reason}});
    }
}

void catalog::apply_upstream_rows(const table_update& update) {
    const auto now = common::monotonic_clock::now();
    const auto era = m_watches.at(store_table::upstreams)->copy().position().era;
    upstream_map all_entries;
    bool changed = false;
    for (const auto& row : update.rows) {
        auto decoded = decode_row<upstream_instance>(
            store_table::upstreams, "an upstream", row,
            [&](const store_row& it) { return m_adapter->decode_upstream(it, now); });
        const bool cold_for_longer =
            decoded && m_warm_up.complete(*decoded, {era, row.version}, now);
        // After a restore, that an entry is written shows that its instance is alive.
        record_row(store_table::upstreams, row,
                   decoded ? std::optional{row_digest(*decoded)} : std::nullopt,
                   cold_for_longer || m_restored);
        if (!decoded) {
            m_warm_up.removed(row.key, now);
            const bool malformed = row.value.has_value();
            if (malformed ? m_upstreams.discard(row.key)
                          : !update.complete && m_upstreams.remove(row.key, now)) {
                changed = true;
                m_log.info("Upstream is gone.", {{"upstream", row.key}});
            }
            continue;
        }
        if (update.complete) {
            all_entries.emplace(row.key, std::move(*decoded));
        } else {
            const auto phase = decoded->phase;
            if (m_upstreams.put(std::move(*decoded))) {
                changed = true;
                m_log.info("Upstream changed.", {{"upstream", row.key},
                                                 {"phase", std::string{common::to_name(phase)}},
                                                 {"row_version", std::to_string(row.version)}});
            }
        }
    }
    if (update.complete) {
        m_warm_up.table_read(now);
        changed = m_upstreams.replace(all_entries, now) || changed;
        m_log.info("Upstreams read.", {{"count", std::to_string(m_upstreams.entries().size())}});
    }
    schedule_expiry();
    if (changed || !m_upstreams_read) {
        m_upstreams_read = true;
        publish();
    }
}

void catalog::handle(const instance_leaving& message) {
    if (m_upstreams.mark_leaving(message.instance)) {
        m_log.info("The upstream has announced that it leaves.",
                   {{"upstream", message.instance.id}});
        publish();
    }
}

void catalog::handle(const process_paused& /*message*/) {
    for (const auto& [table, watch] : m_watches) {
        watch->refresh();
    }
}

void catalog::upstreams_available(common::duration unseen) {
    const auto now = common::monotonic_clock::now();
    const auto unseen_ms = std::chrono::duration_cast<std::chrono::milliseconds>(unseen).count();
    m_upstreams.record_store_recovery(now, unseen);
    m_log.info("The entries of upstreams can be read again.",
               {{"unseen_ms", std::to_string(unseen_ms)},
                {"may_have_expired", m_upstreams.may_have_expired(now) ? "yes" : "no"}});
    schedule_expiry();
}

void catalog::schedule_expiry() {
    const auto next = m_upstreams.next_expiry();
    if (!next) {
        return;
    }
    m_expiry_timer.start(*next - common::monotonic_clock::now(), m_context.wrap([this] {
        if (m_upstreams.expire(common::monotonic_clock::now())) {
            m_log.info("Removed upstreams whose entries have expired.");
            publish();
        }
        schedule_expiry();
    }));
}

void catalog::apply_gateway_rows(const table_update& update) {
    std::map<std::string, gateway_record> all_rows;
    bool own_row_changed = update.complete;
    for (const auto& row : update.rows) {
        const auto decoded =
            decode_row(store_table::gateways, "a gateway", row, m_adapter->decode_gateway);
        record_row(store_table::gateways, row,
                   decoded ? std::optional{row_digest(*decoded)} : std::nullopt);
        own_row_changed = own_row_changed || row.key == m_self.name;
        if (!update.complete) {
            m_gateways.put(row.key, decoded);
        } else if (decoded) {
            all_rows.emplace(row.key, *decoded);
        }
    }
    if (update.complete) {
        m_gateways.replace(all_rows, common::monotonic_clock::now());
        m_registration.hasten();
    }
    if (own_row_changed) {
        m_registration.check(m_gateways.find_stored(m_self.name));
    }
    publish_gateways();
    if (!std::exchange(m_gateways_read, true)) {
        publish();
    }
}

void catalog::publish_gateways() {
    m_hooks.publish_gateways(m_gateways.all());
}

void catalog::publish() {
    m_hooks.set_not_ready_reason(!m_configuration    ? "no configuration is known yet"
                                 : !m_upstreams_read ? "the upstreams are not known yet"
                                 : !m_gateways_read  ? "the other gateways are not known yet"
                                                     : "");
    m_hooks.publish({m_configuration, m_upstreams_read ? marked_upstreams() : nullptr,
                     m_drains.count(), m_restores});
}

std::string catalog::region_of(const std::string& failure_domain) const {
    return m_hooks.region_of ? m_hooks.region_of(failure_domain) : std::string{};
}

upstream_map_pointer catalog::marked_upstreams() const {
    auto marked = std::make_shared<upstream_map>(m_upstreams.entries());
    for (auto& [id, it] : *marked) {
        it.region = region_of(it.failure_domain);
        it.domain_drained = m_drains.is_drained(it.failure_domain);
        if (const auto ended = m_drains.drain_ended(it.failure_domain)) {
            // Its instances may have become cold before the drain, and their rows may come later.
            it.warms_up_from = std::max(it.warms_up_from.value_or(*ended), *ended);
        }
    }
    return marked;
}

boost::json::value catalog::dump() const {
    const auto left = [now = common::monotonic_clock::now()](const auto& until) {
        return until && *until > now ? common::to_milliseconds(*until - now) : 0;
    };
    boost::json::array upstreams;
    for (const auto& [id, it] : m_upstreams.entries()) {
        upstreams.emplace_back(
            boost::json::object{{"id", id},
                                {"service", it.service},
                                {"address", http::to_string(it.address)},
                                {"failure_domain", it.failure_domain},
                                {"region", region_of(it.failure_domain)},
                                {"drained", m_drains.is_drained(it.failure_domain)},
                                {"phase", common::to_name(it.phase)},
                                {"cold_left_ms", left(it.cold_until)}});
    }
    boost::json::array drains;
    for (const auto& it : m_drains.all()) {
        drains.emplace_back(boost::json::object{{"domain", it.domain},
                                                {"drained", it.in_force},
                                                {"era", it.position.era},
                                                {"row_version", it.position.version}});
    }
    boost::json::object tables;
    for (const auto& [table, watch] : m_watches) {
        tables[common::to_name(table)] = watch->dump();
    }
    return boost::json::object{
        {"configuration", m_configuration ? m_configuration->version : 0},
        {"configuration_faults", m_configuration ? m_configuration->faults.size() : 0},
        {"drains", std::move(drains)},
        {"tables", std::move(tables)},
        {"store_era", m_era},
        {"store_restores", m_restores},
        {"reads_store", m_role.reads_store},
        {"has_followers", m_role.has_followers},
        {"registered", m_registration.is_registered()},
        {"upstreams", std::move(upstreams)},
        {"gateways", m_gateways.size()}};
}

} // namespace jujubemast::gateway::store
