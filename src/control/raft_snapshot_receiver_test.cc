#include "control/raft_snapshot_receiver.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace cardamomroute::control {
namespace {

std::vector<inner::raft_snapshot_piece> PiecesOf(const std::string& data) {
  std::vector<inner::raft_snapshot_piece> pieces;
  for (size_t offset = 0; offset < data.size(); offset += 3) {
    inner::raft_snapshot_piece piece;
    piece.set_index(7);
    piece.set_snapshot_term(2);
    piece.set_total_bytes(data.size());
    piece.set_digest(SnapshotDigest(data));
    piece.set_offset(offset);
    piece.set_data(data.substr(offset, 3));
    pieces.push_back(piece);
  }
  return pieces;
}

/// Pieces of two snapshots arrive in random order: the receiver only returns
/// complete snapshots, and sending from NextOffset() on always completes one.
RC_BOOST_PROP(SnapshotsAreCompleteOrAbsent, ()) {
  const auto picks = *rc::gen::arbitrary<std::vector<uint8_t>>();
  const std::string first = "the first snapshot";
  const std::string second = "another one, longer";
  raft_snapshot_receiver receiver;
  for (const uint8_t pick : picks) {
    const auto pieces = PiecesOf(pick % 5 == 0 ? second : first);
    const shared_snapshot whole =
        receiver.AddPiece(pieces.at(pick / 5 % pieces.size()));
    const std::string data = whole == nullptr ? first : whole->data();
    RC_ASSERT((data == first || data == second));
  }
  const auto pieces = PiecesOf(first);
  receiver.AddPiece(pieces.back());
  for (size_t i = receiver.NextOffset() / 3; i + 1 < pieces.size(); ++i) {
    RC_ASSERT_FALSE(static_cast<bool>(receiver.AddPiece(pieces.at(i))));
  }
  const shared_snapshot whole = receiver.AddPiece(pieces.back());
  RC_ASSERT(static_cast<bool>(whole));
  RC_ASSERT(whole->data() == first);
}

}  // namespace
}  // namespace cardamomroute::control
