#include "services/services_test_support.h"

#include <rapidcheck.h>
#include <unicode/bytestream.h>
#include <unicode/normalizer2.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>
#include <vector>

#include "services/service_text.h"

namespace cardamomroute {
namespace {

using nlohmann::json;

/// A number in [begin, end), spread evenly from the first case on.
int Evenly(int begin, int end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(begin, end));
}

std::string AnyName(int index) {
  const std::string stem = *rc::gen::element<std::string>(
      "směna", "Příjem skenů", "ガレージ索引", "trade desk", "が", "x_y-z");
  return stem + " " + std::to_string(index);
}

call_text AnyCall(int index) {
  call_text call;
  call.name = AnyName(index);
  call.method = *rc::gen::element<std::string>("GET", "POST", "iPATCH");
  call.path = "/ž/" + std::to_string(index);
  call.urgency = static_cast<text_urgency>(Evenly(0, 3));
  call.idempotent = *rc::gen::arbitrary<bool>();
  call.timeout_ms = *rc::gen::inRange<uint32_t>(10, 3600001);
  return call;
}

service_text AnyService(int index) {
  service_text service;
  service.name = AnyName(index);
  service.address =
      ParseEndpoint(*rc::gen::arbitrary<bool>()
                        ? "192.0.2.1:" + std::to_string(index + 1)
                        : "[2001:db8::" + std::to_string(index) + "]:80")
          .value();
  service.protocol = static_cast<text_protocol>(Evenly(0, 2));
  const int calls = service.protocol == text_protocol::kCoap ? Evenly(1, 4) : 0;
  for (int i = 0; i < calls; ++i) {
    service.calls.push_back(AnyCall(i));
  }
  return service;
}

/// Writes JSON in one of the many ways that mean the same.
class free_writer {
 public:
  explicit free_writer(uint32_t seed)
      : random_(seed),
        line_end_(Pick<std::string>({"\n", "\r\n", "\r"})),
        decomposes_(Chance()) {}

  std::string Write(const json& value) {
    return (Chance() ? "\xEF\xBB\xBF" : "") + Space() + Any(value) + Space();
  }

 private:
  bool Chance() { return random_() % 2 == 0; }

  template <class T>
  T Pick(const std::vector<T>& choices) {
    return choices[random_() % choices.size()];
  }

  std::string Space() {
    return Pick<std::string>({"", " ", "\t\t", line_end_, line_end_ + "  "});
  }

  std::string Any(const json& value) {
    if (value.is_string()) {
      return String(value);
    }
    if (!value.is_structured()) {
      return value.dump();
    }
    std::vector<std::string> items;
    for (const auto& item : value.items()) {
      const std::string inner = Any(item.value());
      items.push_back(value.is_array() ? inner
                                       : String(item.key()) + Space() + ":" +
                                             Space() + inner);
    }
    std::shuffle(items.begin(), items.end(), random_);
    std::string joined;
    for (const std::string& item : items) {
      joined += (joined.empty() ? "" : ",") + Space() + item + Space();
    }
    return value.is_array() ? "[" + joined + "]" : "{" + joined + "}";
  }

  std::string String(const std::string& text) {
    std::string written = text;
    if (decomposes_) {
      UErrorCode status = U_ZERO_ERROR;
      written.clear();
      icu::StringByteSink<std::string> sink(&written);
      icu::Normalizer2::getNFDInstance(status)->normalizeUTF8(0, text, sink,
                                                              nullptr, status);
    }
    return json(written).dump(-1, ' ', Chance());
  }

  std::mt19937 random_;
  std::string line_end_;
  bool decomposes_;
};

}  // namespace

services_text AnyServices() {
  services_text text;
  const int size = Evenly(1, 9);
  for (int i = 0; i < size; ++i) {
    service_text service = AnyService(i);
    for (const service_text& earlier : text.services) {
      if (Evenly(0, 3) == 0) {
        service.depends_on.push_back(earlier.name);
      }
    }
    text.services.push_back(std::move(service));
  }
  return text;
}

void ChangeMeaning(services_text& text) {
  const auto at = *rc::gen::inRange<size_t>(0, text.services.size());
  service_text& service = text.services[at];
  if (service.calls.empty() || *rc::gen::arbitrary<bool>()) {
    service.address.port = static_cast<uint16_t>(service.address.port + 1000);
    return;
  }
  call_text& call = service.calls.front();
  switch (*rc::gen::inRange(0, 4)) {
    case 0:
      call.idempotent = !call.idempotent;
      break;
    case 1:
      call.timeout_ms = call.timeout_ms == 10 ? 11 : call.timeout_ms - 1;
      break;
    case 2:
      call.urgency = call.urgency == text_urgency::kUrgent
                         ? text_urgency::kCritical
                         : text_urgency::kUrgent;
      break;
    default:
      call.path += "x";
  }
}

std::string WriteFreely(const services_text& text, uint32_t seed) {
  json whole = json::parse(CanonicalForm(text));
  if (seed % 2 == 0) {
    for (json& service : whole["services"]) {
      for (const char* key : {"calls", "depends_on"}) {
        if (service[key].empty()) {
          service.erase(key);
        }
      }
    }
  }
  return free_writer(seed).Write(whole);
}

}  // namespace cardamomroute
