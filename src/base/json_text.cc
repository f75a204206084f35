#include "base/json_text.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>

#include "base/concat.h"
#include "base/json_builder.h"
#include "base/unicode_text.h"

namespace cardamomroute {
namespace {

using internal::json_builder;
using internal::json_place;
using nlohmann::json;

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

}  // namespace

json_text::json_text(std::string name, std::string_view text)
    : name_(std::move(name)), lines_(std::string(text)) {}
json_text::json_text(json_text&&) noexcept = default;
json_text& json_text::operator=(json_text&&) noexcept = default;
json_text::~json_text() = default;

checked_result<json_text> json_text::Parse(std::string name,
                                           std::string_view text,
                                           const json_limits& limits) {
  if (text.size() > limits.max_bytes) {
    return std::vector<error>{
        {error_kind::kTooLarge, std::move(name),
         Concat("more than ", limits.max_bytes, " bytes")}};
  }
  if (text.substr(0, kByteOrderMark.size()) == kByteOrderMark) {
    text.remove_prefix(kByteOrderMark.size());
  }
  json_text read(std::move(name), text);
  if (const auto invalid = FindInvalidUtf8(text)) {
    return std::vector<error>{read.Fault(
        error_kind::kNotUtf8, *invalid,
        Concat("byte ", *invalid + 1, " is not part of UTF-8 text"))};
  }
  json_builder builder(text, limits.max_depth);
  json::sax_parse(builder.Begin(), builder.End(), &builder);
  if (!builder.Faults().empty()) {
    std::vector<error> faults;
    faults.reserve(builder.Faults().size());
    for (const internal::offset_fault& fault : builder.Faults()) {
      faults.push_back(read.Fault(fault.kind, fault.offset, fault.detail));
    }
    return faults;
  }
  read.value_ = builder.TakeValue();
  read.places_ = std::make_unique<json_place>(builder.TakePlaces());
  return read;
}

size_t json_text::OffsetOf(const json::json_pointer& pointer) const {
  std::vector<std::string> steps;
  for (json::json_pointer at = pointer; !at.empty(); at.pop_back()) {
    steps.push_back(at.back());
  }
  const json_place* place = places_.get();
  const json* value = &value_;
  for (auto step = steps.rbegin(); step != steps.rend(); ++step) {
    const auto& inner = place->children;
    auto found = inner.end();
    if (value->is_object()) {
      found = std::find_if(inner.begin(), inner.end(), [&](const auto& child) {
        return child.key == *step;
      });
    } else if (size_t index = 0;
               absl::SimpleAtoi(*step, &index) && index < inner.size()) {
      found = inner.begin() + static_cast<std::ptrdiff_t>(index);
    }
    if (found == inner.end()) {
      break;
    }
    value = value->is_object()
                ? &(*value)[*step]
                : &(*value)[static_cast<size_t>(found - inner.begin())];
    place = &*found;
  }
  return place->offset;
}

text_position json_text::PositionOf(const json::json_pointer& pointer) const {
  return lines_.PositionOf(OffsetOf(pointer));
}

error json_text::Fault(error_kind kind, size_t offset,
                       std::string detail) const {
  const text_position position = lines_.PositionOf(offset);
  return {kind, Concat(name_, ":", position.line, ":", position.column),
          std::move(detail)};
}

error json_text::FaultAt(error_kind kind, const json::json_pointer& pointer,
                         std::string_view detail) const {
  const std::string at = pointer.to_string();
  return Fault(kind, OffsetOf(pointer),
               at.empty() ? std::string(detail) : Concat(at, ": ", detail));
}

result<std::string> ReadTextFile(const std::string& path, size_t max_bytes) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return error{error_kind::kFileUnreadable, path, "cannot be opened"};
  }
  std::string text(max_bytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad() || (file.fail() && !file.eof())) {
    return error{error_kind::kFileUnreadable, path, "cannot be read"};
  }
  text.resize(static_cast<size_t>(file.gcount()));
  if (text.size() > max_bytes) {
    return error{error_kind::kTooLarge, path,
                 Concat("more than ", max_bytes, " bytes")};
  }
  return text;
}

}  // namespace cardamomroute
