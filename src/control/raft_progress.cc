#include "control/raft_progress.h"

#include <algorithm>
#include <utility>

#include "control/raft_options.h"

namespace cardamomroute::control {
namespace {

/// Retransmission timeout of a snapshot piece.
constexpr absl::Duration kPieceTimeout = absl::Milliseconds(300);

}  // namespace

raft_progress::raft_progress(uint64_t last_index, absl::Time now)
    : next_index_(last_index + 1), last_contact_(now) {}

void raft_progress::RecordAnswer(absl::Time sent_at, absl::Time now) {
  last_answered_send_time_ = std::max(last_answered_send_time_, sent_at);
  last_contact_ = std::max(last_contact_, now);
}

void raft_progress::BeginRun(uint64_t run, absl::Time now) {
  if (run_.has_value()) {
    match_index_ = 0;
    ProbeAfter(next_index_ - 1);
  }
  run_ = run;
  run_first_seen_at_ = now;
  verified_ = false;
}

bool raft_progress::MaySendEntries(uint64_t last_index) const {
  return mode_ == raft_replication_mode::kStream && next_index_ <= last_index &&
         in_flight_.size() < kMaxAppendsInFlight;
}

void raft_progress::RecordSentEntries(uint64_t last) {
  in_flight_.push_back(last);
  next_index_ = last + 1;
}

void raft_progress::RecordAccepted(uint64_t match) {
  match_index_ = std::max(match_index_, match);
  if (mode_ != raft_replication_mode::kStream) {
    mode_ = raft_replication_mode::kStream;
    snapshot_ = nullptr;
    next_index_ = match_index_ + 1;
  }
  next_index_ = std::max(next_index_, match_index_ + 1);
  while (!in_flight_.empty() && in_flight_.front() <= match_index_) {
    in_flight_.pop_front();
  }
}

bool raft_progress::IsNewRefusal(uint64_t prev) const {
  if (mode_ == raft_replication_mode::kSnapshot || prev <= match_index_) {
    return false;
  }
  return mode_ == raft_replication_mode::kStream || prev + 1 == next_index_;
}

void raft_progress::ProbeAfter(uint64_t index) {
  mode_ = raft_replication_mode::kProbe;
  next_index_ = std::max(index, match_index_) + 1;
  in_flight_.clear();
  snapshot_ = nullptr;
}

void raft_progress::BeginSnapshot(shared_snapshot snapshot, uint64_t digest) {
  mode_ = raft_replication_mode::kSnapshot;
  in_flight_.clear();
  snapshot_ = std::move(snapshot);
  digest_ = digest;
  offset_ = 0;
  resend_at_ = absl::InfinitePast();
}

bool raft_progress::MaySendPiece(absl::Time now) const {
  return mode_ == raft_replication_mode::kSnapshot && now >= resend_at_;
}

inner::raft_snapshot_piece raft_progress::NextPiece(absl::Time now,
                                                    size_t max_bytes) {
  resend_at_ = now + kPieceTimeout;
  inner::raft_snapshot_piece piece;
  piece.set_index(snapshot_->index());
  piece.set_snapshot_term(snapshot_->term());
  *piece.mutable_membership() = snapshot_->membership();
  piece.set_total_bytes(snapshot_->data().size());
  piece.set_digest(digest_);
  piece.set_offset(offset_);
  piece.set_data(snapshot_->data().substr(offset_, max_bytes));
  piece.set_sent_at_us(absl::ToUnixMicros(now));
  return piece;
}

void raft_progress::RecordSnapshotAnswer(
    const inner::raft_snapshot_answer& answer) {
  if (mode_ != raft_replication_mode::kSnapshot ||
      answer.index() != snapshot_->index() || answer.digest() != digest_) {
    return;
  }
  if (answer.installed()) {
    ProbeAfter(answer.index());
    return;
  }
  if (answer.next_offset() != offset_ &&
      answer.next_offset() <= snapshot_->data().size()) {
    offset_ = answer.next_offset();
    resend_at_ = absl::InfinitePast();
  }
}

}  // namespace cardamomroute::control
