#include "caller/coap_message.h"

#include <coap3/coap.h>

#include <algorithm>
#include <memory>

namespace cardamomroute {
namespace {

constexpr size_t kHeaderLength = 4;
constexpr size_t kMaxOptionHeaderLength = 5;
constexpr size_t kMaxDatagramLength = 65535;
constexpr uint8_t kVersionBits = 1 << 6;
constexpr uint8_t kPayloadMarker = 0xff;
constexpr uint8_t kMaxBlockSizeExponent = 6;
constexpr size_t kMaxUintLength = 4;
constexpr size_t kMaxBlockLength = 3;

struct pdu_deleter {
  void operator()(coap_pdu_t* pdu) const { coap_delete_pdu(pdu); }
};
using pdu_ptr = std::unique_ptr<coap_pdu_t, pdu_deleter>;

error Malformed(const char* detail) {
  return {error_kind::kMalformedMessage, "coap", detail};
}

const uint8_t* Bytes(std::string_view text) {
  return reinterpret_cast<const uint8_t*>(text.data());
}

std::string Text(const uint8_t* data, size_t length) {
  return length == 0 ? std::string()
                     : std::string(reinterpret_cast<const char*>(data), length);
}

// Damaged datagrams are refused by result; the library shall not print each.
void SilenceLibraryOnce() {
  static const bool kSilenced = [] {
    coap_set_log_level(LOG_EMERG);
    return true;
  }();
  (void)kSilenced;
}

void ReadOptions(const coap_pdu_t* pdu, coap_message* message) {
  coap_opt_iterator_t iterator;
  if (coap_option_iterator_init(pdu, &iterator, COAP_OPT_ALL) == nullptr) {
    return;
  }
  while (coap_opt_t* option = coap_option_next(&iterator)) {
    message->options.push_back(
        {iterator.number,
         Text(coap_opt_value(option), coap_opt_length(option))});
  }
}

bool NumberBefore(const message_option& a, const message_option& b) {
  return a.number < b.number;
}

void AppendOption(uint16_t delta, std::string_view value, std::string* out) {
  uint8_t buffer[kMaxOptionHeaderLength + kMaxOptionLength + 1];
  const size_t length = coap_opt_encode(buffer, sizeof(buffer), delta,
                                        Bytes(value), value.size());
  out->append(reinterpret_cast<const char*>(buffer), length);
}

// libcoap 4.3.1 adds a stored Echo option also to empty acknowledgements. RFC
// 7252, section 4.1, calls that a format error, but ignoring them would have
// us repeat answers that did arrive. Only the message id counts in them.
bool IsEmptyReply(std::string_view datagram) {
  const auto first = static_cast<uint8_t>(datagram[0]);
  const auto type = static_cast<message_type>((first >> 4) & 3);
  const bool is_reply =
      type == message_type::kAcknowledgement || type == message_type::kReset;
  return (first >> 6) == 1 && is_reply && datagram[1] == 0;
}

coap_message ReadEmptyReply(std::string_view datagram) {
  coap_message message;
  message.type =
      static_cast<message_type>((static_cast<uint8_t>(datagram[0]) >> 4) & 3);
  message.id = static_cast<uint16_t>((static_cast<uint8_t>(datagram[2]) << 8) |
                                     static_cast<uint8_t>(datagram[3]));
  return message;
}

}  // namespace

result<coap_message> ParseCoap(std::string_view datagram) {
  if (datagram.size() < kHeaderLength || datagram.size() > kMaxDatagramLength) {
    return Malformed("length out of range");
  }
  if (IsEmptyReply(datagram)) {
    return ReadEmptyReply(datagram);
  }
  SilenceLibraryOnce();
  const pdu_ptr pdu(
      coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, datagram.size()));
  if (pdu == nullptr || coap_pdu_parse(COAP_PROTO_UDP, Bytes(datagram),
                                       datagram.size(), pdu.get()) == 0) {
    return Malformed("not a message of RFC 7252");
  }
  coap_message message;
  message.type = static_cast<message_type>(coap_pdu_get_type(pdu.get()));
  message.code = static_cast<uint8_t>(coap_pdu_get_code(pdu.get()));
  message.id = static_cast<uint16_t>(coap_pdu_get_mid(pdu.get()));
  const coap_bin_const_t token = coap_pdu_get_token(pdu.get());
  message.token = Text(token.s, token.length);
  ReadOptions(pdu.get(), &message);
  size_t length = 0;
  const uint8_t* data = nullptr;
  if (coap_get_data(pdu.get(), &length, &data) != 0) {
    message.payload = Text(data, length);
  }
  return message;
}

std::string SerializeCoap(const coap_message& message) {
  std::string out;
  out.reserve(kHeaderLength + kMaxTokenLength + message.payload.size() + 64);
  out.push_back(static_cast<char>(kVersionBits |
                                  (static_cast<uint8_t>(message.type) << 4) |
                                  message.token.size()));
  out.push_back(static_cast<char>(message.code));
  out.push_back(static_cast<char>(message.id >> 8));
  out.push_back(static_cast<char>(message.id & 0xff));
  out += message.token;
  uint16_t previous = 0;
  for (const message_option& option : message.options) {
    AppendOption(option.number - previous, option.value, &out);
    previous = option.number;
  }
  if (!message.payload.empty()) {
    out.push_back(static_cast<char>(kPayloadMarker));
    out += message.payload;
  }
  return out;
}

bool IsRequest(const coap_message& message) {
  return message.code != kEmptyCode && (message.code >> 5) == 0;
}

bool IsResponse(const coap_message& message) {
  const int major = message.code >> 5;
  return major >= 2 && major <= 5;
}

bool IsSuccess(const coap_message& message) { return message.code >> 5 == 2; }

const message_option* FindOption(const coap_message& message,
                                 option_number number) {
  const auto wanted = static_cast<uint16_t>(number);
  for (const message_option& option : message.options) {
    if (option.number == wanted) {
      return &option;
    }
  }
  return nullptr;
}

std::string OptionValue(const coap_message& message, option_number number) {
  const message_option* option = FindOption(message, number);
  return option == nullptr ? std::string() : option->value;
}

void AddOption(coap_message* message, option_number number,
               std::string_view value) {
  message_option option{static_cast<uint16_t>(number), std::string(value)};
  const auto place = std::upper_bound(
      message->options.begin(), message->options.end(), option, NumberBefore);
  message->options.insert(place, std::move(option));
}

void SetOption(coap_message* message, option_number number,
               std::string_view value) {
  RemoveOption(message, number);
  AddOption(message, number, value);
}

void RemoveOption(coap_message* message, option_number number) {
  const auto unwanted = static_cast<uint16_t>(number);
  auto& options = message->options;
  options.erase(std::remove_if(options.begin(), options.end(),
                               [unwanted](const message_option& option) {
                                 return option.number == unwanted;
                               }),
                options.end());
}

std::string EncodeUint(uint32_t value) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) {
    const auto byte = static_cast<char>((value >> shift) & 0xff);
    if (byte != 0 || !out.empty()) {
      out.push_back(byte);
    }
  }
  return out;
}

std::optional<uint32_t> DecodeUint(std::string_view value) {
  if (value.size() > kMaxUintLength) {
    return std::nullopt;
  }
  uint32_t number = 0;
  for (const char byte : value) {
    number = (number << 8) | static_cast<uint8_t>(byte);
  }
  return number;
}

std::optional<uint32_t> FindUint(const coap_message& message,
                                 option_number number) {
  const message_option* option = FindOption(message, number);
  return option == nullptr ? std::nullopt : DecodeUint(option->value);
}

std::string UriPath(const coap_message& message) {
  std::string path;
  for (const message_option& option : message.options) {
    if (option.number == static_cast<uint16_t>(option_number::kUriPath)) {
      path += '/';
      path += option.value;
    }
  }
  return path.empty() ? "/" : path;
}

std::optional<block_value> FindBlock(const coap_message& message,
                                     option_number number) {
  const message_option* option = FindOption(message, number);
  if (option == nullptr || option->value.size() > kMaxBlockLength) {
    return std::nullopt;
  }
  const std::optional<uint32_t> bits = DecodeUint(option->value);
  block_value block;
  block.number = *bits >> 4;
  block.more = (*bits & 8) != 0;
  block.size_exponent = static_cast<uint8_t>(*bits & 7);
  if (block.size_exponent > kMaxBlockSizeExponent) {
    return std::nullopt;
  }
  return block;
}

std::string EncodeBlock(const block_value& block) {
  return EncodeUint((block.number << 4) | (block.more ? 8U : 0U) |
                    block.size_exponent);
}

}  // namespace cardamomroute
