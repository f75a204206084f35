#ifndef CARDAMOMROUTE_CONTROL_RAFT_SNAPSHOT_RECEIVER_H_
#define CARDAMOMROUTE_CONTROL_RAFT_SNAPSHOT_RECEIVER_H_

#include <cstdint>
#include <string>

#include "control/raft_types.h"
#include "inner/raft.pb.h"

namespace cardamomroute::control {

/// XXH3 digest of a snapshot; identifies the snapshot that a piece belongs to.
uint64_t SnapshotDigest(const std::string& data);

/// Assembles a snapshot from its pieces. If the leader changes and the new one
/// sends the same snapshot, the transfer resumes at the first missing byte.
class raft_snapshot_receiver {
 public:
  /// Adds a piece; a piece of another snapshot discards the previous ones.
  /// Returns the complete snapshot once all bytes have arrived and the digest
  /// matches, otherwise null. A piece that does not start at NextOffset() is
  /// ignored.
  shared_snapshot AddPiece(const inner::raft_snapshot_piece& piece);
  /// Offset of the first missing byte of the snapshot being assembled.
  uint64_t NextOffset() const { return data_.size(); }

 private:
  uint64_t index_ = 0;
  uint64_t term_ = 0;
  uint64_t digest_ = 0;
  std::string data_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_SNAPSHOT_RECEIVER_H_
