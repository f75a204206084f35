#ifndef CARDAMOMROUTE_CONTROL_RAFT_SNAPSHOT_RECEIVER_H_
#define CARDAMOMROUTE_CONTROL_RAFT_SNAPSHOT_RECEIVER_H_

#include <cstdint>
#include <string>

#include "control/raft_types.h"
#include "inner/raft.pb.h"

namespace cardamomroute::control {

/// The digest by which the pieces of one snapshot are known (XXH3).
uint64_t SnapshotDigest(const std::string& data);

/// Puts a snapshot together from its pieces. Pieces of the same bytes that
/// another leader sends later are taken up where the first one left off.
class raft_snapshot_receiver {
 public:
  /// Takes a piece. The whole snapshot once its last byte is there and the
  /// digest is right, else null.
  shared_snapshot AddPiece(const inner::raft_snapshot_piece& piece);
  /// First byte that is missing of the snapshot last taken from.
  uint64_t NextOffset() const { return data_.size(); }

 private:
  uint64_t index_ = 0;
  uint64_t term_ = 0;
  uint64_t digest_ = 0;
  std::string data_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_SNAPSHOT_RECEIVER_H_
