#ifndef CARDAMOMROUTE_BASE_JSON_TEXT_H_
#define CARDAMOMROUTE_BASE_JSON_TEXT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/error_kind.h"
#include "base/line_index.h"
#include "base/result.h"

namespace cardamomroute {

/// A value, or every fault that kept it from being read. The list of faults
/// is never empty.
template <class T>
using checked_result =
    boost::outcome_v2::basic_result<T, std::vector<error>,
                                    boost::outcome_v2::policy::terminate>;

/// Bounds that a JSON text must keep.
struct json_limits {
  size_t max_bytes = 1 << 20;
  /// Arrays and objects inside one another.
  uint32_t max_depth = 16;
};

namespace internal {
struct json_place;
}  // namespace internal

/// A JSON document together with the place of each of its values.
class json_text {
 public:
  /// Reads `text`; `name` stands for it in the places of faults. Fails with
  /// kTooLarge, kNotUtf8, kNotJson, kTooDeep, or one kDuplicateKey for each
  /// key that stands twice in an object. A leading byte order mark is passed
  /// over.
  static checked_result<json_text> Parse(std::string name,
                                         std::string_view text,
                                         const json_limits& limits);

  json_text(json_text&&) noexcept;
  json_text& operator=(json_text&&) noexcept;
  ~json_text();

  const nlohmann::json& Value() const { return value_; }

  /// Where the value at `pointer` (RFC 6901) begins; for a pointer that leads
  /// to nothing, where its nearest enclosing value begins.
  text_position PositionOf(const nlohmann::json::json_pointer& pointer) const;

  /// A fault at `pointer`, with the place "NAME:LINE:COLUMN" and a detail
  /// that begins with the pointer.
  error FaultAt(error_kind kind, const nlohmann::json::json_pointer& pointer,
                std::string_view detail) const;

 private:
  json_text(std::string name, std::string_view text);

  error Fault(error_kind kind, size_t offset, std::string detail) const;
  size_t OffsetOf(const nlohmann::json::json_pointer& pointer) const;

  std::string name_;
  line_index lines_;
  nlohmann::json value_;
  std::unique_ptr<internal::json_place> places_;
};

/// Reads a whole file of at most `max_bytes`. Fails with kFileUnreadable or
/// kTooLarge.
result<std::string> ReadTextFile(const std::string& path, size_t max_bytes);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_JSON_TEXT_H_
