// log_store: recovery of a data folder when it is opened.
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <utility>

#include "control/log_store.h"
#include "control/log_store_damage.h"
#include "control/log_store_names.h"
#include "control/log_store_record.h"
#include "control/log_store_replay.h"

namespace cardamomroute::control {
namespace {

namespace outcome = boost::outcome_v2;

}  // namespace

result<void> log_store::Load(member_id new_member) {
  BOOST_OUTCOME_TRYV(files_->CreateFolder(folder_));
  BOOST_OUTCOME_TRY(lock, files_->Lock(PathOf(kLockName)));
  lock_ = std::move(lock);
  BOOST_OUTCOME_TRY(present, files_->List(folder_));
  BOOST_OUTCOME_TRYV(RemoveTemporaryFiles(present));
  if (ContainsName(present, kAbandonMarkerName)) {
    BOOST_OUTCOME_TRYV(FinishAbandon());
    BOOST_OUTCOME_TRY(remaining, files_->List(folder_));
    present = remaining;
  }
  if (!ContainsName(present, kIdentityName)) {
    BOOST_OUTCOME_TRYV(CreateStore(new_member, present));
  }
  BOOST_OUTCOME_TRY(names, files_->List(folder_));
  BOOST_OUTCOME_TRYV(ReadIdentity());
  BOOST_OUTCOME_TRYV(Recover(names));
  BOOST_OUTCOME_TRYV(RemoveObsoleteFiles());
  return IncrementStartCount();
}

// The identity is written last, so a crash before that leaves a folder that the
// next Open initializes again. A folder with state but no identity is refused.
result<void> log_store::CreateStore(member_id new_member,
                                    const std::vector<std::string>& names) {
  const uint64_t last_log = HighestSequence(names, kLogPrefix);
  bool holds_state =
      last_log > 1 || HighestSequence(names, kSnapshotPrefix) > 0;
  if (last_log == 1) {
    BOOST_OUTCOME_TRY(content,
                      files_->Read(PathOf(FileNameFor(kLogPrefix, 1))));
    const record_scan scan = ScanRecords(content);
    holds_state |=
        scan.damaged_offset.has_value() ||
        std::any_of(scan.records.begin(), scan.records.end(),
                    [](const auto& item) { return HoldsRaftState(item); });
  }
  if (holds_state) {
    return CorruptionError(PathOf(kIdentityName), 0,
                           store_damage::kIdentityMissing);
  }
  std::string empty_log;
  AppendRecord({record_kind::kBase, 0, 0, ""}, 0, &empty_log);
  BOOST_OUTCOME_TRYV(WriteAtomically(FileNameFor(kLogPrefix, 1), empty_log));
  return WriteAtomically(kIdentityName,
                         IdentityContent(kFormatVersion, new_member));
}

result<void> log_store::ReadIdentity() {
  const std::string path = PathOf(kIdentityName);
  BOOST_OUTCOME_TRY(text, files_->Read(path));
  const std::vector<std::string> words =
      absl::StrSplit(text, absl::ByAnyChar(" \n"));
  uint32_t version = 0;
  member_id member = 0;
  if (words.size() < 8 || !absl::SimpleAtoi(words[4], &version) ||
      !absl::SimpleHexAtoi(words[6], &member) ||
      text != IdentityContent(version, member)) {
    return CorruptionError(path, 0, store_damage::kIdentityDamaged);
  }
  if (version != kFormatVersion) {
    return error{
        error_kind::kDataFormat, path,
        absl::StrCat("format ", version, " was written by another ",
                     "release; this one reads format ", kFormatVersion)};
  }
  recovered_.member = member;
  return outcome::success();
}

result<void> log_store::Recover(const std::vector<std::string>& names) {
  BOOST_OUTCOME_TRYV(ReadSnapshot(names));
  return ReadLog(names);
}

result<void> log_store::ReadSnapshot(const std::vector<std::string>& names) {
  const uint64_t sequence = HighestSequence(names, kSnapshotPrefix);
  if (sequence == 0) {
    return outcome::success();
  }
  const std::string path = PathOf(FileNameFor(kSnapshotPrefix, sequence));
  BOOST_OUTCOME_TRY(content, files_->Read(path));
  record_scan scan = ScanRecords(content);
  if (scan.valid_bytes != content.size() || scan.records.size() != 1 ||
      scan.records.front().kind != record_kind::kSnapshot) {
    return CorruptionError(path, scan.valid_bytes,
                           store_damage::kSnapshotDamaged);
  }
  log_record& record = scan.records.front();
  recovered_.snapshot = {record.index, record.term, std::move(record.bytes)};
  return outcome::success();
}

result<void> log_store::ReadLog(const std::vector<std::string>& names) {
  sequence_ = HighestSequence(names, kLogPrefix);
  log_name_ = FileNameFor(kLogPrefix, sequence_);
  const std::string path = PathOf(log_name_);
  if (sequence_ == 0) {
    return CorruptionError(PathOf(FileNameFor(kLogPrefix, 1)), 0,
                           store_damage::kLogMissing);
  }
  BOOST_OUTCOME_TRY(content, files_->Read(path));
  const record_scan scan = ScanRecords(content);
  BOOST_OUTCOME_TRY(log, ReplayLog(path, scan));
  const stored_snapshot base_snapshot =
      recovered_.snapshot.value_or(stored_snapshot{});
  const bool follows_snapshot = log.base_index == base_snapshot.index;
  if (!log.CompactTo(base_snapshot.index, base_snapshot.term)) {
    return CorruptionError(path, 0, store_damage::kPrecedingSnapshotMissing);
  }
  recovered_.truncated_bytes = content.size() - scan.valid_bytes;
  recovered_.entries = std::move(log.entries);
  hard_ = recovered_.hard = log.hard;
  recovered_.committed = log.committed;
  start_count_ = log.starts;
  log_bytes_ = scan.valid_bytes;
  if (recovered_.truncated_bytes > 0) {
    BOOST_OUTCOME_TRYV(files_->Truncate(path, log_bytes_));
  }
  BOOST_OUTCOME_TRY(opened, files_->OpenForAppend(path));
  log_ = std::move(opened);
  // Data written by a previous process may still be only in the page cache.
  BOOST_OUTCOME_TRYV(log_->Sync());
  // If the log does not start at the snapshot, the process ended between
  // writing the snapshot and replacing the log.
  return follows_snapshot ? outcome::success()
                          : ReplaceLog(base_snapshot, recovered_.entries);
}

// WriteAtomically appends to its temporary file, so the remains of an
// interrupted write must be removed first.
result<void> log_store::RemoveTemporaryFiles(
    const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    if (absl::EndsWith(name, kTemporarySuffix)) {
      BOOST_OUTCOME_TRYV(files_->Remove(PathOf(name)));
    }
  }
  return outcome::success();
}

result<void> log_store::IncrementStartCount() {
  std::string bytes;
  AppendRecord(StartRecord(start_count_ + 1), log_bytes_, &bytes);
  BOOST_OUTCOME_TRYV(AppendAndSync(bytes));
  ++start_count_;
  recovered_.starts = start_count_;
  return outcome::success();
}

result<void> log_store::FinishAbandon() {
  BOOST_OUTCOME_TRY(names, files_->List(folder_));
  for (const std::string& name : names) {
    if (name == kIdentityName || absl::StartsWith(name, kLogPrefix) ||
        absl::StartsWith(name, kSnapshotPrefix)) {
      BOOST_OUTCOME_TRYV(
          files_->Rename(PathOf(name), PathOf(kFormerPrefix + name)));
    }
  }
  BOOST_OUTCOME_TRYV(files_->SyncFolder(folder_));
  BOOST_OUTCOME_TRYV(files_->Remove(PathOf(kAbandonMarkerName)));
  return files_->SyncFolder(folder_);
}

}  // namespace cardamomroute::control
