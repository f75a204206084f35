#include "routing/state_pieces.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "routing/state_assembler.h"

namespace cardamomroute {
namespace {

constexpr std::size_t kBound = kMaxStateBytes;
const absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);

packet_header PieceHeader(uint64_t sequence, uint32_t piece, uint32_t pieces) {
  packet_header header;
  header.kind = packet_kind::kHandover;
  header.sender = 3;
  header.sequence = sequence;
  header.piece = piece;
  header.pieces = pieces;
  return header;
}

/// Any loss, repeat and order of pieces and acknowledgements, and an
/// assembler that may forget: the state arrives, and no other bytes do.
RC_BOOST_PROP(a_state_arrives_whole_or_not_at_all, ()) {
  const auto bytes = *rc::gen::inRange<std::size_t>(0, 100 * kStatePieceBytes);
  std::string sent(bytes, '\0');
  for (std::size_t i = 0; i < bytes; ++i) {
    sent[i] = static_cast<char>(i * 31 + i / kStatePieceBytes);
  }
  state_pieces pieces(sent);
  state_assembler assembler(kBound);
  std::deque<uint32_t> to_receiver;
  std::deque<held_pieces> to_sender;
  std::optional<std::string> arrived;
  absl::Time now = kStart;
  const auto faults = *rc::gen::container<std::vector<uint32_t>>(
      400, rc::gen::inRange<uint32_t>(0, 1000));
  std::size_t rounds = 0;
  while (!arrived) {
    RC_ASSERT(++rounds < 5'000U);
    // Chooses order, repeat, loss and expiry; the last value has no faults.
    const uint32_t fault = rounds < faults.size() ? faults[rounds] : 998;
    if (to_receiver.empty() && to_sender.empty()) {
      pieces.Repeat();
      for (const uint32_t piece : pieces.TakeDue()) {
        to_receiver.push_back(piece);
      }
    }
    if (fault < 20) {
      now += state_assembler::kPatience;
      assembler.Expire(now);
    }
    if (!to_receiver.empty()) {
      const std::size_t at = fault % to_receiver.size();
      const uint32_t piece = to_receiver[at];
      if (fault % 5 != 0) {
        to_receiver.erase(to_receiver.begin() + static_cast<int>(at));
      }
      if (fault % 7 != 0) {
        const packet_header header = PieceHeader(1, piece, pieces.count());
        RC_ASSERT(
            assembler.Take(header, std::string(pieces.Piece(piece)), now));
        to_sender.push_back(assembler.Held(header));
        arrived = assembler.TakeWhole(header);
      }
    }
    if (!to_sender.empty() && fault % 3 != 0) {
      const std::size_t at = fault % to_sender.size();
      const held_pieces told = to_sender[at];
      to_sender.erase(to_sender.begin() + static_cast<int>(at));
      if (fault % 11 != 0 && pieces.OnHeld(told)) {
        for (const uint32_t piece : pieces.TakeDue()) {
          to_receiver.push_back(piece);
        }
      }
    }
  }
  RC_ASSERT(*arrived == sent);
  RC_ASSERT(assembler.reserved_bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(memory_is_bounded_and_comes_back) {
  state_assembler assembler(kBound);
  const std::string piece(kStatePieceBytes, 'x');
  const uint32_t most = CountPieces(kMaxStateBytes) - 1;
  BOOST_TEST(assembler.Take(PieceHeader(1, 0, most), piece, kStart));
  BOOST_TEST(!assembler.Take(PieceHeader(2, 0, most), piece, kStart));
  BOOST_TEST(assembler.reserved_bytes() <= kBound);
  assembler.Expire(kStart + state_assembler::kPatience);
  BOOST_TEST(assembler.reserved_bytes() == 0U);
  BOOST_TEST(assembler.Take(PieceHeader(2, 0, most), piece, kStart));
}

BOOST_AUTO_TEST_CASE(unsound_pieces_are_refused) {
  state_assembler assembler(kBound);
  const std::string piece(kStatePieceBytes, 'x');
  BOOST_TEST(!assembler.Take(PieceHeader(1, 2, 2), piece, kStart));
  BOOST_TEST(!assembler.Take(PieceHeader(1, 0, 2), "short", kStart));
  BOOST_TEST(!assembler.Take(PieceHeader(1, 0, 0xffffffff), piece, kStart));
  BOOST_TEST(!assembler.Take(PieceHeader(1, 1, 2), piece + "x", kStart));
  BOOST_TEST(assembler.Take(PieceHeader(1, 0, 2), piece, kStart));
  BOOST_TEST(!assembler.Take(PieceHeader(1, 0, 3), piece, kStart));
}

}  // namespace
}  // namespace cardamomroute
