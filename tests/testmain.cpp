// Defines main() of every test program.
#define BOOST_TEST_MODULE yuccagrade
#include <boost/test/unit_test.hpp>
