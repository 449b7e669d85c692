// Tells TestFolder about failed checks of Boost.Test. Belongs to each test program with such folders.
#include "support/testfolder.h"

// main() belongs to the file of the tests.
#undef BOOST_TEST_MODULE
#include <boost/test/tree/observer.hpp>
#include <boost/test/unit_test.hpp>

namespace
{
namespace ut = boost::unit_test;
using Yuccagrade::Test::TestFolder;

class FailureObserver : public ut::test_observer
{
public:
    FailureObserver()
    {
        ut::framework::register_observer(*this);
    }
    ~FailureObserver() override
    {
        ut::framework::deregister_observer(*this);
    }
    FailureObserver(const FailureObserver &) = delete;
    FailureObserver &operator=(const FailureObserver &) = delete;

    void assertion_result(ut::assertion_result result) override
    {
        if (result == ut::AR_FAILED) {
            TestFolder::noteFailure();
        }
    }
    void exception_caught(const boost::execution_exception & /*exception*/) override
    {
        TestFolder::noteFailure();
    }
};

const FailureObserver failureObserver;
}
