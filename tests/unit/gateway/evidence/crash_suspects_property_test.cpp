#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "gateway/evidence/crash_suspects.h"
#include "support/property.h"

namespace jujubemast::tests {

using gateway::crash_evidence;
using gateway::incarnation;
using gateway::prompt_part_id;
using gateway::evidence::crash_suspects;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr prompt_part_id deadly_part = 1000;
constexpr prompt_part_id popular_parts = 5;
constexpr auto step = milliseconds{10};

/// What happens in one simulated run.
struct scenario {
    unsigned seed = 0;
    int instances = 6;
    double requests_per_step = 0.5;
    /// Probabilities in each step.
    double crash = 0;
    double crash_of_half = 0;
    double reset = 0;
    double deadly_request = 0;
};

/// A fleet of instances and the requests at it. Each event becomes evidence as a gateway sees it.
class fleet {
public:
    explicit fleet(const scenario& it) : m_scenario{it}, m_random{it.seed} {
        for (int n = 0; n < it.instances; ++n) {
            m_instances.push_back(n);
        }
        m_next_instance = it.instances;
    }

    /// Runs one step.
    void run_step(common::time_point now) {
        arrive(now);
        for (auto& it : std::exchange(m_requests, {})) {
            advance(it, now);
        }
        if (happens(m_scenario.crash)) {
            crash(pick(), now);
        }
        if (happens(m_scenario.crash_of_half)) {
            for (std::size_t n = 0; n < m_instances.size() / 2; ++n) {
                crash(n, now);
            }
        }
        if (happens(m_scenario.reset)) {
            reset(pick(), now);
        }
    }

    crash_suspects suspects;
    int deadly_crashes = 0;

private:
    struct request {
        std::vector<prompt_part_id> parts;
        std::size_t slot = 0;
        int instance = 0;
        common::time_point sent;
        common::time_point begins;
        common::time_point ends;
    };

    bool happens(double probability) {
        return std::uniform_real_distribution<>{}(m_random) < probability;
    }

    std::size_t pick() {
        return std::uniform_int_distribution<std::size_t>{0, m_instances.size() - 1}(m_random);
    }

    common::duration between(int low, int high) {
        return milliseconds{std::uniform_int_distribution<>{low, high}(m_random)};
    }

    static incarnation identity(int instance) { return {std::to_string(instance), 1, "a:1"}; }

    void arrive(common::time_point now) {
        if (happens(m_scenario.requests_per_step)) {
            const auto popular = std::uniform_int_distribution<int>{0, popular_parts - 1}(m_random);
            const auto rare = std::uniform_int_distribution<int>{100, 200}(m_random);
            send({static_cast<prompt_part_id>(popular), static_cast<prompt_part_id>(rare)}, now);
        }
        if (happens(m_scenario.deadly_request)) {
            send({0, deadly_part}, now);
        }
    }

    void send(const std::vector<prompt_part_id>& parts, common::time_point now) {
        if (suspects.quarantine_left(parts, now)) {
            return;
        }
        const auto slot = pick();
        const auto begins = now + between(30, 150);
        m_requests.push_back(
            {parts, slot, m_instances[slot], now, begins, begins + between(200, 1500)});
    }

    void advance(const request& it, common::time_point now) {
        if (it.instance != m_instances[it.slot]) {
            // Its instance has crashed in this step.
            return;
        }
        if (now >= it.begins) {
            if (it.parts.back() == deadly_part) {
                ++deadly_crashes;
                m_requests.push_back(it);
                crash(it.slot, now);
                return;
            }
            if (suspects.is_wrongly_accused(identity(it.instance), it.sent)) {
                crash_evidence evidence;
                evidence.alive.push_back({identity(it.instance), it.sent});
                suspects.apply(evidence, now);
            }
        }
        if (now - it.begins >= suspects.limits().sound_time) {
            crash_evidence evidence;
            for (const auto part : it.parts) {
                evidence.sound.push_back({part, it.begins});
            }
            suspects.apply(evidence, now);
        }
        if (now < it.ends) {
            m_requests.push_back(it);
        }
    }

    /// Breaks the requests at an instance.
    void reset(std::size_t slot, common::time_point now) {
        const auto instance = m_instances[slot];
        crash_evidence evidence;
        std::erase_if(m_requests, [&](const request& it) {
            if (it.instance != instance) {
                return false;
            }
            if (now - it.begins < suspects.limits().sound_time) {
                evidence.crashes.push_back({identity(instance), it.parts, now});
            }
            return true;
        });
        suspects.apply(evidence, now);
    }

    void crash(std::size_t slot, common::time_point now) {
        reset(slot, now);
        m_instances[slot] = m_next_instance++;
    }

    scenario m_scenario;
    std::mt19937 m_random;
    std::vector<int> m_instances;
    int m_next_instance = 0;
    std::vector<request> m_requests;
};

scenario draw_scenario(int min_instances = 5, int max_instances = 29) {
    scenario it;
    it.seed = *rc::gen::arbitrary<unsigned>();
    it.instances = *rc::gen::inRange(min_instances, max_instances + 1);
    it.crash = *rc::gen::inRange(0, 40) / 1000.0;
    it.crash_of_half = *rc::gen::inRange(0, 10) / 1000.0;
    it.reset = *rc::gen::inRange(0, 50) / 1000.0;
    return it;
}

} // namespace

struct crash_suspects_property_fixture {
    static constexpr std::uint64_t seed = 20261205;
    static constexpr int cases = 60;
    static constexpr int small_fleet_cases = 1000;
    static constexpr int steps = 1500;
    const common::time_point start{seconds{1000}};

    /// Whether a popular part was quarantined at any time.
    static bool is_popular_part_quarantined(fleet& tested, common::time_point now) {
        for (prompt_part_id part = 0; part < popular_parts; ++part) {
            if (tested.suspects.quarantine_left({part}, now)) {
                return true;
            }
        }
        return false;
    }
};

BOOST_FIXTURE_TEST_SUITE(crash_suspects_property_test, crash_suspects_property_fixture)

// Guards against ordinary crashes, failures of many instances at once and reset connections that
// make the gateways refuse sound requests.
BOOST_AUTO_TEST_CASE(popular_parts_when_instances_fail_at_random_are_never_quarantined) {
    check_property(seed, cases, [this] {
        fleet tested{draw_scenario()};
        for (int n = 0; n < steps; ++n) {
            const auto now = start + n * step;
            tested.run_step(now);
            RC_ASSERT(!is_popular_part_quarantined(tested, now));
        }
    });
}

// Guards against the same on a fleet so small that a few failures break most requests.
BOOST_AUTO_TEST_CASE(popular_parts_of_few_instances_that_fail_at_random_are_never_quarantined) {
    check_property(seed, small_fleet_cases, [this] {
        fleet tested{draw_scenario(3, 4)};
        for (int n = 0; n < steps; ++n) {
            const auto now = start + n * step;
            tested.run_step(now);
            RC_ASSERT(!is_popular_part_quarantined(tested, now));
        }
    });
}

// Guards against a deadly part that takes instance after instance, and against the quarantine of
// the popular part that its requests have in common with sound ones.
BOOST_AUTO_TEST_CASE(deadly_part_when_it_comes_again_and_again_is_the_one_that_is_quarantined) {
    check_property(seed, cases, [this] {
        auto drawn = draw_scenario();
        // Requests at least the settle time apart on average.
        drawn.deadly_request = *rc::gen::inRange(2, 25) / 1000.0;
        fleet tested{drawn};
        int sent_after_verdict = 0;
        bool is_known = false;
        for (int n = 0; n < steps; ++n) {
            const auto now = start + n * step;
            const auto before = tested.deadly_crashes;
            tested.run_step(now);
            RC_ASSERT(!is_popular_part_quarantined(tested, now));
            sent_after_verdict += is_known ? tested.deadly_crashes - before : 0;
            is_known = is_known || tested.suspects.quarantine_left({deadly_part}, now).has_value();
        }
        // Those that had been sent before the verdict.
        RC_ASSERT(sent_after_verdict <= 2);
        RC_ASSERT(is_known || tested.deadly_crashes < 5);
        RC_ASSERT(tested.deadly_crashes <= 8);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
