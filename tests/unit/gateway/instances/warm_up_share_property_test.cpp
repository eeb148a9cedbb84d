#include <algorithm>
#include <deque>
#include <memory>
#include <set>

#include "common/digest.h"
#include "common/random.h"
#include "gateway/instances/send_window.h"
#include "gateway/instances/warm_up_share.h"
#include "support/property.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway::instances;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double rate = 9.3;
// What a cold instance tolerates in one second.
constexpr double tolerated = rate * 1.5 + 5;
constexpr std::size_t instance_count = 3;
constexpr milliseconds step{10};
constexpr int steps = 2000;
// A request takes at most this long to an instance.
constexpr int max_delivery_ms = 200;
// The names that a connected gateway has are those of the store at most this long ago.
constexpr int max_view_age_ms = 1000;

struct scenario {
    std::uint64_t seed = 0;
    std::size_t gateways = 5;
    /// Whether all gateways start at the beginning, or have been there for long.
    bool all_new = false;
    /// Probability of an event in a step.
    double events = 0.01;
    /// Gateways that may join while others are cut off. Each may add one permit.
    std::size_t max_joins_in_partition = 3;
};

struct simulated_gateway {
    std::string name;
    warm_up_share share;
    std::vector<send_window> windows{instance_count};
    common::time_point next_poll;
    common::time_point cut_off_until;
    common::time_point frozen_until;
    common::time_point removed_until;
    bool stopped = false;
};

/// Gateways that always have requests for all instances, which are cold all the time. The store's
/// names reach each of them late.
class fleet {
public:
    fleet(const scenario& drawn, const warm_up_share_options& options)
        : m_drawn{drawn}, m_options{options}, m_random{common::seeded_random(drawn.seed)},
          m_arrivals(instance_count) {
        const auto begin = drawn.all_new ? m_now : m_now - seconds{60};
        for (std::size_t n = 0; n < drawn.gateways; ++n) {
            add_gateway();
        }
        m_history.emplace_back(begin, current_names());
        for (auto& it : m_gateways) {
            // In a common start each gateway sees only some of the others at first.
            auto seen = current_names();
            if (drawn.all_new) {
                std::erase_if(seen,
                              [&](const auto& name) { return name != it->name && draw(2) == 0; });
            }
            it->share.set_names(seen, begin);
            it->share.confirm_names(begin);
        }
    }

    void run_step() {
        m_now += step;
        if (static_cast<double>(draw(1'000'000)) < m_drawn.events * 1e6) {
            happen();
        }
        for (auto& it : m_gateways) {
            if (it->stopped || it->frozen_until > m_now) {
                continue;
            }
            if (it->next_poll <= m_now && it->cut_off_until <= m_now) {
                poll(*it);
            }
            send(*it);
        }
        if (std::exchange(m_names_dirty, false) || any_row_returns()) {
            m_history.emplace_back(m_now, current_names());
        }
    }

    /// Returns the largest number of requests that arrived at one instance in any second.
    [[nodiscard]] std::size_t peak() {
        std::size_t result = 0;
        for (auto& it : m_arrivals) {
            std::sort(it.begin(), it.end());
            for (std::size_t first = 0, last = 0; last < it.size(); ++last) {
                while (it[last] - it[first] >= seconds{1}) {
                    ++first;
                }
                result = std::max(result, last - first + 1);
            }
        }
        return result;
    }

private:
    std::uint64_t draw(std::uint64_t bound) { return common::uniform_below(m_random, bound); }

    simulated_gateway& drawn_gateway() { return *m_gateways[draw(m_gateways.size())]; }

    void add_gateway() {
        auto name = "gateway-" + std::to_string(m_next_name++);
        m_gateways.push_back(std::make_unique<simulated_gateway>(
            simulated_gateway{name, warm_up_share{name, m_options}}));
    }

    [[nodiscard]] std::vector<std::string> current_names() const {
        std::vector<std::string> result;
        for (const auto& it : m_gateways) {
            if (!it->stopped && it->removed_until <= m_now) {
                result.push_back(it->name);
            }
        }
        return result;
    }

    [[nodiscard]] bool any_row_returns() const {
        return std::any_of(m_gateways.begin(), m_gateways.end(), [&](const auto& it) {
            return it->removed_until <= m_now && it->removed_until > m_now - step;
        });
    }

    [[nodiscard]] bool is_any_cut_off() const {
        return std::any_of(m_gateways.begin(), m_gateways.end(), [&](const auto& it) {
            return it->cut_off_until > m_now || it->frozen_until > m_now;
        });
    }

    void happen() {
        const auto time = milliseconds{500 + draw(8000)};
        auto& it = drawn_gateway();
        switch (draw(6)) {
        case 0:
            m_joins_in_partition = is_any_cut_off() ? m_joins_in_partition + 1 : 0;
            if (m_joins_in_partition <= m_drawn.max_joins_in_partition) {
                add_gateway();
                m_names_dirty = true;
            }
            return;
        case 1:
            it.stopped = m_gateways.size() > 2;
            m_names_dirty = true;
            return;
        case 2:
            it.frozen_until = m_now + time;
            return;
        case 3:
            it.cut_off_until = m_now + time;
            return;
        case 4:
            // A domain is cut off from the store and from the other gateways.
            for (auto& other : m_gateways) {
                if (draw(3) == 0) {
                    other->cut_off_until = m_now + time;
                }
            }
            return;
        default:
            // The row is removed by mistake, and the gateway registers again.
            it.removed_until = m_now + milliseconds{draw(2000)};
            m_names_dirty = true;
            return;
        }
    }

    /// Gives a gateway the names that the store had some time ago.
    void poll(simulated_gateway& it) {
        const auto at = m_now - milliseconds{draw(max_view_age_ms)};
        auto known = m_history.rbegin();
        while (std::next(known) != m_history.rend() && known->first > at) {
            ++known;
        }
        it.share.set_names(known->second, m_now);
        it.share.confirm_names(std::max(at, known->first));
        it.next_poll = m_now + milliseconds{draw(400)};
    }

    void send(simulated_gateway& from) {
        for (std::size_t n = 0; n < instance_count; ++n) {
            const auto permits = from.share.permits(n * 7919 + 1, rate, m_now).count;
            while (permits > 0 && from.windows[n].next_send(permits, m_now) == m_now) {
                from.windows[n].record(m_now);
                m_arrivals[n].push_back(m_now + milliseconds{draw(max_delivery_ms)});
            }
        }
    }

    scenario m_drawn;
    warm_up_share_options m_options;
    common::random_hook m_random;
    common::time_point m_now{seconds{1000}};
    std::vector<std::unique_ptr<simulated_gateway>> m_gateways;
    std::size_t m_next_name = 0;
    std::size_t m_joins_in_partition = 0;
    bool m_names_dirty = false;
    /// Names in the store since a time.
    std::deque<std::pair<common::time_point, std::vector<std::string>>> m_history;
    std::vector<std::vector<common::time_point>> m_arrivals;
};

scenario draw_scenario(std::size_t gateways) {
    scenario it;
    it.seed = *rc::gen::arbitrary<std::uint32_t>();
    it.gateways = gateways;
    it.all_new = *rc::gen::arbitrary<bool>();
    it.events = *rc::gen::inRange(0, 30) / 1000.0;
    return it;
}

std::size_t peak_of(const scenario& drawn, const warm_up_share_options& options) {
    fleet tested{drawn, options};
    for (int n = 0; n < steps; ++n) {
        tested.run_step();
    }
    return tested.peak();
}

} // namespace

struct warm_up_share_property_fixture {
    static constexpr std::uint64_t seed = 20261206;

    /// Whether the bound holds in all of several runs.
    static bool holds(std::size_t gateways, const warm_up_share_options& options) {
        for (std::uint64_t n = 0; n < 8; ++n) {
            if (static_cast<double>(peak_of({.seed = seed + n, .gateways = gateways}, options)) >
                tolerated) {
                return false;
            }
        }
        return true;
    }
};

BOOST_FIXTURE_TEST_SUITE(warm_up_share_property_test, warm_up_share_property_fixture)

// Guards against instances that crash because all gateways together send more than a cold instance
// tolerates, while gateways join, stop, freeze, are cut off or lose their row.
BOOST_AUTO_TEST_CASE(sum_of_few_gateways_whose_views_differ_stays_within_the_limit) {
    check_property(seed, 300, [] {
        const auto gateways = static_cast<std::size_t>(*rc::gen::inRange(2, 9));
        RC_ASSERT(static_cast<double>(peak_of(draw_scenario(gateways), {})) <= tolerated);
    });
}

BOOST_AUTO_TEST_CASE(sum_of_many_gateways_whose_views_differ_stays_within_the_limit) {
    check_property(seed, 12, [] {
        const auto gateways = static_cast<std::size_t>(*rc::gen::inRange(20, 101));
        RC_ASSERT(static_cast<double>(peak_of(draw_scenario(gateways), {})) <= tolerated);
    });
}

// Guards against a limit that holds because nothing is sent: half of the permits are used.
BOOST_AUTO_TEST_CASE(gateways_that_know_each_other_use_the_limit) {
    for (const std::size_t gateways : {1U, 5U, 100U}) {
        BOOST_TEST(peak_of({.seed = seed, .gateways = gateways, .events = 0}, {}) >= 12U);
    }
}

// The next cases show that the simulation finds what the division guards against.

BOOST_AUTO_TEST_CASE(division_with_at_least_one_permit_for_each_gateway_exceeds_the_limit) {
    warm_up_share_options broken;
    broken.divide = [](std::size_t total, std::size_t /*rank*/, std::size_t gateways) {
        return std::max<std::size_t>(1, total / std::max<std::size_t>(1, gateways));
    };
    BOOST_TEST(!holds(100, broken));
}

BOOST_AUTO_TEST_CASE(division_that_rounds_up_exceeds_the_limit) {
    warm_up_share_options broken;
    broken.divide = [](std::size_t total, std::size_t /*rank*/, std::size_t gateways) {
        return (total + gateways - 1) / gateways;
    };
    BOOST_TEST(!holds(8, broken));
}

BOOST_AUTO_TEST_CASE(new_gateways_that_do_not_wait_exceed_the_limit) {
    warm_up_share_options broken;
    broken.join_delay = -send_window::length;
    broken.max_names_age = -send_window::length;
    broken.divide = [](std::size_t total, std::size_t rank, std::size_t gateways) {
        // Both shares have the size of the full one, so that their age does not matter.
        return deal_permits(std::max(total, divide_warm_up_rate(rate).full), rank, gateways);
    };
    BOOST_TEST(!holds(5, broken));
}

BOOST_AUTO_TEST_CASE(names_that_are_used_without_confirmation_exceed_the_limit) {
    warm_up_share_options broken;
    broken.divide = [](std::size_t total, std::size_t rank, std::size_t gateways) {
        return deal_permits(std::max(total, divide_warm_up_rate(rate).full), rank, gateways);
    };
    BOOST_TEST(!holds(3, broken));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
