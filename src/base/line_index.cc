#include "base/line_index.h"

#include <algorithm>
#include <utility>

namespace cardamomroute {
namespace {

constexpr size_t kBlockBytes = 1024;

/// False for the second and later bytes of a code point.
bool BeginsCodePoint(char byte) {
  return (static_cast<unsigned char>(byte) & 0xC0U) != 0x80U;
}

}  // namespace

line_index::line_index(std::string text) : text_(std::move(text)) {
  line_begins_.push_back(0);
  size_t code_points = 0;
  for (size_t i = 0; i < text_.size(); ++i) {
    if (i % kBlockBytes == 0) {
      block_counts_.push_back(code_points);
    }
    code_points += BeginsCodePoint(text_[i]) ? 1 : 0;
    const bool before_lf =
        text_[i] == '\r' && i + 1 < text_.size() && text_[i + 1] == '\n';
    if (text_[i] == '\n' || (text_[i] == '\r' && !before_lf)) {
      line_begins_.push_back(i + 1);
    }
  }
  block_counts_.push_back(code_points);
}

size_t line_index::CodePointsBefore(size_t offset) const {
  const size_t block = std::min(offset / kBlockBytes, block_counts_.size() - 1);
  size_t count = block_counts_[block];
  for (size_t i = block * kBlockBytes; i < offset; ++i) {
    count += BeginsCodePoint(text_[i]) ? 1 : 0;
  }
  return count;
}

text_position line_index::PositionOf(size_t offset) const {
  const size_t at = std::min(offset, text_.size());
  const auto after =
      std::upper_bound(line_begins_.begin(), line_begins_.end(), at);
  const auto line = static_cast<size_t>(after - line_begins_.begin());
  const size_t begin = line_begins_[line - 1];
  return {line, CodePointsBefore(at) - CodePointsBefore(begin) + 1};
}

}  // namespace cardamomroute
