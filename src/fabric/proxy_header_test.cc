#include "fabric/proxy_header.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <vector>

namespace cardamomroute::fabric {
namespace {

endpoint ArbitraryEndpoint(bool ipv4) {
  endpoint value = ParseEndpoint(ipv4 ? "0.0.0.0:0" : "[2001:db8::]:0").value();
  for (size_t i = 12; i < value.ip.size(); ++i) {
    value.ip.at(i) = *rc::gen::arbitrary<uint8_t>();
  }
  value.port = *rc::gen::arbitrary<uint16_t>();
  return value;
}

RC_BOOST_PROP(HeaderGoesThereAndBack, ()) {
  const endpoint source = ArbitraryEndpoint(*rc::gen::arbitrary<bool>());
  const endpoint destination = ArbitraryEndpoint(*rc::gen::arbitrary<bool>());
  std::vector<uint8_t> datagram(kLongestProxyHeader);
  const size_t length = WriteProxyHeader(source, destination, datagram.data());
  const proxy_header header = ReadProxyHeader(datagram).value();
  RC_ASSERT(header.source == source);
  RC_ASSERT(header.destination == destination);
  RC_ASSERT(header.length == length);
  datagram.resize(*rc::gen::inRange<size_t>(0, length));
  RC_ASSERT(ReadProxyHeader(datagram).has_error());
}

RC_BOOST_PROP(AnyBytesAreReadOrRefused,
              (const std::vector<uint8_t>& datagram)) {
  const auto header = ReadProxyHeader(datagram);
  // RC_ASSERT evaluates both sides of ||.
  if (header.has_value()) {
    RC_ASSERT(header.value().length <= datagram.size());
  }
}

}  // namespace
}  // namespace cardamomroute::fabric
