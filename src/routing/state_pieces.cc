#include "routing/state_pieces.h"

#include <algorithm>
#include <utility>

namespace cardamomroute {
namespace {

uint32_t ShiftRight(uint32_t bits, uint32_t count) {
  return count < kPieceWindow ? bits >> count : 0;
}

}  // namespace

uint32_t CountPieces(std::size_t bytes) {
  const std::size_t count = (bytes + kStatePieceBytes - 1) / kStatePieceBytes;
  return static_cast<uint32_t>(std::max<std::size_t>(count, 1));
}

state_pieces::state_pieces(std::string state)
    : state_(std::move(state)), count_(CountPieces(state_.size())) {}

std::string_view state_pieces::Piece(uint32_t index) const {
  const std::string_view state = state_;
  return state.substr(index * kStatePieceBytes, kStatePieceBytes);
}

std::vector<uint32_t> state_pieces::TakeDue() {
  std::vector<uint32_t> due;
  const uint32_t window = std::min(kPieceWindow, count_ - first_missing_);
  for (uint32_t i = 0; i < window; ++i) {
    const uint32_t bit = uint32_t{1} << i;
    if (((sent_ | held_) & bit) == 0) {
      sent_ |= bit;
      due.push_back(first_missing_ + i);
    }
  }
  if (std::exchange(asks_again_, false) && due.empty()) {
    due.push_back(count_ - 1);
  }
  return due;
}

void state_pieces::Repeat() {
  sent_ = 0;
  asks_again_ = true;
}

void state_pieces::StartAnew() {
  assembly_ = 0;
  first_missing_ = 0;
  held_ = 0;
  Repeat();
}

bool state_pieces::OnHeld(const held_pieces& told) {
  if (told.assembly < assembly_ || told.first_missing > count_) {
    return false;
  }
  if (told.assembly > assembly_) {
    assembly_ = told.assembly;
    // What is on its way reaches the new assembly; the rest went to the old.
    sent_ = told.first_missing == first_missing_ ? sent_ : 0;
    first_missing_ = told.first_missing;
    held_ = told.held;
    return true;
  }
  if (told.first_missing < first_missing_) {
    return false;
  }
  const uint32_t step = told.first_missing - first_missing_;
  const uint32_t known = ShiftRight(held_, step);
  first_missing_ = told.first_missing;
  sent_ = ShiftRight(sent_, step);
  held_ = known | told.held;
  return step > 0 || held_ != known;
}

}  // namespace cardamomroute
