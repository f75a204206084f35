#include "control/raft_snapshot_receiver.h"

#include <xxhash.h>

#include <memory>
#include <utility>

namespace cardamomroute::control {

uint64_t SnapshotDigest(const std::string& data) {
  return XXH3_64bits(data.data(), data.size());
}

shared_snapshot raft_snapshot_receiver::AddPiece(
    const inner::raft_snapshot_piece& piece) {
  if (piece.index() != index_ || piece.snapshot_term() != term_ ||
      piece.digest() != digest_) {
    index_ = piece.index();
    term_ = piece.snapshot_term();
    digest_ = piece.digest();
    data_.clear();
  }
  if (piece.offset() != data_.size() ||
      piece.data().size() > piece.total_bytes() - data_.size()) {
    return nullptr;
  }
  data_ += piece.data();
  if (data_.size() != piece.total_bytes()) {
    return nullptr;
  }
  std::string data = std::move(data_);
  data_.clear();
  if (SnapshotDigest(data) != digest_) {
    return nullptr;
  }
  auto whole = std::make_shared<inner::raft_snapshot_record>();
  whole->set_index(index_);
  whole->set_term(term_);
  *whole->mutable_membership() = piece.membership();
  whole->set_data(std::move(data));
  return whole;
}

}  // namespace cardamomroute::control
