#ifndef CARDAMOMROUTE_BASE_JSON_BUILDER_H_
#define CARDAMOMROUTE_BASE_JSON_BUILDER_H_

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/error_kind.h"

namespace cardamomroute::internal {

/// Where one value begins, and the values inside it in the order of the text.
struct json_place {
  std::string key;
  size_t offset = 0;
  std::vector<json_place> children;
};

/// Reads bytes and lets another see how far it has come.
class tracking_iterator {
 public:
  // The names that std::iterator_traits asks for.
  // NOLINTBEGIN(readability-identifier-naming)
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;
  // NOLINTEND(readability-identifier-naming)

  tracking_iterator(const char* at, const char** seen) : at_(at), seen_(seen) {}

  reference operator*() const { return *at_; }
  tracking_iterator& operator++() {
    ++at_;
    *seen_ = at_;
    return *this;
  }
  tracking_iterator operator++(int) {
    const tracking_iterator before = *this;
    ++*this;
    return before;
  }
  friend bool operator==(const tracking_iterator& a,
                         const tracking_iterator& b) {
    return a.at_ == b.at_;
  }
  friend bool operator!=(const tracking_iterator& a,
                         const tracking_iterator& b) {
    return a.at_ != b.at_;
  }

 private:
  const char* at_;
  const char** seen_;
};

/// A fault at an offset of the text.
struct offset_fault {
  error_kind kind;
  size_t offset;
  std::string detail;
};

/// Receives the events of the JSON parser; builds the document and the places
/// of its values.
class json_builder : public nlohmann::json_sax<nlohmann::json> {
 public:
  json_builder(std::string_view text, uint32_t max_depth)
      : text_(text), max_depth_(max_depth), seen_(text.data()) {}

  tracking_iterator Begin() { return {text_.data(), &seen_}; }
  tracking_iterator End() { return {text_.data() + text_.size(), &seen_}; }

  // The names that nlohmann::json_sax asks for.
  // NOLINTBEGIN(readability-identifier-naming)
  bool null() override;
  bool boolean(bool value) override;
  bool number_integer(number_integer_t value) override;
  bool number_unsigned(number_unsigned_t value) override;
  bool number_float(number_float_t value, const std::string& literal) override;
  bool string(std::string& value) override;
  bool binary(binary_t& value) override;
  bool start_object(size_t size) override;
  bool start_array(size_t size) override;
  bool end_object() override;
  bool end_array() override;
  bool key(std::string& value) override;
  bool parse_error(size_t position, const std::string& token,
                   const nlohmann::json::exception& failure) override;
  // NOLINTEND(readability-identifier-naming)

  /// The document and its places; whole only when there are no faults.
  nlohmann::json TakeValue() { return std::move(root_); }
  json_place TakePlaces() { return std::move(root_place_); }
  const std::vector<offset_fault>& Faults() const { return faults_; }

 private:
  /// Where the token begins that was just read: past white space, separators
  /// and closing brackets after the end of the one before it.
  size_t TokenOffset();
  nlohmann::json* Add(nlohmann::json value);
  bool Scalar(nlohmann::json value);
  bool Open(nlohmann::json value);
  bool Close();

  std::string_view text_;
  uint32_t max_depth_;
  const char* seen_;
  size_t token_end_ = 0;
  std::string key_;
  nlohmann::json root_;
  json_place root_place_;
  /// The containers that are open, outermost first.
  std::vector<nlohmann::json*> values_;
  std::vector<json_place*> places_;
  std::vector<offset_fault> faults_;
};

}  // namespace cardamomroute::internal

#endif  // CARDAMOMROUTE_BASE_JSON_BUILDER_H_
