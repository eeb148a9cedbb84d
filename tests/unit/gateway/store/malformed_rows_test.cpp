#include "gateway/store/malformed_rows.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

struct malformed_rows_fixture {
    gateway::store::malformed_rows rows;
};

BOOST_FIXTURE_TEST_SUITE(malformed_rows_test, malformed_rows_fixture)

// Guards against a log line for each heartbeat of a writer that repeats a malformed row.
BOOST_AUTO_TEST_CASE(row_that_stays_malformed_is_new_once) {
    BOOST_TEST(rows.add("a"));
    BOOST_TEST(!rows.add("a"));
    BOOST_TEST(rows.add("b"));
}

BOOST_AUTO_TEST_CASE(row_that_was_valid_meanwhile_is_new_again) {
    rows.add("a");
    rows.remove("a");
    BOOST_TEST(rows.add("a"));
}

// Guards against memory that grows with keys that are never written again.
BOOST_AUTO_TEST_CASE(row_that_is_missing_from_the_whole_table_is_forgotten) {
    rows.add("a");
    rows.add("b");
    rows.keep_only({{"b", "", 1}, {"c", "", 2}});
    BOOST_TEST(!rows.add("b"));
    BOOST_TEST(rows.add("a"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
