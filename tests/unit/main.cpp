#define BOOST_TEST_MODULE jujubemast
#include <boost/test/included/unit_test.hpp>

#include "logging/logger.h"

namespace {

/// Sets up logging once for all tests.
struct log_setup {
    log_setup() { jujubemast::logging::initialize("error"); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(log_setup);
