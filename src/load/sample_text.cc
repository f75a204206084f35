#include "load/sample_text.h"

#include <array>
#include <string_view>

#include "base/concat.h"

namespace cardamomroute::load {
namespace {

constexpr std::array<std::string_view, 4> kNames = {
    "trade desk", "příjem skenů", "地価フィード", "release service"};

constexpr std::string_view kCalls = R"([
      {"name": "feed", "method": "GET", "path": "/feed",
       "class": "urgent", "idempotent": true, "timeout_ms": 5000},
      {"name": "lookup", "method": "POST", "path": "/lookups",
       "class": "critical", "idempotent": false, "timeout_ms": 2000},
      {"name": "file", "method": "GET", "path": "/files/monthly",
       "class": "ordinary", "idempotent": true, "timeout_ms": 30000}])";

std::string NameOfService(int number) {
  return Concat(kNames.at(static_cast<size_t>(number) % kNames.size()), " ",
                number);
}

std::string AddressOfService(int number, int edition) {
  return Concat(20 + edition, ".0.", number >> 8, ".", number & 255, ":5683");
}

std::string DependenciesOf(int number) {
  if (number < 2) {
    return "";
  }
  return Concat("\"", NameOfService(number / 2), "\", \"",
                NameOfService(number / 2 - 1), "\"");
}

}  // namespace

std::string SampleText(int services, int edition) {
  std::string text = "{\"services\": [";
  for (int i = 0; i < services; ++i) {
    text += Concat(i == 0 ? "\n" : ",\n", "    {\"name\": \"", NameOfService(i),
                   "\", \"address\": \"", AddressOfService(i, edition),
                   "\", \"protocol\": \"coap\",\n     \"calls\": ", kCalls,
                   ",\n     \"depends_on\": [", DependenciesOf(i), "]}");
  }
  return text + "\n  ]\n}\n";
}

}  // namespace cardamomroute::load
