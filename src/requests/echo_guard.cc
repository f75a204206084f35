#include "requests/echo_guard.h"

#include <sodium.h>

#include <utility>

namespace cardamomroute {
namespace {

constexpr size_t kSerialOffset = 8;
constexpr size_t kTimeOffset = 16;
constexpr size_t kFlowOffset = 20;
constexpr size_t kTagOffset = 28;
constexpr size_t kTagLength = echo_guard::kLength - kTagOffset;

const unsigned char* AsBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

void AppendBigEndian(uint64_t value, int bytes, std::string* out) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    out->push_back(static_cast<char>((value >> shift) & 0xff));
  }
}

uint64_t ReadBigEndian(std::string_view bytes) {
  uint64_t value = 0;
  for (const char byte : bytes) {
    value = (value << 8) | static_cast<uint8_t>(byte);
  }
  return value;
}

std::string Blake2b(std::string_view body, std::string_view key) {
  std::string hash(crypto_generichash_BYTES, '\0');
  crypto_generichash(reinterpret_cast<unsigned char*>(hash.data()), hash.size(),
                     AsBytes(body), body.size(),
                     key.empty() ? nullptr : AsBytes(key), key.size());
  return hash;
}

std::string Tag(std::string_view body, std::string_view flow_key) {
  return Blake2b(body, flow_key).substr(0, kTagLength);
}

uint64_t ReadFlowHash(std::string_view echo) {
  return ReadBigEndian(echo.substr(kFlowOffset, kTagOffset - kFlowOffset));
}

echo_verdict Verify(std::string_view echo, const echo_credential& issuer,
                    absl::Time now) {
  const std::string tag = Tag(echo.substr(0, kTagOffset), issuer.key);
  if (sodium_memcmp(tag.data(), echo.data() + kTagOffset, kTagLength) != 0) {
    return echo_verdict::kForged;
  }
  const uint64_t serial =
      ReadBigEndian(echo.substr(kSerialOffset, kTimeOffset - kSerialOffset));
  const absl::Time issued_at = absl::FromUnixSeconds(static_cast<int64_t>(
      ReadBigEndian(echo.substr(kTimeOffset, kFlowOffset - kTimeOffset))));
  const absl::Time issuer_time = issuer.issuer_now + (now - issuer.read_at);
  const bool is_fresh = issuer_time < issued_at + echo_guard::kLifetime &&
                        serial >= issuer.first_valid_serial;
  return is_fresh ? echo_verdict::kFresh : echo_verdict::kStale;
}

}  // namespace

echo_guard::echo_guard(target_id incarnation, const std::string& key)
    : incarnation_(incarnation), key_(Blake2b(key, {})) {}

std::string echo_guard::KeyOf(uint64_t flow_hash) const {
  std::string body;
  AppendBigEndian(flow_hash, 8, &body);
  return Blake2b(body, key_);
}

std::string echo_guard::Issue(const flow_key& flow, absl::Time now) {
  const uint64_t flow_hash = HashOf(flow);
  std::string echo;
  AppendBigEndian(incarnation_, 8, &echo);
  AppendBigEndian(next_serial_++, 8, &echo);
  AppendBigEndian(static_cast<uint64_t>(absl::ToUnixSeconds(now)), 4, &echo);
  AppendBigEndian(flow_hash, 8, &echo);
  echo += Tag(echo, KeyOf(flow_hash));
  return echo;
}

parsed_echo echo_guard::Read(std::string_view echo, absl::Time now) const {
  parsed_echo reading;
  if (echo.size() != kLength) {
    return reading;
  }
  reading.incarnation = ReadBigEndian(echo.substr(0, kSerialOffset));
  reading.issued_to = ReadFlowHash(echo);
  if (reading.incarnation != incarnation_) {
    reading.verdict = echo_verdict::kForeign;
    return reading;
  }
  reading.verdict = Verify(
      echo, {KeyOf(reading.issued_to), first_valid_serial_, now, now}, now);
  return reading;
}

echo_credential echo_guard::CredentialOf(uint64_t flow_hash,
                                         absl::Time now) const {
  return {KeyOf(flow_hash), first_valid_serial_, now, now};
}

parsed_echo echo_guard::ReadForeign(std::string_view echo,
                                    const echo_credential& issuer,
                                    absl::Time now) {
  parsed_echo reading;
  if (echo.size() != kLength) {
    return reading;
  }
  reading.incarnation = ReadBigEndian(echo.substr(0, kSerialOffset));
  reading.issued_to = ReadFlowHash(echo);
  reading.verdict = Verify(echo, issuer, now);
  return reading;
}

}  // namespace cardamomroute
