#include "base/endpoint.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace cardamomroute {
namespace {

BOOST_AUTO_TEST_CASE(ReadsBothAddressFamilies) {
  const endpoint ipv4 = ParseEndpoint("192.0.2.1:5683").value();
  BOOST_TEST(IsIpv4(ipv4));
  BOOST_TEST(ipv4.port == 5683);
  BOOST_TEST(ToString(ipv4) == "192.0.2.1:5683");
  const endpoint ipv6 = ParseEndpoint("[2001:db8::1]:80").value();
  BOOST_TEST(!IsIpv4(ipv6));
  BOOST_TEST(ToString(ipv6) == "[2001:db8::1]:80");
}

BOOST_AUTO_TEST_CASE(RefusesWhatIsNotANumericEndpoint) {
  for (const char* text :
       {"", ":1", "host:1", "192.0.2.1", "192.0.2.1:", "192.0.2.1:65536",
        "2001:db8::1:80", "[::1:80", "192.0.2.1:-1", "[::1]80"}) {
    BOOST_TEST_CONTEXT(text) { BOOST_TEST(ParseEndpoint(text).has_error()); }
  }
}

RC_BOOST_PROP(TextFormGoesThereAndBack, ()) {
  endpoint value;
  for (uint8_t& byte : value.ip) {
    byte = *rc::gen::arbitrary<uint8_t>();
  }
  value.port = *rc::gen::arbitrary<uint16_t>();
  RC_ASSERT(ParseEndpoint(ToString(value)).value() == value);
}

}  // namespace
}  // namespace cardamomroute
