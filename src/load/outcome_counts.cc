#include "load/outcome_counts.h"

#include <nlohmann/json.hpp>

#include "load/quantile.h"

namespace cardamomroute::load {
namespace {

constexpr std::array<std::string_view, kOutcomes> kNames = {
    "answered", "not_run", "unknown",      "refused",
    "lost",     "crossed", "wrong_service"};

// As in logs.
std::string FormatUtc(absl::Time time) {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", time, absl::UTCTimeZone());
}

constexpr std::array<int, 8> kLatencyPercents = {10, 25, 50, 75,
                                                 90, 95, 98, 99};

nlohmann::json RowOf(const ended_request& request) {
  return {{"id", request.id},
          {"flow", request.flow},
          {"sent", FormatUtc(request.sent_at)},
          {"ended", FormatUtc(request.ended_at)},
          {"code", request.code},
          {"has_token", request.has_token}};
}

}  // namespace

std::string_view NameOf(outcome value) {
  return kNames.at(static_cast<size_t>(value));
}

void outcome_counts::Add(outcome value, const ended_request& request) {
  ++counts_.at(static_cast<size_t>(value));
  ids_.at(static_cast<size_t>(value)).push_back(request.id);
  if (value == outcome::kAnswered) {
    latencies_ms_.push_back(
        absl::ToDoubleMilliseconds(request.ended_at - request.sent_at));
  } else {
    unanswered_.push_back(request);
  }
}

std::string outcome_counts::ToJson() const {
  nlohmann::json report;
  for (size_t i = 0; i < kOutcomes; ++i) {
    report[std::string(kNames.at(i))] = counts_.at(i);
    report["ids"][std::string(kNames.at(i))] = ids_.at(i);
  }
  for (const ended_request& request : unanswered_) {
    report["unanswered"].push_back(RowOf(request));
  }
  for (const auto& [code, count] : codes_) {
    report["codes"][std::to_string(code)] = count;
  }
  for (const int percent : kLatencyPercents) {
    report["p" + std::to_string(percent) + "_ms"] =
        Quantile(latencies_ms_, percent / 100.0);
  }
  report["notifications"] = notifications_;
  report["broken_observations"] = broken_observations_;
  report["skipped"] = skipped_;
  return report.dump(1);
}

}  // namespace cardamomroute::load
