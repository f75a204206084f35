#include "cardamomroute/control_storage.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace cardamomroute {
namespace {

namespace outcome = boost::outcome_v2;

// A log below this size is never worth a snapshot.
constexpr uint64_t kSmallLogBytes = 1 << 20;

// A log counts as outgrown at so many times the size of the last snapshot.
constexpr uint64_t kLogToSnapshot = 2;

control::hard_state ToStored(const inner::raft_hard_state& hard) {
  return {hard.term(), hard.voted_for()};
}

control::stored_entry ToStored(const inner::raft_entry& entry) {
  return {entry.index(), entry.term(), entry.SerializeAsString()};
}

std::vector<control::stored_entry> ToStored(
    const std::vector<inner::raft_entry>& entries) {
  std::vector<control::stored_entry> stored;
  stored.reserve(entries.size());
  for (const inner::raft_entry& entry : entries) {
    stored.push_back(ToStored(entry));
  }
  return stored;
}

control::stored_snapshot ToStored(const inner::raft_snapshot_record& record) {
  return {record.index(), record.term(), record.SerializeAsString()};
}

error Unreadable(const char* what) {
  return {error_kind::kDataCorrupt, what, "not written by this program"};
}

}  // namespace

control_storage::control_storage(std::unique_ptr<control::log_store> store)
    : store_(std::move(store)) {}

result<control_storage> control_storage::Open(control::file_system* files,
                                              const std::string& folder,
                                              member_id fresh_member) {
  BOOST_OUTCOME_TRY(store,
                    control::log_store::Open(files, folder, fresh_member));
  control_storage opened(std::move(store));
  BOOST_OUTCOME_TRYV(opened.ReadRecovered());
  return opened;
}

result<control_storage> control_storage::OpenExisting(
    control::file_system* files, const std::string& folder,
    member_id fresh_member) {
  const auto names = files->List(folder);
  if (!names || names.value().empty()) {
    return error{error_kind::kNoGroup, folder, ""};
  }
  return Open(files, folder, fresh_member);
}

result<void> control_storage::ReadRecovered() {
  const control::stored_state stored = store_->TakeRecovered();
  member_ = stored.member;
  starts_ = stored.starts;
  recovered_.hard_state.set_term(stored.hard.term);
  recovered_.hard_state.set_voted_for(stored.hard.voted_for);
  if (stored.snapshot) {
    auto record = std::make_shared<inner::raft_snapshot_record>();
    if (!record->ParseFromString(stored.snapshot->bytes)) {
      return Unreadable("snapshot");
    }
    snapshot_bytes_ = stored.snapshot->bytes.size();
    recovered_.snapshot = std::move(record);
  }
  recovered_.committed = stored.committed;
  for (const control::stored_entry& entry : stored.entries) {
    if (!recovered_.entries.emplace_back().ParseFromString(entry.bytes)) {
      return Unreadable("entry");
    }
  }
  return outcome::success();
}

control::recovered_state control_storage::TakeRecovered() {
  return std::move(recovered_);
}

// The snapshot last: only it makes this a member.
result<void> control_storage::Found(const control::recovered_state& founding) {
  BOOST_OUTCOME_TRYV(store_->Save(ToStored(founding.hard_state), {}));
  return store_->SaveSnapshot(ToStored(*founding.snapshot), {});
}

result<void> control_storage::Write(const control::raft_ready& ready) {
  std::optional<control::hard_state> hard;
  if (ready.hard_state) {
    hard = ToStored(*ready.hard_state);
  }
  if (ready.snapshot == nullptr) {
    return store_->Save(hard, ToStored(ready.entries));
  }
  if (hard) {
    BOOST_OUTCOME_TRYV(store_->Save(hard, {}));
  }
  const control::stored_snapshot snapshot = ToStored(*ready.snapshot);
  snapshot_bytes_ = snapshot.bytes.size();
  return store_->SaveSnapshot(snapshot, ToStored(ready.entries));
}

result<void> control_storage::Compact(
    const inner::raft_snapshot_record& snapshot) {
  BOOST_OUTCOME_TRY(tail, store_->EntriesAfter(snapshot.index()));
  const control::stored_snapshot stored = ToStored(snapshot);
  BOOST_OUTCOME_TRYV(store_->SaveSnapshot(stored, tail));
  snapshot_bytes_ = stored.bytes.size();
  return outcome::success();
}

bool control_storage::WantsSnapshot() const {
  return store_->LogBytes() >
         std::max(kSmallLogBytes, kLogToSnapshot * snapshot_bytes_);
}

}  // namespace cardamomroute
