#ifndef CARDAMOMROUTE_CONTROL_LOG_STORE_H_
#define CARDAMOMROUTE_CONTROL_LOG_STORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "control/file_system.h"
#include "control/log_store_types.h"

namespace cardamomroute::control {

/// The durable state of one member of the replicated log, in one folder:
///
///   lock                  held while a process uses the folder
///   identity              format version and member id, written once
///   log-<sequence>        hard state and entries since the last snapshot
///   snapshot-<sequence>   the last snapshot
///   former-...            what was given up by Abandon
///
/// A call that returns success has synced what it was given. A new log file
/// replaces the former one after each snapshot, so that the folder holds no
/// more than a snapshot and the log since then.
class log_store {
 public:
  /// Locks and reads `folder`; one without an identity is set up with
  /// `fresh_member`. Bytes of an unfinished last write are cut off. Fails with
  /// kFolderLocked, kDataFormat, kDataCorrupt (place is file and byte offset),
  /// kDiskFull or kIoFailed.
  static result<std::unique_ptr<log_store>> Open(file_system* files,
                                                 const std::string& folder,
                                                 member_id fresh_member);

  /// What the folder held; to be called once.
  stored_state TakeRecovered();

  /// Makes `hard` (where given) and `entries` last, in one write and one sync.
  /// An entry takes the place of the stored entry with its index and of all
  /// later ones. Fails with kDiskFull, and then nothing was changed and a later
  /// call may succeed; or with kIoFailed, and then nothing is known and every
  /// later call fails.
  result<void> Save(const std::optional<hard_state>& hard,
                    const std::vector<stored_entry>& entries);

  /// Notes that all entries up to `index` are committed, so that a member that
  /// starts again knows so without a leader. Fails as Save does.
  result<void> SaveCommitted(uint64_t index);

  /// Makes `snapshot` last in place of every entry up to its index; `tail` are
  /// the entries behind it that stay. Fails as Save does.
  result<void> SaveSnapshot(const stored_snapshot& snapshot,
                            const std::vector<stored_entry>& tail);

  /// The stored entries behind `index`, read from the disk. Fails as Open.
  result<std::vector<stored_entry>> EntriesAfter(uint64_t index);

  /// Gives up the identity and all that the folder holds: whoever opens it next
  /// finds an empty one. The files are kept under names that begin with
  /// "former-"; those of an earlier call are removed. Nothing else may be
  /// called afterwards. Fails as Save does, and then opening the folder ends
  /// what was begun.
  result<void> Abandon();

  /// Size of the present log file.
  uint64_t LogBytes() const { return log_bytes_; }

  /// True after a failure that leaves the content of the disk unknown.
  bool Poisoned() const { return poisoned_.has_value(); }

 private:
  log_store(file_system* files, std::string folder);

  result<void> Start(member_id fresh_member);
  result<void> SetUp(member_id fresh_member,
                     const std::vector<std::string>& names);
  result<void> ReadIdentity();
  result<void> Recover(const std::vector<std::string>& names);
  result<void> ReadSnapshot(const std::vector<std::string>& names);
  result<void> ReadLog(const std::vector<std::string>& names);
  result<void> RemoveUnfinished(const std::vector<std::string>& names);
  result<void> RemoveLeftovers();
  result<void> CountStart();
  result<void> EndAbandoning();
  result<void> ReplaceLog(const stored_snapshot& snapshot,
                          const std::vector<stored_entry>& tail);
  result<void> WriteWhole(const std::string& name, const std::string& content);
  result<void> UndoSnapshot(const std::string& name, const error& failure);
  result<void> AppendSynced(const std::string& bytes);
  result<void> UndoAppend(const error& failure);
  error Poison(const error& failure);
  std::string PathOf(const std::string& name) const;

  file_system* files_;
  std::string folder_;
  std::unique_ptr<file_lock> lock_;
  std::unique_ptr<file> log_;
  std::string log_name_;
  uint64_t sequence_ = 0;
  uint64_t log_bytes_ = 0;
  hard_state hard_;
  uint64_t starts_ = 0;
  stored_state recovered_;
  std::optional<error> poisoned_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_LOG_STORE_H_
