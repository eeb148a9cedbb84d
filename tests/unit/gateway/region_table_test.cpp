#include "gateway/region_table.h"

#include <boost/test/unit_test.hpp>

#include "common/error.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;

struct region_table_fixture {
    const region_table expected{{"z1", "r1"}, {"z2", "r2"}};
};

BOOST_FIXTURE_TEST_SUITE(region_table_test, region_table_fixture)

// Guards against settings that cannot be read because the platform renders tables in another way.
BOOST_AUTO_TEST_CASE(region_table_in_any_notation_is_parsed) {
    for (const auto* text :
         {"z1=r1,z2=r2", "{\"z1\": \"r1\", \"z2\": \"r2\"}", "{'z1': 'r1', 'z2': 'r2'}\n",
          "{ z1 = \"r1\", z2 = \"r2\" }", "z1: r1\nz2: r2\n"}) {
        BOOST_TEST((parse_region_table(text) == expected), text);
    }
    BOOST_TEST(parse_region_table("").empty());
    BOOST_TEST(parse_region_table("{}").empty());
}

BOOST_AUTO_TEST_CASE(malformed_region_table_throws_format_error) {
    for (const auto* text : {"z1", "z1=", "=r1", "z1=r1,z1=r2"}) {
        BOOST_CHECK_THROW(parse_region_table(text), common::format_error);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
