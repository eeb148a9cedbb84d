#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>

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
    /// Share of the messages that are lost, and of those that take 30 ms longer.
    double lost = 0;
    double late = 0;
};

struct replay_result {
    std::size_t readings = 0;
    /// Readings that overlap with another one at their engine.
    std::size_t overlapping = 0;
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
                   common::uniform_below(m_random, 500) + 1, m_now, reading_search{m_now}});
        if (!m_load.with_grants) {
            send(*it, best_engine(*it, {}));
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
        send_message([this, it, number, &target] {
            const bool granted =
                m_schedules[target.owner].request(target.name, reading_time(it->tokens), m_now);
            send_message([this, it, number, granted] {
                apply(it, it->search.answered(number, granted, m_now));
            });
        });
    }

    void apply(const std::shared_ptr<prompt>& it, reading_step step) {
        switch (step) {
        case reading_step::ask:
            ask(it);
            return;
        case reading_step::send_there:
            send(*it, *std::find_if(m_engines.begin(), m_engines.end(), [&](const engine& known) {
                return known.name == it->search.engine();
            }));
            return;
        case reading_step::send_anywhere:
            ++m_result.without_grant;
            send(*it, best_engine(*it, it->search.refused()));
            return;
        case reading_step::none:
            return;
        }
    }

    void send(const prompt& it, engine& to) {
        m_result.longest_search = std::max(m_result.longest_search, m_now - it.arrived);
        m_result.at_first_engine += &best_engine(it, {}) == &to ? 1 : 0;
        const auto begin = m_now + milliseconds{1 + static_cast<int>(random_unit() * 4)};
        to.readings.emplace_back(begin, begin + reading_time(it.tokens));
    }

    void count_overlaps() {
        for (auto& it : m_engines) {
            std::sort(it.readings.begin(), it.readings.end());
            for (const auto& reading : it.readings) {
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
    static replay_result replay(const replay_load& load) {
        const auto result = reading_replay{load}.run(seconds{60});
        BOOST_TEST_MESSAGE(load.prompts_per_s
                           << " prompts/s, grants " << load.with_grants << ", lost " << load.lost
                           << ", late " << load.late << ": " << result.readings << " readings, "
                           << result.overlap() << " overlap, " << result.messages << " messages, "
                           << result.without_grant << " without grant, " << result.at_first_engine
                           << " at the first engine, longest search "
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
    // A question and a response for each prompt, and some more for refusals.
    BOOST_TEST(after.messages < 3 * after.readings);
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
