#ifndef CARDAMOMROUTE_BASE_LINE_INDEX_H_
#define CARDAMOMROUTE_BASE_LINE_INDEX_H_

#include <cstddef>
#include <string>
#include <vector>

namespace cardamomroute {

/// A position in a text, counted from 1; columns count code points.
struct text_position {
  size_t line = 1;
  size_t column = 1;
};

/// Turns offsets of a UTF-8 text into lines and columns. A line ends with LF,
/// CR LF or a lone CR. A lookup takes logarithmic time, also in a text of one
/// long line.
class line_index {
 public:
  explicit line_index(std::string text);

  /// The position of the byte at `offset`; offsets past the end count as the
  /// end.
  text_position PositionOf(size_t offset) const;

 private:
  /// Code points that begin before `offset`.
  size_t CodePointsBefore(size_t offset) const;

  std::string text_;
  /// Offsets at which lines begin.
  std::vector<size_t> line_begins_;
  /// Code points that begin before each block of the text.
  std::vector<size_t> block_counts_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_LINE_INDEX_H_
