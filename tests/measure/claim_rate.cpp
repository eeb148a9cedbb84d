// Sends claims at a fixed rate to one task `claims` and reports the load on the store and the
// latency of the claims. Each claim is closed with an outcome as soon as it is granted.

#include <algorithm>
#include <iostream>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include "common/random.h"
#include "entry/claims.h"
#include "logging/logger.h"
#include "program/command_line.h"
#include "runtime/process.h"

DEFINE_string(platform, "", "address of the stand-in platform");
DEFINE_int32(rate, 500, "claims per second");
DEFINE_int32(seconds, 10, "length of the run in s");
DEFINE_int32(max_group, 64, "writes in one transaction");
DEFINE_int32(flush_ms, 3, "time for which writes wait to share a transaction, in ms");
DEFINE_int32(transactions, 4, "transactions in progress at the same time");

namespace jujubemast::tests {

namespace {

using namespace jujubemast::entry;

constexpr common::duration tick_interval = std::chrono::milliseconds{10};

/// Sends claims at the rate and measures the times until each is granted and closed.
class claim_driver final : public runtime::task {
public:
    claim_driver(runtime::task_context context,
                 std::shared_ptr<runtime::mailbox<coordinator_message>> inbox,
                 runtime::address<claims_message> target, runtime::process_hooks process)
        : m_context{std::move(context)}, m_inbox{std::move(inbox)}, m_target{std::move(target)},
          m_process{std::move(process)}, m_timer{m_context.loop()} {}

    void start() override {
        m_inbox.receive(
            m_context.wrap([this](const coordinator_message& message) { handle(message); }));
        m_begin = common::monotonic_clock::now();
        tick();
    }

    void close() noexcept override {
        m_inbox.close();
        m_timer.cancel();
    }

private:
    void tick() {
        const auto now = common::monotonic_clock::now();
        const auto elapsed = std::chrono::duration<double>(now - m_begin).count();
        const bool all_sent = elapsed >= FLAGS_seconds;
        const auto due =
            static_cast<std::uint64_t>(std::min<double>(elapsed, FLAGS_seconds) * FLAGS_rate);
        while (m_sent < due) {
            const auto id = ++m_sent;
            m_sent_at[id] = now;
            m_target.send(claim_request{id, "w", m_prefix + std::to_string(id), "digest",
                                        now + std::chrono::seconds{5}});
        }
        if (all_sent && m_sent_at.empty()) {
            report();
            m_process.exit(0);
            return;
        }
        m_timer.start(tick_interval, m_context.wrap([this] { tick(); }));
    }

    void handle(const coordinator_message& message) {
        const auto now = common::monotonic_clock::now();
        if (const auto* granted = std::get_if<claim_granted>(&message)) {
            m_claim_ms.push_back(
                common::to_milliseconds(now - std::exchange(m_sent_at[granted->id], now)));
            m_target.send(close_claim{
                granted->id, stored_outcome{claim_state::done, 200, std::string(256, 'x')}});
        } else if (const auto* denied = std::get_if<claim_denied>(&message)) {
            ++m_denied;
            m_sent_at.erase(denied->id);
        } else if (const auto* closed = std::get_if<claim_closed>(&message)) {
            m_close_ms.push_back(common::to_milliseconds(now - m_sent_at[closed->id]));
            m_not_recorded += closed->recorded ? 0 : 1;
            m_sent_at.erase(closed->id);
        }
    }

    static std::string quantiles(std::vector<double> values) {
        if (values.empty()) {
            return "none";
        }
        std::sort(values.begin(), values.end());
        const auto at = [&](double share) {
            return std::to_string(
                values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))]);
        };
        return "p50=" + at(0.5) + " p99=" + at(0.99) + " max=" + at(1.0);
    }

    void report() const {
        const auto claims = m_process.dump().at("children").at("claims").at("detail");
        const auto transactions = claims.at("transactions").to_number<double>();
        std::cout << "rate=" << FLAGS_rate << " max_group=" << FLAGS_max_group
                  << " granted=" << m_claim_ms.size() << " denied=" << m_denied
                  << " not_recorded=" << m_not_recorded
                  << " transactions_per_s=" << transactions / FLAGS_seconds
                  << " writes_per_transaction="
                  << claims.at("writes").to_number<double>() / std::max(1.0, transactions)
                  << "\n  claim_ms " << quantiles(m_claim_ms) << "\n  outcome_ms "
                  << quantiles(m_close_ms) << std::endl;
    }

    runtime::task_context m_context;
    runtime::inbox<coordinator_message> m_inbox;
    runtime::address<claims_message> m_target;
    runtime::process_hooks m_process;
    runtime::timer m_timer;
    common::time_point m_begin;
    /// Random prefix of the keys, so that they differ from those of earlier runs on the same
    /// stand-in.
    std::string m_prefix = common::random_identifier(common::system_random());
    std::uint64_t m_sent = 0;
    std::uint64_t m_denied = 0;
    std::uint64_t m_not_recorded = 0;
    std::unordered_map<std::uint64_t, common::time_point> m_sent_at;
    std::vector<double> m_claim_ms;
    std::vector<double> m_close_ms;
};

std::vector<runtime::child_spec> make_tree(const runtime::executor& loop,
                                           const runtime::process_hooks& process) {
    const auto coordinator_inbox = runtime::make_mailbox<coordinator_message>(loop, 65536);
    const auto claims_inbox = runtime::make_mailbox<claims_message>(loop, 65536);
    claim_limits limits;
    limits.max_group = static_cast<std::size_t>(FLAGS_max_group);
    limits.flush_delay = std::chrono::milliseconds{FLAGS_flush_ms};
    limits.max_groups_in_progress = static_cast<std::size_t>(FLAGS_transactions);
    const auto platform = http::parse_endpoint(FLAGS_platform);
    return {{"claims",
             [=](runtime::task_context context) {
                 return std::make_shared<claims>(
                     std::move(context), claims_inbox,
                     runtime::address<coordinator_message>{coordinator_inbox}, platform, limits);
             }},
            {"driver", [=](runtime::task_context context) {
                 return std::make_shared<claim_driver>(
                     std::move(context), coordinator_inbox,
                     runtime::address<claims_message>{claims_inbox}, process);
             }}};
}

} // namespace

} // namespace jujubemast::tests

int main(int argc, char** argv) {
    using namespace jujubemast;
    if (const auto code = program::parse_command_line(
            argc, argv, {"claim-rate", "measures the store's load and the latency of claims"})) {
        return *code;
    }
    logging::initialize("error");
    return runtime::run_process("claim-rate", tests::make_tree);
}
