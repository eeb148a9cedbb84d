#pragma once

#include <cstdint>
#include <sstream>
#include <string>
#include <utility>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace jujubemast::tests {

/// Checks a property with the given number of random cases from a fixed seed, and prints a minimal
/// counterexample if it fails.
template <typename Testable>
void check_property(std::uint64_t seed, int cases, Testable&& property) {
    const auto& test = boost::unit_test::framework::current_test_case();
    rc::detail::TestMetadata metadata;
    metadata.id = test.full_name();
    metadata.description = test.p_name;
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = cases;
    const auto result = rc::detail::checkProperty(
        rc::detail::toProperty(std::forward<Testable>(property)), metadata, parameters);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    BOOST_TEST_MESSAGE(test.p_name << ": seed=" << seed << " " << text.str());
    BOOST_TEST(result.template is<rc::detail::SuccessResult>(), "seed=" << seed << "\n"
                                                                        << text.str());
}

} // namespace jujubemast::tests
