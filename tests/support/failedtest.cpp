// Tells TestFolder about failed checks of Boost.Test. Belongs to each test program with such folders.
#include "support/testfolder.h"

// main() belongs to the file of the tests.
#undef BOOST_TEST_MODULE
#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>

namespace
{
namespace ut = boost::unit_test;

struct FailedTestReport {
    FailedTestReport()
    {
        Yuccagrade::Test::TestFolder::hasTestFailed = [] {
            return !ut::results_collector.results(ut::framework::current_test_case().p_id).passed();
        };
    }
};
}

BOOST_TEST_GLOBAL_CONFIGURATION(FailedTestReport);
