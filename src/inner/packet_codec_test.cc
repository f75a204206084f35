#include "inner/packet_codec.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace cardamomroute::inner {
namespace {

packet_header SampleHeader() {
  packet_header header;
  header.set_kind(FROM_CALLER);
  SetCaller(ParseEndpoint("192.0.2.7:40000").value(), &header);
  SetBalancer(ParseEndpoint("[2001:db8::5]:7000").value(), &header);
  header.set_service(3);
  header.set_view_version(77);
  header.set_home(5);
  return header;
}

RC_BOOST_PROP(PacketGoesThereAndBack, (const std::vector<uint8_t>& payload)) {
  std::vector<uint8_t> datagram;
  EncodePacket(SampleHeader(), payload, &datagram);
  packet_header header;
  const auto decoded = DecodePacket(datagram, &header).value();
  RC_ASSERT(std::vector<uint8_t>(decoded.begin(), decoded.end()) == payload);
  RC_ASSERT(CallerOf(header) == CallerOf(SampleHeader()));
  RC_ASSERT(BalancerOf(header) == BalancerOf(SampleHeader()));
  RC_ASSERT(header.view_version() == 77U);
}

RC_BOOST_PROP(DamagedPacketsAreReadOrRefused, ()) {
  std::vector<uint8_t> datagram;
  EncodePacket(SampleHeader(), {}, &datagram);
  datagram.resize(*rc::gen::inRange<size_t>(0, datagram.size()));
  if (!datagram.empty()) {
    datagram.at(*rc::gen::inRange<size_t>(0, datagram.size())) =
        *rc::gen::arbitrary<uint8_t>();
  }
  packet_header header;
  const auto decoded = DecodePacket(datagram, &header);
  // RC_ASSERT evaluates both sides of ||.
  if (decoded.has_value()) {
    RC_ASSERT(decoded.value().size() <= datagram.size());
  }
}

BOOST_AUTO_TEST_CASE(UnknownFieldsAreCarriedAndBadAddressesRefused) {
  packet_header sample = SampleHeader();
  std::string bytes = sample.SerializeAsString();
  bytes += std::string("\xf8\x07\x01", 3);  // Field 127, varint 1.
  bytes.insert(0, std::string({1, 0, static_cast<char>(bytes.size())}));
  std::vector<uint8_t> datagram(bytes.begin(), bytes.end());
  packet_header header;
  BOOST_TEST(DecodePacket(datagram, &header).has_value());
  sample.set_caller_ip("short");
  EncodePacket(sample, {}, &datagram);
  BOOST_TEST(DecodePacket(datagram, &header).has_error());
}

}  // namespace
}  // namespace cardamomroute::inner
