#include "gateway/crash_evidence.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

struct crash_evidence_fixture {
    gateway::crash_evidence all;

    crash_evidence_fixture() {
        const common::time_point now{};
        all.receiver = "g1";
        for (std::uint64_t n = 0; n < 100; ++n) {
            all.sound.push_back({n, now});
            all.crashes.push_back({{"i" + std::to_string(n), 1, "a"},
                                   std::vector<gateway::prompt_part_id>(n, n),
                                   now});
        }
        all.quarantines.push_back({7, 1, now, now});
        all.trials.push_back({7, now});
        all.alive.push_back({{"i1", 1, "a"}, now});
    }
};

BOOST_FIXTURE_TEST_SUITE(crash_evidence_test, crash_evidence_fixture)

// Guards against messages that other gateways refuse for their size, and against crashes that are
// applied before what dismisses them.
BOOST_AUTO_TEST_CASE(divided_evidence_has_small_parts_with_all_reports_in_order) {
    constexpr std::size_t weight = 50;
    gateway::crash_evidence found;
    found.receiver = all.receiver;
    bool has_crashes = false;
    for (const auto& part : all.divide(weight)) {
        BOOST_TEST(part.receiver == "g1");
        std::size_t size =
            part.sound.size() + part.alive.size() + part.trials.size() + part.quarantines.size();
        for (const auto& it : part.crashes) {
            size += 1 + it.parts.size();
        }
        BOOST_TEST((size <= weight || part.crashes.size() == 1));
        BOOST_TEST(!(has_crashes && !part.sound.empty()));
        has_crashes = has_crashes || !part.crashes.empty();
        found.add(part);
    }
    BOOST_TEST((found.sound == all.sound));
    BOOST_TEST((found.crashes == all.crashes));
    BOOST_TEST((found.alive == all.alive));
    BOOST_TEST((found.trials == all.trials));
    BOOST_TEST((found.quarantines == all.quarantines));
    BOOST_TEST(gateway::crash_evidence{}.divide(weight).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
