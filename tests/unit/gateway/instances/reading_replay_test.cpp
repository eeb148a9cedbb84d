#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "common/digest.h"
#include "common/random.h"
#include "gateway/instances/reading_schedule.h"
#include "gateway/instances/reading_search.h"
#include "gateway/ownership.h"
#include "policy/routing.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway::instances;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A pool of model engines and the gateways that send long prompts to them, as measured.
struct replay_load {
    std::size_t gateways = 27;
    std::size_t engines = 49;
    double prompts_per_s = 40;
    double mean_tokens = 12'000;
    double max_tokens = 54'600;
    bool with_grants = true;
    /// Without reported ends, a grant lasts for the estimated time and 20 ms, as in the release
    /// before them.
    bool with_ends = true;
    /// When all engines were refused, the one whose reading ends first instead of the first of the
    /// prefix.
    bool first_free = true;
    /// Standard deviation of the logarithm of the time that a reading takes, divided by its
    /// estimate. Its median is 1.
    double slowness = 0;
    /// Share of the messages that are lost, and of those that take 30 ms longer.
    double lost = 0;
    double late = 0;
};

struct replay_result {
    std::size_t readings = 0;
    /// Readings that overlap with another one at their engine.
    std::size_t overlapping = 0;
    /// Time in which an engine reads two prompts or more.
    common::duration shared{};
    std::size_t messages = 0;
    /// Requests that were sent without a grant.
    std::size_t without_grant = 0;
    /// Requests that were sent to the first engine of their prefix.
    std::size_t at_first_engine = 0;
    common::duration longest_search{};

    [[nodiscard]] double overlap() const {
        return static_cast<double>(overlapping) / static_cast<double>(readings);
    }
};

/// Replays prompts of random arrival and length on a virtual clock. Each prompt prefers the engines
/// in the order in which rendezvous hashing ranks them for its prefix.
class reading_replay {
public:
    explicit reading_replay(const replay_load& load) : m_load{load} {
        for (std::size_t n = 0; n < load.gateways; ++n) {
            m_gateways.push_back("g" + std::to_string(n));
        }
        for (std::size_t n = 0; n < load.engines; ++n) {
            const auto name = "e" + std::to_string(n);
            m_engines.push_back(
                {name, common::digest_of(name), gateway::choose_owner(name, m_gateways)});
        }
    }

    replay_result run(common::duration length) {
        schedule_arrival(m_now);
        const auto end = m_now + length;
        while (!m_events.empty() && m_events.top().at < end) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        count_overlaps();
        return m_result;
    }

private:
    struct engine {
        std::string name;
        std::uint64_t digest = 0;
        std::string owner;
        std::vector<std::pair<common::time_point, common::time_point>> readings;
    };

    struct prompt {
        std::uint32_t tokens = 0;
        std::uint64_t prefix = 0;
        common::time_point arrived;
        reading_search search;
        /// The engine that was asked for last, and the question, unless it was refused.
        const engine* asked = nullptr;
        reading_key question;
    };

    struct event {
        common::time_point at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const event& other) const {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    double random_unit() {
        return static_cast<double>(common::uniform_below(m_random, 1U << 30U)) / (1U << 30U);
    }

    /// Time that a reading takes, divided by its estimate.
    double random_slowness() {
        // Box-Muller transform.
        const double normal = std::sqrt(-2 * std::log(1 - random_unit())) *
                              std::cos(2 * std::acos(-1.0) * random_unit());
        return std::exp(m_load.slowness * normal);
    }

    void at(common::time_point time, std::function<void()> action) {
        m_events.push({time, m_next_order++, std::move(action)});
    }

    /// Runs an action after the time of a message, unless the message is lost.
    void send_message(std::function<void()> action) {
        ++m_result.messages;
        if (random_unit() < m_load.lost) {
            return;
        }
        const auto extra = random_unit() < m_load.late ? milliseconds{30} : milliseconds{0};
        at(m_now + microseconds{300 + static_cast<int>(random_unit() * 700)} + extra,
           std::move(action));
    }

    void schedule_arrival(common::time_point after) {
        const auto gap = -std::log(1 - random_unit()) / m_load.prompts_per_s;
        const auto time = after + microseconds{static_cast<std::int64_t>(gap * 1e6)};
        at(time, [this, time] {
            schedule_arrival(time);
            arrive();
        });
    }

    void arrive() {
        // Exponential beyond the shortest long prompt, so that the mean is the measured one.
        const double tokens = 4097 - std::log(1 - random_unit()) * (m_load.mean_tokens - 4097);
        const auto it = std::make_shared<prompt>(
            prompt{static_cast<std::uint32_t>(std::min(tokens, m_load.max_tokens)),
                   common::uniform_below(m_random, 500) + 1,
                   m_now,
                   reading_search{m_now},
                   nullptr,
                   {}});
        if (!m_load.with_grants) {
            send(it, best_engine(*it, {}));
            return;
        }
        at(it->search.ends(), [this, it] { apply(it, it->search.time_over()); });
        ask(it);
    }

    engine& best_engine(const prompt& of, const std::vector<std::string>& excluded) {
        engine* best = nullptr;
        for (auto& it : m_engines) {
            const bool is_excluded =
                std::find(excluded.begin(), excluded.end(), it.name) != excluded.end();
            if (!is_excluded &&
                (best == nullptr || policy::rendezvous_rank(of.prefix, it.digest) >
                                        policy::rendezvous_rank(of.prefix, best->digest))) {
                best = &it;
            }
        }
        return *best;
    }

    void ask(const std::shared_ptr<prompt>& it) {
        auto& target = best_engine(*it, it->search.refused());
        const auto number = m_next_number++;
        it->search.asked(number, target.name);
        it->asked = &target;
        it->question = {"g", number};
        send_message([this, it, number, &target] {
            auto& schedule = m_schedules[target.owner];
            const auto estimate = reading_time(it->tokens);
            const bool granted = schedule.request(target.name, {"g", number}, estimate, m_now);
            const auto free_in = schedule.free_in(target.name, m_now);
            if (granted && !m_load.with_ends) {
                at(m_now + estimate + milliseconds{20}, [&schedule, &target, number] {
                    schedule.end(target.name, {"g", number});
                });
            }
            send_message([this, it, number, granted, free_in] {
                if (!granted && it->question.number == number) {
                    it->asked = nullptr;
                }
                apply(it, it->search.answered(number, granted, free_in, m_now));
            });
        });
    }

    /// Reports the end of the reading that may have been granted.
    void report_end(const std::shared_ptr<prompt>& it) {
        const auto* target = std::exchange(it->asked, nullptr);
        if (target != nullptr && m_load.with_ends) {
            send_message(
                [this, it, target] { m_schedules[target->owner].end(target->name, it->question); });
        }
    }

    engine& engine_without_grant(const prompt& of) {
        const auto& refused = of.search.refused();
        if (refused.size() < m_engines.size()) {
            return best_engine(of, refused);
        }
        return m_load.first_free ? named(refused.front()) : best_engine(of, {});
    }

    engine& named(const std::string& name) {
        return *std::find_if(m_engines.begin(), m_engines.end(),
                             [&](const engine& known) { return known.name == name; });
    }

    void apply(const std::shared_ptr<prompt>& it, reading_step step) {
        switch (step) {
        case reading_step::ask:
            ask(it);
            return;
        case reading_step::send_there:
            send(it, named(it->search.engine()));
            return;
        case reading_step::send_anywhere:
            ++m_result.without_grant;
            report_end(it);
            send(it, engine_without_grant(*it));
            return;
        case reading_step::none:
            return;
        }
    }

    void send(const std::shared_ptr<prompt>& it, engine& to) {
        m_result.longest_search = std::max(m_result.longest_search, m_now - it->arrived);
        m_result.at_first_engine += &best_engine(*it, {}) == &to ? 1 : 0;
        const auto begin = m_now + milliseconds{1 + static_cast<int>(random_unit() * 4)};
        const auto end = begin + std::chrono::duration_cast<common::duration>(
                                     reading_time(it->tokens) * random_slowness());
        to.readings.emplace_back(begin, end);
        at(end, [this, it] { report_end(it); });
    }

    void count_overlaps() {
        for (auto& it : m_engines) {
            std::sort(it.readings.begin(), it.readings.end());
            common::time_point read_until;
            for (const auto& reading : it.readings) {
                const auto both = std::min(read_until, reading.second) - reading.first;
                m_result.shared += std::max(common::duration::zero(), both);
                read_until = std::max(read_until, reading.second);
                ++m_result.readings;
                m_result.overlapping +=
                    std::any_of(it.readings.begin(), it.readings.end(), [&](const auto& other) {
                        return &other != &reading && other.first < reading.second &&
                               reading.first < other.second;
                    });
            }
        }
    }

    replay_load m_load;
    common::random_hook m_random = common::seeded_random(20261206);
    common::time_point m_now{seconds{100}};
    std::vector<std::string> m_gateways;
    std::vector<engine> m_engines;
    std::map<std::string, reading_schedule> m_schedules;
    std::priority_queue<event> m_events;
    std::uint64_t m_next_order = 0;
    std::uint64_t m_next_number = 1;
    replay_result m_result;
};

} // namespace

struct reading_replay_fixture {
    // Gives the quantiles of the time to the first event that were measured.
    static constexpr double measured_slowness = 0.6;

    static replay_result replay(const replay_load& load, seconds length = seconds{60}) {
        const auto result = reading_replay{load}.run(length);
        BOOST_TEST_MESSAGE(load.prompts_per_s
                           << " prompts/s at " << load.engines << " engines, grants "
                           << load.with_grants << ", ends " << load.with_ends << ", first free "
                           << load.first_free << ", slowness " << load.slowness << ", lost "
                           << load.lost << ", late " << load.late << ": " << result.readings
                           << " readings, " << result.overlap() << " overlap, shared "
                           << common::to_milliseconds(result.shared) << " ms, " << result.messages
                           << " messages, " << result.without_grant << " without grant, "
                           << result.at_first_engine << " at the first engine, longest search "
                           << common::to_milliseconds(result.longest_search) << " ms");
        return result;
    }
};

BOOST_FIXTURE_TEST_SUITE(reading_replay_test, reading_replay_fixture)

// Guards against streams that pause while their engine reads two long prompts, as measured.
BOOST_AUTO_TEST_CASE(prompts_with_grants_hardly_ever_overlap) {
    const auto before = replay({.with_grants = false});
    const auto after = replay({});
    BOOST_TEST(before.overlap() > 0.15);
    BOOST_TEST(after.overlap() < 0.01);
    // Most prompts still go where their prefix is in the cache, and searches are short.
    BOOST_TEST(static_cast<double>(after.at_first_engine) >
               0.75 * static_cast<double>(after.readings));
    BOOST_TEST((after.longest_search < milliseconds{21}));
    // A question, a response and an end for each prompt, and some more for refusals.
    BOOST_TEST(after.messages < 4 * after.readings);
}

// Guards against grants that fail as soon as messages do: at most the prompts without a response
// overlap as before.
BOOST_AUTO_TEST_CASE(prompts_when_messages_are_lost_or_late_overlap_less_than_before) {
    const auto before = replay({.with_grants = false});
    const auto after = replay({.lost = 0.05, .late = 0.05});
    BOOST_TEST(after.overlap() < 0.5 * before.overlap());
    BOOST_TEST((after.longest_search < milliseconds{21}));
    const auto silent = replay({.lost = 1});
    BOOST_TEST(silent.without_grant == silent.readings);
    BOOST_TEST(silent.overlap() < 1.2 * before.overlap());
}

// Guards against a search that makes a higher load worse.
BOOST_AUTO_TEST_CASE(prompts_at_twice_the_rate_overlap_less_than_before) {
    const auto before = replay({.prompts_per_s = 80, .with_grants = false});
    const auto after = replay({.prompts_per_s = 80});
    BOOST_TEST(after.overlap() < 0.2 * before.overlap());
}

// Guards against grants that end before readings that take longer than estimated, as measured: the
// times to the first event have the quantiles 174, 526 and 1,275 ms with this deviation.
BOOST_AUTO_TEST_CASE(prompts_at_engines_slower_than_estimated_overlap_less_with_reported_ends) {
    const auto before = replay({.with_ends = false, .slowness = measured_slowness});
    const auto after = replay({.slowness = measured_slowness});
    BOOST_TEST(before.overlap() > 0.08);
    BOOST_TEST(after.overlap() < 0.01);
    BOOST_TEST((after.longest_search < milliseconds{21}));
    const auto busy_before =
        replay({.prompts_per_s = 80, .with_ends = false, .slowness = measured_slowness});
    const auto busy_after = replay({.prompts_per_s = 80, .slowness = measured_slowness});
    BOOST_TEST(busy_after.overlap() < 0.4 * busy_before.overlap());
}

// Guards against engines that stay blocked because the ends of their readings are lost or late.
BOOST_AUTO_TEST_CASE(prompts_when_ends_are_lost_or_late_overlap_less_than_without_ends) {
    const auto before =
        replay({.with_ends = false, .slowness = measured_slowness, .lost = 0.05, .late = 0.05});
    const auto after = replay({.slowness = measured_slowness, .lost = 0.05, .late = 0.05});
    BOOST_TEST(after.overlap() < before.overlap());
    BOOST_TEST((after.longest_search < milliseconds{21}));
}

// Guards against a choice among engines that all read which makes their overlaps longer.
BOOST_AUTO_TEST_CASE(prompts_refused_by_all_engines_at_the_first_free_one_overlap_less) {
    const auto before =
        replay({.engines = 4, .prompts_per_s = 10, .first_free = false}, seconds{600});
    const auto after = replay({.engines = 4, .prompts_per_s = 10}, seconds{600});
    BOOST_TEST(after.overlap() < before.overlap());
    BOOST_TEST((after.shared < before.shared));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
