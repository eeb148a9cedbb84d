#include "ctl/status_command.h"

#include <map>
#include <optional>
#include <utility>

#include <boost/json.hpp>

#include "common/time.h"
#include "ctl/rollout_progress.h"
#include "ctl/store_command.h"
#include "http/client.h"
#include "tickets/ticket.h"

namespace jujubemast::ctl {

namespace {

constexpr std::chrono::milliseconds poll_interval{100};

class status_command final : public store_command {
public:
    status_command(runtime::task_context owner, const invocation& call, report_hook report)
        : store_command{std::move(owner), call, std::move(report)}, m_timer{context().loop()} {
        const http::client_limits limits{.connect_timeout = std::chrono::seconds{1},
                                         .head_timeout = std::chrono::seconds{2},
                                         .total_timeout = std::chrono::seconds{5}};
        for (const auto& it : call.entries) {
            m_clients[http::to_string(it)] = std::make_unique<http::client>(context(), it, limits);
        }
    }

    void start() override {
        m_started = common::monotonic_clock::now();
        read(ticket_row(ticket_number()),
             [this](const table_service::row& row) { on_ticket(row); });
    }

    void close() noexcept override {
        m_timer.cancel();
        for (auto& it : m_clients) {
            it.second->close();
        }
        store_command::close();
    }

private:
    void on_ticket(const table_service::row& row) {
        if (row.value.is_null()) {
            finish(command_result::refused, "there is no such ticket");
            return;
        }
        const auto change = tickets::ticket_from_json(row.value);
        m_state = std::string{common::to_name(change.state)};
        m_revision = change.end_revision != 0 ? change.end_revision : change.revision;
        if (m_revision == 0) {
            finish(command_result::done, "ticket is " + m_state + " and has no revision",
                   {{"state", m_state}, {"revision", 0}});
            return;
        }
        query_entries();
    }

    void query_entries() {
        m_revisions.clear();
        if (m_clients.empty()) {
            finish(command_result::usage, "--entries lists no entry");
            return;
        }
        for (auto& [address, client] : m_clients) {
            client->send({"GET", "/v1/revision", {}, {}},
                         [this, key = address](const http::call_result& result) {
                             const auto* response = std::get_if<http::response>(&result);
                             m_revisions[key] = response != nullptr && response->status == 200
                                                    ? parse_entry_revisions(response->body)
                                                    : std::nullopt;
                             if (m_revisions.size() == m_clients.size()) {
                                 report_or_poll_again();
                             }
                         });
        }
    }

    void report_or_poll_again() {
        const auto rollout = measure_rollout(m_revision, m_revisions);
        const bool timed_out = common::monotonic_clock::now() - m_started >= call().timeout;
        if (!rollout.lagging.empty() && call().wait && !timed_out) {
            m_timer.start(poll_interval, context().wrap([this] { query_entries(); }));
            return;
        }
        auto text = "ticket is " + m_state + ", revision " + std::to_string(m_revision) +
                    " applied on " + std::to_string(rollout.applied) + " of " +
                    std::to_string(rollout.live) + " live processes";
        for (const auto& it : rollout.lagging) {
            text += "\n  " + it;
        }
        finish(rollout.lagging.empty() ? command_result::done : command_result::lagging, text,
               {{"state", m_state},
                {"revision", m_revision},
                {"live", rollout.live},
                {"applied", rollout.applied},
                {"lagging", boost::json::value_from(rollout.lagging)}});
    }

    runtime::timer m_timer;
    std::map<std::string, std::unique_ptr<http::client>> m_clients;
    std::map<std::string, std::optional<entry_revisions>> m_revisions;
    common::time_point m_started;
    std::string m_state;
    std::uint64_t m_revision = 0;
};

} // namespace

std::shared_ptr<runtime::task> make_status_command(runtime::task_context context,
                                                   const invocation& call, report_hook report) {
    return std::make_shared<status_command>(std::move(context), call, std::move(report));
}

} // namespace jujubemast::ctl
