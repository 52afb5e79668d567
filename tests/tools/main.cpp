#define BOOST_TEST_MODULE tools
#include <boost/test/unit_test.hpp>
