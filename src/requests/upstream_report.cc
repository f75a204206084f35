#include "requests/upstream_report.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

#include "base/json_text.h"

namespace cardamomroute {
namespace {

constexpr uint32_t kMaxReportDepth = 4;

error BadReport(const char* detail) {
  return {error_kind::kMalformedMessage, "upstream report", detail};
}

/// Returns an integer field in the range 0 to 65535, or none.
std::optional<uint32_t> FindCount(const nlohmann::json& report,
                                  const char* field) {
  const auto found = report.find(field);
  if (found == report.end() || !found->is_number_unsigned() ||
      found->get<uint64_t>() > std::numeric_limits<uint16_t>::max()) {
    return std::nullopt;
  }
  return found->get<uint32_t>();
}

}  // namespace

result<upstream_report> ParseReport(std::string_view text) {
  const auto parsed =
      json_text::Parse("report", text, {kMaxReportBytes, kMaxReportDepth});
  if (!parsed || !parsed.value().Value().is_object()) {
    return BadReport("not a JSON object");
  }
  const nlohmann::json& fields = parsed.value().Value();
  const std::optional<uint32_t> slots = FindCount(fields, "slots");
  const std::optional<uint32_t> busy = FindCount(fields, "busy");
  const auto healthy = fields.find("healthy");
  if (!slots || !busy || healthy == fields.end() || !healthy->is_boolean()) {
    return BadReport("a field is missing or has the wrong type");
  }
  if (*slots == 0 || *busy > *slots) {
    return BadReport("slots is 0 or busy exceeds slots");
  }
  return upstream_report{*slots, *busy, healthy->get<bool>()};
}

}  // namespace cardamomroute
