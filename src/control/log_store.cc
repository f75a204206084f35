#include "control/log_store.h"

#include <absl/strings/match.h>

#include <utility>

#include "base/concat.h"
#include "control/log_store_damage.h"
#include "control/log_store_names.h"
#include "control/log_store_record.h"
#include "control/log_store_replay.h"

namespace cardamomroute::control {
namespace {

namespace outcome = boost::outcome_v2;

}  // namespace

log_store::log_store(file_system* files, std::string folder)
    : files_(files), folder_(std::move(folder)) {}

result<std::unique_ptr<log_store>> log_store::Open(file_system* files,
                                                   const std::string& folder,
                                                   member_id new_member) {
  std::unique_ptr<log_store> store(new log_store(files, folder));
  BOOST_OUTCOME_TRYV(store->Load(new_member));
  return store;
}

stored_state log_store::TakeRecovered() { return std::move(recovered_); }

std::string log_store::PathOf(const std::string& name) const {
  return folder_ + "/" + name;
}

result<std::vector<stored_entry>> log_store::EntriesAfter(uint64_t index) {
  const std::string path = PathOf(log_name_);
  BOOST_OUTCOME_TRY(content, files_->Read(path));
  BOOST_OUTCOME_TRY(log, ReplayLog(path, ScanRecords(content)));
  std::vector<stored_entry> later;
  for (stored_entry& entry : log.entries) {
    if (entry.index > index) {
      later.push_back(std::move(entry));
    }
  }
  return later;
}

result<void> log_store::RemoveObsoleteFiles() {
  BOOST_OUTCOME_TRY(names, files_->List(folder_));
  const std::string snapshot =
      FileNameFor(kSnapshotPrefix, HighestSequence(names, kSnapshotPrefix));
  for (const std::string& name : names) {
    const bool is_log_or_snapshot = absl::StartsWith(name, kLogPrefix) ||
                                    absl::StartsWith(name, kSnapshotPrefix);
    if (is_log_or_snapshot && name != log_name_ && name != snapshot) {
      BOOST_OUTCOME_TRYV(files_->Remove(PathOf(name)));
    }
  }
  return outcome::success();
}

// The marker file is written before any rename, so after a crash the folder
// either still has its full content or is initialized anew by the next Open.
result<void> log_store::Abandon() {
  if (poisoned_) {
    return *poisoned_;
  }
  BOOST_OUTCOME_TRY(names, files_->List(folder_));
  for (const std::string& name : names) {
    if (absl::StartsWith(name, kFormerPrefix)) {
      BOOST_OUTCOME_TRYV(files_->Remove(PathOf(name)));
    }
  }
  BOOST_OUTCOME_TRYV(WriteAtomically(kAbandonMarkerName, "given up\n"));
  poisoned_ = {error_kind::kDiskIdentity, folder_, "the folder is given up"};
  return FinishAbandon();
}

result<void> log_store::Save(const std::optional<hard_state>& hard,
                             const std::vector<stored_entry>& entries) {
  std::string bytes;
  if (hard) {
    AppendRecord(HardStateRecord(*hard), log_bytes_, &bytes);
  }
  for (const stored_entry& entry : entries) {
    AppendRecord({record_kind::kEntry, entry.index, entry.term, entry.bytes},
                 log_bytes_, &bytes);
  }
  BOOST_OUTCOME_TRYV(AppendAndSync(bytes));
  hard_ = hard.value_or(hard_);
  return outcome::success();
}

result<void> log_store::SaveCommitted(uint64_t index) {
  std::string bytes;
  AppendRecord(CommittedRecord(index), log_bytes_, &bytes);
  return AppendAndSync(bytes);
}

result<void> log_store::SaveSnapshot(const stored_snapshot& snapshot,
                                     const std::vector<stored_entry>& tail) {
  if (poisoned_) {
    return *poisoned_;
  }
  std::string bytes;
  AppendRecord(
      {record_kind::kSnapshot, snapshot.index, snapshot.term, snapshot.bytes},
      0, &bytes);
  const std::string name = FileNameFor(kSnapshotPrefix, sequence_ + 1);
  BOOST_OUTCOME_TRYV(WriteAtomically(name, bytes));
  const result<void> replaced = ReplaceLog(snapshot, tail);
  if (!replaced) {
    return UndoSnapshot(name, replaced.error());
  }
  const result<void> removed = RemoveObsoleteFiles();
  if (!removed) {
    return Poison(removed.error());
  }
  return outcome::success();
}

result<void> log_store::UndoSnapshot(const std::string& name,
                                     const error& failure) {
  if (poisoned_) {
    return failure;
  }
  if (!files_->Remove(PathOf(name)) || !files_->SyncFolder(folder_)) {
    return Poison(failure);
  }
  return failure;
}

result<void> log_store::ReplaceLog(const stored_snapshot& snapshot,
                                   const std::vector<stored_entry>& tail) {
  std::string bytes;
  AppendRecord({record_kind::kBase, snapshot.index, snapshot.term, ""}, 0,
               &bytes);
  AppendRecord(StartRecord(start_count_), 0, &bytes);
  AppendRecord(HardStateRecord(hard_), 0, &bytes);
  for (const stored_entry& entry : tail) {
    AppendRecord({record_kind::kEntry, entry.index, entry.term, entry.bytes}, 0,
                 &bytes);
  }
  const std::string name = FileNameFor(kLogPrefix, sequence_ + 1);
  BOOST_OUTCOME_TRYV(WriteAtomically(name, bytes));
  auto opened = files_->OpenForAppend(PathOf(name));
  if (!opened) {
    return Poison(opened.error());
  }
  log_ = std::move(opened).value();
  log_name_ = name;
  log_bytes_ = bytes.size();
  ++sequence_;
  return outcome::success();
}

// Writes to a temporary file and renames it, so that a crash leaves either the
// old or the new content.
result<void> log_store::WriteAtomically(const std::string& name,
                                        const std::string& content) {
  const std::string temporary_path = PathOf(name + kTemporarySuffix);
  BOOST_OUTCOME_TRY(opened, files_->OpenForAppend(temporary_path));
  const result<void> written = opened->Append(content);
  if (!written) {
    const result<void> removed = files_->Remove(temporary_path);
    return removed && written.error().kind == error_kind::kDiskFull
               ? written.error()
               : Poison(written.error());
  }
  const result<void> synced = opened->Sync();
  if (!synced) {
    return Poison(synced.error());
  }
  const result<void> renamed = files_->Rename(temporary_path, PathOf(name));
  if (!renamed) {
    return Poison(renamed.error());
  }
  const result<void> folder_synced = files_->SyncFolder(folder_);
  if (!folder_synced) {
    return Poison(folder_synced.error());
  }
  return outcome::success();
}

result<void> log_store::AppendAndSync(const std::string& bytes) {
  if (poisoned_) {
    return *poisoned_;
  }
  const result<void> written = log_->Append(bytes);
  if (!written) {
    return UndoAppend(written.error());
  }
  const result<void> synced = log_->Sync();
  if (!synced) {
    return Poison(synced.error());
  }
  log_bytes_ += bytes.size();
  return outcome::success();
}

result<void> log_store::UndoAppend(const error& failure) {
  if (failure.kind != error_kind::kDiskFull) {
    return Poison(failure);
  }
  const result<void> truncated =
      files_->Truncate(PathOf(log_name_), log_bytes_);
  if (!truncated || !log_->Sync()) {
    return Poison(failure);
  }
  return failure;
}

error log_store::Poison(const error& failure) {
  poisoned_ = {error_kind::kIoFailed, failure.place,
               Concat(failure.detail, "; ", kDiskContentUnknown)};
  return *poisoned_;
}

}  // namespace cardamomroute::control
