#include "routing/state_assembler.h"

#include <algorithm>
#include <iterator>

namespace cardamomroute {
namespace {

bool IsSound(const packet_header& header, const std::string& piece) {
  const bool is_last = header.piece + 1 == header.pieces;
  return header.piece < header.pieces &&
         header.pieces <= CountPieces(kMaxStateBytes) &&
         piece.size() <= kStatePieceBytes &&
         (is_last || piece.size() == kStatePieceBytes);
}

std::size_t RoomFor(std::size_t pieces) { return pieces * kStatePieceBytes; }

}  // namespace

state_assembler::state_id state_assembler::IdOf(const packet_header& header) {
  return {header.sender, header.sequence};
}

state_assembler::assembly* state_assembler::FindOrBegin(
    const packet_header& header) {
  const auto found = assemblies_.find(IdOf(header));
  if (found != assemblies_.end()) {
    assembly& known = found->second;
    const bool is_same = known.flow == header.flow &&
                         known.generation == header.generation &&
                         known.pieces.size() == header.pieces;
    return is_same ? &known : nullptr;
  }
  if (reserved_ + RoomFor(header.pieces) > bound_) {
    return nullptr;
  }
  reserved_ += RoomFor(header.pieces);
  assembly& begun = assemblies_[IdOf(header)];
  begun.number = ++last_number_;
  begun.flow = header.flow;
  begun.generation = header.generation;
  begun.pieces.resize(header.pieces);
  return &begun;
}

bool state_assembler::Take(const packet_header& header, std::string piece,
                           absl::Time now) {
  if (!IsSound(header, piece)) {
    return false;
  }
  assembly* entry = FindOrBegin(header);
  if (entry == nullptr) {
    return false;
  }
  entry->deadline = now + kPatience;
  entry->pieces[header.piece] = std::move(piece);
  while (entry->first_missing < entry->pieces.size() &&
         entry->pieces[entry->first_missing]) {
    ++entry->first_missing;
  }
  return true;
}

held_pieces state_assembler::Held(const packet_header& header) const {
  held_pieces told;
  const auto found = assemblies_.find(IdOf(header));
  if (found == assemblies_.end()) {
    return told;
  }
  const assembly& entry = found->second;
  told.assembly = entry.number;
  told.first_missing = entry.first_missing;
  const std::size_t end = std::min<std::size_t>(
      entry.pieces.size(), entry.first_missing + kPieceWindow);
  for (std::size_t i = entry.first_missing; i < end; ++i) {
    told.held |= entry.pieces[i] ? uint32_t{1} << (i - entry.first_missing) : 0;
  }
  return told;
}

std::optional<std::string> state_assembler::TakeWhole(
    const packet_header& header) {
  const auto found = assemblies_.find(IdOf(header));
  if (found == assemblies_.end() ||
      found->second.first_missing < found->second.pieces.size()) {
    return std::nullopt;
  }
  std::string state;
  state.reserve(RoomFor(found->second.pieces.size()));
  for (const std::optional<std::string>& piece : found->second.pieces) {
    state += *piece;
  }
  Release(found->second);
  assemblies_.erase(found);
  return state;
}

void state_assembler::Expire(absl::Time now) {
  for (auto entry = assemblies_.begin(); entry != assemblies_.end();) {
    if (now < entry->second.deadline) {
      ++entry;
      continue;
    }
    Release(entry->second);
    entry = assemblies_.erase(entry);
  }
}

void state_assembler::Release(const assembly& entry) {
  reserved_ -= RoomFor(entry.pieces.size());
}

}  // namespace cardamomroute
