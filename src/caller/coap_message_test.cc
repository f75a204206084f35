#include "caller/coap_message.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace cardamomroute {
namespace {

rc::Gen<std::string> BytesUpTo(size_t longest) {
  return rc::gen::mapcat(rc::gen::inRange<size_t>(0, longest + 1),
                         [](size_t length) {
                           return rc::gen::container<std::string>(
                               length, rc::gen::arbitrary<char>());
                         });
}

// Options without a length limit in RFC 7252 but that of the encoding, and
// those that the project uses.
rc::Gen<message_option> AnyOption() {
  return rc::gen::oneOf(
      rc::gen::build<message_option>(
          rc::gen::set(&message_option::number,
                       rc::gen::inRange<uint16_t>(2000, 65535)),
          rc::gen::set(&message_option::value, BytesUpTo(300))),
      rc::gen::build<message_option>(
          rc::gen::set(&message_option::number,
                       rc::gen::element<uint16_t>(6, 14, 23, 27, 292)),
          rc::gen::set(&message_option::value, BytesUpTo(3))),
      rc::gen::build<message_option>(
          rc::gen::set(&message_option::number,
                       rc::gen::element<uint16_t>(11, 252)),
          rc::gen::set(&message_option::value, BytesUpTo(40))));
}

coap_message AnyMessage() {
  coap_message message;
  message.type = static_cast<message_type>(*rc::gen::inRange(0, 4));
  message.code = *rc::gen::element(kGetCode, kPostCode, kContentCode,
                                   kServiceUnavailableCode);
  message.id = *rc::gen::arbitrary<uint16_t>();
  message.token = *BytesUpTo(kMaxTokenLength);
  message.options =
      *rc::gen::container<std::vector<message_option>>(AnyOption());
  std::stable_sort(message.options.begin(), message.options.end(),
                   [](const message_option& a, const message_option& b) {
                     return a.number < b.number;
                   });
  message.payload = *BytesUpTo(1024);
  return message;
}

}  // namespace

RC_BOOST_PROP(parse_reads_back_what_serialize_wrote, ()) {
  const coap_message message = AnyMessage();
  const auto read = ParseCoap(SerializeCoap(message));
  RC_ASSERT(read.has_value());
  RC_ASSERT(read.value() == message);
}

RC_BOOST_PROP(random_bytes_are_read_or_refused, ()) {
  const std::string bytes = *BytesUpTo(200);
  const auto read = ParseCoap(bytes);
  if (read) {
    // A reader of the text that we write sees the same message.
    RC_ASSERT(ParseCoap(SerializeCoap(read.value())).value() == read.value());
  } else {
    RC_ASSERT(read.error().kind == error_kind::kMalformedMessage);
  }
}

RC_BOOST_PROP(truncated_and_changed_messages_are_read_or_refused, ()) {
  std::string bytes = SerializeCoap(AnyMessage());
  const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
  bytes[at] = *rc::gen::arbitrary<char>();
  bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
  const auto read = ParseCoap(bytes);
  if (!read) {
    RC_ASSERT(read.error().kind == error_kind::kMalformedMessage);
  }
}

RC_BOOST_PROP(numbers_and_blocks_are_read_back, ()) {
  const auto number = *rc::gen::arbitrary<uint32_t>();
  RC_ASSERT(DecodeUint(EncodeUint(number)) == number);
  coap_message message;
  const block_value block{*rc::gen::inRange<uint32_t>(0, 1 << 20),
                          *rc::gen::arbitrary<bool>(),
                          *rc::gen::inRange<uint8_t>(0, 7)};
  SetOption(&message, option_number::kBlock1, EncodeBlock(block));
  const auto read = FindBlock(message, option_number::kBlock1);
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->number == block.number && read->more == block.more &&
            read->size_exponent == block.size_exponent);
}

BOOST_AUTO_TEST_CASE(options_stay_sorted_and_paths_are_joined) {
  coap_message message;
  AddOption(&message, option_number::kEcho, "e");
  AddOption(&message, option_number::kUriPath, "a");
  AddOption(&message, option_number::kObserve, "");
  AddOption(&message, option_number::kUriPath, "b");
  BOOST_TEST(UriPath(message) == "/a/b");
  BOOST_TEST(message.options.front().number == 6);
  BOOST_TEST(message.options.back().number == 252);
  RemoveOption(&message, option_number::kUriPath);
  BOOST_TEST(UriPath(message) == "/");
  BOOST_TEST(FindUint(message, option_number::kObserve).value() == 0U);
}

// The acknowledgement that libcoap 4.3.1 sends after an answer with Echo.
BOOST_AUTO_TEST_CASE(an_empty_acknowledgement_counts_whatever_follows) {
  const std::string sent(
      "\x60\x00\x12\x34\xdd\xef\x01"
      "abcde",
      12);
  const auto parsed = ParseCoap(sent);
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST((parsed.value().type == message_type::kAcknowledgement));
  BOOST_TEST(parsed.value().id == 0x1234);
  BOOST_TEST(parsed.value().options.empty());
  // An empty confirmable message is not excused.
  BOOST_TEST(ParseCoap("\x40" + sent.substr(1)).has_error());
}

}  // namespace cardamomroute
