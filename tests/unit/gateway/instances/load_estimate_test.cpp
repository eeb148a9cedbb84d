#include "gateway/instances/load_estimate.h"

#include <array>
#include <cmath>
#include <random>

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::gateway::instances;

/// Compares the estimate of one gateway with the number of requests that all gateways have at
/// model engines with 64 slots.
struct load_estimate_fixture {
    static constexpr std::size_t slots = 64;
    static constexpr std::size_t gateways = 27;
    static constexpr std::size_t engines = 49;
    std::mt19937 random{1};

    struct releases {
        /// Share of the requests at engines with free slots whose inputs are released.
        double in_time = 0;
        /// Share of all requests whose inputs are released at an engine without free slots.
        double too_early = 0;
    };

    /// Draws the load of the engines with a relative spread of a half and the share of each
    /// gateway in it.
    releases release_shares(const free_slot_hook& has_free_slot, double mean_load) {
        std::gamma_distribution<> load{4, mean_load / 4};
        std::array<std::size_t, 2> released{};
        std::array<std::size_t, 2> sent{};
        for (int round = 0; round < 40; ++round) {
            std::array<std::array<std::size_t, engines>, gateways> requests{};
            std::array<std::size_t, engines> total{};
            for (std::size_t e = 0; e < engines; ++e) {
                std::poisson_distribution<std::size_t> of_gateway{load(random) / gateways};
                for (auto& it : requests) {
                    it[e] = of_gateway(random);
                    total[e] += it[e];
                }
            }
            for (const auto& own : requests) {
                known_load known{0, 0, engines, gateways, slots};
                for (const auto n : own) {
                    known.own_in_pool += n;
                }
                for (std::size_t e = 0; e < engines; ++e) {
                    known.own_here = own[e];
                    const bool is_full = total[e] >= slots;
                    ++sent[is_full ? 1 : 0];
                    released[is_full ? 1 : 0] += has_free_slot(known) ? 1 : 0;
                }
            }
        }
        return {static_cast<double>(released[0]) / static_cast<double>(sent[0]),
                static_cast<double>(released[1]) / static_cast<double>(sent[0] + sent[1])};
    }
};

BOOST_FIXTURE_TEST_SUITE(load_estimate_test, load_estimate_fixture)

// Guards against inputs that stay in result memory for the whole wait at an engine because two
// requests of one gateway are taken for 54 of its 64 slots.
BOOST_AUTO_TEST_CASE(engine_with_two_requests_of_this_gateway_in_an_idle_pool_has_free_slots) {
    const known_load known{1, 8, engines, gateways, slots};
    BOOST_TEST(has_free_slot_by_pool(known));
    BOOST_TEST(!has_free_slot_by_own_requests(known));
}

BOOST_AUTO_TEST_CASE(engine_of_a_full_pool_has_no_free_slot_whatever_this_gateway_has_there) {
    for (const std::size_t own : {0U, 1U, 2U, 4U}) {
        BOOST_TEST(!has_free_slot_by_pool({own, 2 * engines, engines, gateways, slots}));
    }
}

BOOST_AUTO_TEST_CASE(engine_of_a_single_gateway_has_a_free_slot_until_all_are_its_own) {
    BOOST_TEST(has_free_slot_by_pool({slots - 1, 500, engines, 1, slots}));
    BOOST_TEST(!has_free_slot_by_pool({slots, 500, engines, 1, slots}));
}

BOOST_AUTO_TEST_CASE(engine_of_five_gateways_with_many_requests_of_this_one_has_no_free_slot) {
    BOOST_TEST(has_free_slot_by_pool({2, 2 * engines, engines, 5, slots}));
    BOOST_TEST(!has_free_slot_by_pool({20, 2 * engines, engines, 5, slots}));
}

// Guards against a release while the request may still wait for a slot, which costs the request
// its inputs, and against an estimate that allows hardly any release at ordinary load.
BOOST_AUTO_TEST_CASE(free_slots_of_random_pools_are_found_at_free_engines_only) {
    for (const double mean : {8.0, 16.0, 24.0, 40.0, 60.0}) {
        const auto before = release_shares(has_free_slot_by_own_requests, mean);
        const auto now = release_shares(has_free_slot_by_pool, mean);
        BOOST_TEST_MESSAGE("mean load " << mean << ": released in time " << before.in_time << " -> "
                                        << now.in_time << ", too early " << before.too_early
                                        << " -> " << now.too_early);
        BOOST_TEST(now.too_early <= 0.005);
        if (4 * mean <= static_cast<double>(slots)) {
            BOOST_TEST(before.in_time < 0.9);
            BOOST_TEST(now.in_time >= 0.95);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
