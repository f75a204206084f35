#include "base/json_builder.h"

#include <algorithm>
#include <utility>

#include "base/concat.h"
#include "base/fault_list.h"

namespace cardamomroute::internal {
namespace {

using nlohmann::json;

/// Leaves out the library's own tags and the position, which is given apart.
std::string ShortMessage(const std::string& message) {
  const size_t begin = message.rfind("syntax error");
  return begin == std::string::npos ? "a number is out of range"
                                    : message.substr(begin);
}

}  // namespace

bool json_builder::null() { return Scalar(nullptr); }

bool json_builder::boolean(bool value) { return Scalar(value); }

bool json_builder::number_integer(number_integer_t value) {
  return Scalar(value);
}

bool json_builder::number_unsigned(number_unsigned_t value) {
  return Scalar(value);
}

bool json_builder::number_float(number_float_t value,
                                const std::string& /*literal*/) {
  return Scalar(value);
}

bool json_builder::string(std::string& value) {
  return Scalar(std::move(value));
}

bool json_builder::binary(binary_t& /*value*/) { return false; }

bool json_builder::start_object(size_t /*size*/) {
  return Open(json::object());
}

bool json_builder::start_array(size_t /*size*/) { return Open(json::array()); }

bool json_builder::end_object() { return Close(); }

bool json_builder::end_array() { return Close(); }

bool json_builder::key(std::string& value) {
  const size_t offset = TokenOffset();
  if (values_.back()->contains(value)) {
    faults_.push_back({error_kind::kDuplicateKey, offset,
                       Concat("key \"", value, "\" stands twice")});
  }
  key_ = std::move(value);
  return faults_.size() < kMaxFaults;
}

bool json_builder::parse_error(size_t position, const std::string& /*token*/,
                               const json::exception& failure) {
  faults_.push_back({error_kind::kNotJson, position == 0 ? 0 : position - 1,
                     ShortMessage(failure.what())});
  return false;
}

size_t json_builder::TokenOffset() {
  const size_t begin = text_.find_first_not_of(" \t\r\n,:]}", token_end_);
  token_end_ = static_cast<size_t>(seen_ - text_.data());
  return std::min(begin, text_.size());
}

json* json_builder::Add(json value) {
  const size_t offset = TokenOffset();
  if (values_.empty()) {
    root_ = std::move(value);
    root_place_.offset = offset;
    return &root_;
  }
  json& parent = *values_.back();
  json_place place;
  place.offset = offset;
  json* added = nullptr;
  if (parent.is_object()) {
    place.key = key_;
    added = &(parent[key_] = std::move(value));
  } else {
    parent.push_back(std::move(value));
    added = &parent.back();
  }
  places_.back()->children.push_back(std::move(place));
  return added;
}

bool json_builder::Scalar(json value) {
  Add(std::move(value));
  return true;
}

bool json_builder::Open(json value) {
  json* added = Add(std::move(value));
  places_.push_back(places_.empty() ? &root_place_
                                    : &places_.back()->children.back());
  values_.push_back(added);
  if (values_.size() > max_depth_) {
    faults_.push_back({error_kind::kTooDeep, places_.back()->offset,
                       Concat("more than ", max_depth_,
                              " arrays and objects inside one another")});
    return false;
  }
  return true;
}

bool json_builder::Close() {
  values_.pop_back();
  places_.pop_back();
  return true;
}

}  // namespace cardamomroute::internal
