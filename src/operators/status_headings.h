#ifndef CARDAMOMROUTE_OPERATORS_STATUS_HEADINGS_H_
#define CARDAMOMROUTE_OPERATORS_STATUS_HEADINGS_H_

#include <array>
#include <string_view>

#include "operators/answer_table.h"

namespace cardamomroute {

/// How a member of a status document is headed for people.
struct status_heading {
  std::string_view key;
  localized_text text;
};

constexpr size_t kHeadingCount = 39;

extern const std::array<status_heading, kHeadingCount> kStatusHeadings;

/// The heading of a member; `key` itself where it is not in the table, as in
/// answers of a newer process.
std::string_view HeadingOf(std::string_view key, language wanted);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_OPERATORS_STATUS_HEADINGS_H_
