#ifndef CARDAMOMROUTE_CALLER_COAP_MESSAGE_H_
#define CARDAMOMROUTE_CALLER_COAP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace cardamomroute {

/// Message types of RFC 7252, section 3, with their numbers on the wire.
enum class message_type : uint8_t {
  kConfirmable,
  kNonConfirmable,
  kAcknowledgement,
  kReset,
};

/// The code byte of class `major` and detail `minor`: CoapCode(4, 4) is 4.04.
constexpr uint8_t CoapCode(uint8_t major, uint8_t minor) {
  return static_cast<uint8_t>((major << 5) | minor);
}

/// Codes that the project looks at or makes (RFC 7252, section 12.1; RFC
/// 7959, section 2.9; RFC 8132).
constexpr uint8_t kEmptyCode = CoapCode(0, 0);
constexpr uint8_t kGetCode = CoapCode(0, 1);
constexpr uint8_t kPostCode = CoapCode(0, 2);
constexpr uint8_t kPutCode = CoapCode(0, 3);
constexpr uint8_t kDeleteCode = CoapCode(0, 4);
constexpr uint8_t kFetchCode = CoapCode(0, 5);
constexpr uint8_t kPatchCode = CoapCode(0, 6);
constexpr uint8_t kIpatchCode = CoapCode(0, 7);
constexpr uint8_t kCreatedCode = CoapCode(2, 1);
constexpr uint8_t kChangedCode = CoapCode(2, 4);
constexpr uint8_t kContentCode = CoapCode(2, 5);
constexpr uint8_t kContinueCode = CoapCode(2, 31);
constexpr uint8_t kBadRequestCode = CoapCode(4, 0);
constexpr uint8_t kUnauthorizedCode = CoapCode(4, 1);
constexpr uint8_t kBadOptionCode = CoapCode(4, 2);
constexpr uint8_t kNotFoundCode = CoapCode(4, 4);
constexpr uint8_t kMethodNotAllowedCode = CoapCode(4, 5);
constexpr uint8_t kRequestIncompleteCode = CoapCode(4, 8);
constexpr uint8_t kServiceUnavailableCode = CoapCode(5, 3);
constexpr uint8_t kGatewayTimeoutCode = CoapCode(5, 4);

/// Option numbers (RFC 7252, 7641, 7959, 9175).
enum class option_number : uint16_t {
  kEtag = 4,
  kObserve = 6,
  kUriPath = 11,
  kContentFormat = 12,
  kMaxAge = 14,
  kUriQuery = 15,
  kBlock2 = 23,
  kBlock1 = 27,
  kProxyUri = 35,
  kProxyScheme = 39,
  kEcho = 252,
  kRequestTag = 292,
};

/// One option as on the wire.
struct message_option {
  uint16_t number = 0;
  std::string value;

  friend bool operator==(const message_option& a, const message_option& b) {
    return a.number == b.number && a.value == b.value;
  }
};

/// One message of RFC 7252.
struct coap_message {
  message_type type = message_type::kConfirmable;
  uint8_t code = kEmptyCode;
  uint16_t id = 0;
  /// 0 to 8 bytes.
  std::string token;
  /// Sorted by number; options of one number in their order.
  std::vector<message_option> options;
  std::string payload;

  friend bool operator==(const coap_message& a, const coap_message& b) {
    return a.type == b.type && a.code == b.code && a.id == b.id &&
           a.token == b.token && a.options == b.options &&
           a.payload == b.payload;
  }
};

/// Longest token and longest option value that SerializeCoap takes, in bytes.
constexpr size_t kMaxTokenLength = 8;
constexpr size_t kMaxOptionLength = 1034;

/// Reads one datagram. Fails with kMalformedMessage.
result<coap_message> ParseCoap(std::string_view datagram);

/// The datagram that ParseCoap reads back. The token has at most
/// kMaxTokenLength bytes, each option value at most kMaxOptionLength.
std::string SerializeCoap(const coap_message& message);

/// True for a request code (0.01 to 0.31).
bool IsRequest(const coap_message& message);
/// True for a response code (2.xx to 5.xx).
bool IsResponse(const coap_message& message);
/// True for a response code of class 2.
bool IsSuccess(const coap_message& message);

/// The first option of this number, or null.
const message_option* FindOption(const coap_message& message,
                                 option_number number);
/// The value of the first option of this number, empty when there is none.
std::string OptionValue(const coap_message& message, option_number number);
/// Adds an option behind those of the same number.
void AddOption(coap_message* message, option_number number,
               std::string_view value);
/// Replaces all options of this number by one.
void SetOption(coap_message* message, option_number number,
               std::string_view value);
/// Removes all options of this number.
void RemoveOption(coap_message* message, option_number number);

/// A number as an option value: big-endian without leading zeros (RFC 7252,
/// section 3.2).
std::string EncodeUint(uint32_t value);
/// The number that an option value stands for; none when it is longer than
/// four bytes.
std::optional<uint32_t> DecodeUint(std::string_view value);
/// The first option of this number as a number, or none.
std::optional<uint32_t> FindUint(const coap_message& message,
                                 option_number number);

/// The Uri-Path options joined, each with a slash before it; "/" for none.
std::string UriPath(const coap_message& message);

/// Value of a Block1 or Block2 option (RFC 7959, section 2.2).
struct block_value {
  uint32_t number = 0;
  bool more = false;
  /// Block size is 2**(size_exponent + 4) bytes; 0 to 6.
  uint8_t size_exponent = 6;
};

/// The block option of this number; none when absent or malformed.
std::optional<block_value> FindBlock(const coap_message& message,
                                     option_number number);
/// A block option's value.
std::string EncodeBlock(const block_value& block);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CALLER_COAP_MESSAGE_H_
