#ifndef CARDAMOMROUTE_ROUTING_STATE_PIECES_H_
#define CARDAMOMROUTE_ROUTING_STATE_PIECES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomroute {

/// Bytes of a flow's state in one datagram. With the headers it stays below
/// the least MTU of IPv6, 1280 bytes (RFC 8200, section 5).
inline constexpr std::size_t kStatePieceBytes = 960;
/// Pieces that may be on their way at the same time; the bits of `held` in an
/// acknowledgement.
inline constexpr uint32_t kPieceWindow = 32;
/// Largest state that is handed over, in bytes.
inline constexpr std::size_t kMaxStateBytes = 16U << 20;

/// Pieces into which `bytes` of state are cut; 1 for an empty state.
uint32_t CountPieces(std::size_t bytes);

/// What a receiver says that it has of a state.
struct held_pieces {
  /// Number of its assembly: a higher one began later, and empty.
  uint64_t assembly = 0;
  /// The first piece that it lacks.
  uint32_t first_missing = 0;
  /// Bit i tells that it has the piece first_missing + i.
  uint32_t held = 0;
};

/// The sender's side of a state that goes out in pieces: which of them to
/// send, within a window that follows the first piece not acknowledged.
class state_pieces {
 public:
  state_pieces() = default;
  explicit state_pieces(std::string state);

  uint32_t count() const { return count_; }
  std::string_view Piece(uint32_t index) const;

  /// Pieces to send now: those of the window that were not sent since the
  /// last call of Repeat.
  std::vector<uint32_t> TakeDue();
  /// Takes what was sent without an acknowledgement as lost. When the receiver
  /// has all pieces the last one asks again for its final answer.
  void Repeat();
  /// Another receiver, that has none.
  void StartAnew();
  /// True when the receiver has more than was known before, or began anew.
  bool OnHeld(const held_pieces& told);

 private:
  std::string state_;
  uint32_t count_ = 1;
  uint64_t assembly_ = 0;
  uint32_t first_missing_ = 0;
  // Bit i is for the piece first_missing_ + i.
  uint32_t held_ = 0;
  uint32_t sent_ = 0;
  bool asks_again_ = false;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_STATE_PIECES_H_
