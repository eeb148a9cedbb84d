#include "gateway/stages/piece_counts.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "gateway/stages/stage_progress.h"

namespace jujubemast::tests {

using gateway::stages::piece_count_fault;
using std::chrono::milliseconds;

struct piece_counts_fixture {
    /// Each stage depends on the one before it.
    std::vector<gateway::stage_spec> chain{
        {"a", {}, 100}, {"b", {0}, 100}, {"c", {1}, 100}, {"d", {2}, 100}};
    /// 1 and 2 depend on 0, 3 depends on both.
    std::vector<gateway::stage_spec> diamond{
        {"a", {}, 100}, {"b", {0}, 100}, {"c", {0}, 100}, {"d", {1, 2}, 100}};

    static std::string check(const std::vector<gateway::stage_spec>& stages,
                             const std::vector<std::uint32_t>& counts) {
        return std::string{common::to_name(gateway::stages::check_piece_counts(stages, counts))};
    }

    static bool never(std::uint32_t /*stage*/) { return false; }

    /// Makes all stages, with one result each. Returns the inputs of each stage that is made.
    static std::map<std::uint32_t, std::vector<std::string>>
    make_all(gateway::stages::stage_progress& progress) {
        std::map<std::uint32_t, std::vector<std::string>> inputs;
        for (auto ready = progress.take_ready(never); !ready.empty();
             ready = progress.take_ready(never)) {
            for (const auto n : ready) {
                inputs[n] = progress.inputs_of(n);
                progress.complete(n, {"of-" + std::to_string(n)});
            }
        }
        return inputs;
    }
};

BOOST_FIXTURE_TEST_SUITE(piece_counts_test, piece_counts_fixture)

BOOST_AUTO_TEST_CASE(counts_of_all_stages_are_usable) {
    BOOST_TEST(check(chain, {1, 4, 6, 2}) == "none");
    BOOST_TEST(check(diamond, {1, 4, 6, 2}) == "none");
    BOOST_TEST(check({}, {}) == "none");
    BOOST_TEST(check({}, {3}) == "none");
}

// Guards against pieces that are made from the key of the request, as if their stage depended on
// none, because the request omits the stage before.
BOOST_AUTO_TEST_CASE(counts_that_leave_a_stage_without_inputs_are_not_usable) {
    BOOST_TEST(check(chain, {1, 0, 6, 2}) == "missing_input");
    BOOST_TEST(check(chain, {0, 1, 6, 2}) == "missing_input");
    BOOST_TEST(check(chain, {1, 0, 0, 2}) == "missing_input");
    BOOST_TEST(check(chain, {0, 0, 0, 2}) == "missing_input");
    BOOST_TEST(check(diamond, {1, 0, 0, 2}) == "missing_input");
    BOOST_TEST(check(diamond, {0, 1, 1, 2}) == "missing_input");
}

BOOST_AUTO_TEST_CASE(counts_that_omit_the_last_stages_are_usable) {
    BOOST_TEST(check(chain, {1, 4, 6, 0}) == "none");
    BOOST_TEST(check(chain, {1, 0, 0, 0}) == "none");
    BOOST_TEST(check(diamond, {1, 4, 0, 2}) == "none");
}

// Guards against the refusal of requests that need no stage.
BOOST_AUTO_TEST_CASE(counts_that_omit_all_stages_are_usable) {
    BOOST_TEST(check(chain, {0, 0, 0, 0}) == "none");
    BOOST_TEST(check(chain, {}) == "none");
    gateway::stages::stage_progress progress{chain, {}};
    BOOST_TEST(progress.done());
    BOOST_TEST(progress.final_inputs().empty());
}

BOOST_AUTO_TEST_CASE(stages_without_a_count_are_omitted) {
    BOOST_TEST(check(chain, {1, 4}) == "none");
    BOOST_TEST(check(diamond, {1, 4}) == "none");
}

BOOST_AUTO_TEST_CASE(counts_of_stages_that_the_route_lacks_are_not_usable) {
    BOOST_TEST(check(chain, {1, 4, 6, 2, 1}) == "unknown_stage");
    BOOST_TEST(check(chain, {1, 4, 6, 2, 0}) == "none");
}

// Guards against requests that no upstream accepts: the results of the last stage that is made were
// not among the inputs, because a stage that the request omits depends on it.
BOOST_AUTO_TEST_CASE(request_that_omits_the_last_stages_gets_the_results_of_the_one_before) {
    gateway::stages::stage_progress progress{chain, {1, 1, 0, 0}};
    make_all(progress);
    BOOST_TEST(progress.done());
    BOOST_TEST(progress.is_last(1));
    BOOST_TEST(progress.take_releasable(false).size() == 1U);
    BOOST_TEST(progress.final_inputs() == (std::vector<std::string>{"of-1"}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(stage_of_a_diamond_with_one_side_omitted_gets_the_results_of_the_other) {
    gateway::stages::stage_progress progress{diamond, {1, 1, 0, 1}};
    const auto inputs = make_all(progress);
    BOOST_TEST(inputs.size() == 3U);
    BOOST_TEST(inputs.at(3) == (std::vector<std::string>{"of-1"}),
               boost::test_tools::per_element());
    BOOST_TEST(progress.sole_input_service(3) == "b");
    BOOST_TEST(progress.sole_input_service(1) == "a");
    BOOST_TEST(progress.final_inputs() == (std::vector<std::string>{"of-3"}),
               boost::test_tools::per_element());
}

// Guards against a last stage that is deferred, or estimated, as if the omitted ones were made.
BOOST_AUTO_TEST_CASE(omitted_stages_do_not_count_in_estimates) {
    const auto duration_of = [](std::uint32_t n, common::duration /*start*/) -> common::duration {
        BOOST_TEST(n != 2U);
        return milliseconds{200};
    };
    const gateway::stages::stage_progress progress{diamond, {1, 1, 0, 1}};
    BOOST_TEST((progress.critical_path_end({}, {}, duration_of) == milliseconds{600}));
    const gateway::stages::stage_progress ends_early{diamond, {1, 1, 0, 0}};
    BOOST_TEST((ends_early.critical_path_end({}, {}, duration_of) == milliseconds{400}));
}

// Guards against a property that holds for the graphs above only: whatever a request omits, each
// piece of a stage with dependencies has inputs, all of them from stages that it depends on, and
// the request gets all results that no stage reads.
BOOST_AUTO_TEST_CASE(every_usable_request_has_the_inputs_that_its_stages_depend_on) {
    for (const auto& stages : {chain, diamond}) {
        for (std::uint32_t omitted = 0; omitted < 16; ++omitted) {
            std::vector<std::uint32_t> counts;
            for (std::uint32_t n = 0; n < 4; ++n) {
                counts.push_back((omitted >> n) % 2 == 0 ? 1 : 0);
            }
            if (gateway::stages::check_piece_counts(stages, counts) != piece_count_fault::none) {
                continue;
            }
            gateway::stages::stage_progress progress{stages, counts};
            auto unread = std::set<std::string>{};
            for (const auto& [n, inputs] : make_all(progress)) {
                BOOST_TEST(counts[n] == 1U);
                BOOST_TEST(inputs.empty() == stages[n].dependencies.empty());
                unread.insert("of-" + std::to_string(n));
                for (const auto& it : inputs) {
                    const auto from = static_cast<std::size_t>(std::stoul(it.substr(3)));
                    const auto& needed = stages[n].dependencies;
                    BOOST_TEST((std::find(needed.begin(), needed.end(), from) != needed.end()));
                    unread.erase(it);
                }
            }
            const auto final_inputs = progress.final_inputs();
            BOOST_TEST((std::set<std::string>(final_inputs.begin(), final_inputs.end()) == unread));
            BOOST_TEST(final_inputs.empty() == (omitted == 15));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
