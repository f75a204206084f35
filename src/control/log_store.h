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
///   former-...            files of an identity given up by Abandon
///   abandoned             marker of an Abandon that has not finished
///
/// A write that returns success has been synced to disk. Each snapshot starts a
/// new log file and removes the previous one, so the folder never holds more
/// than one snapshot and the log that follows it.
class log_store {
 public:
  /// Locks and reads `folder`, which is created if it does not exist. A folder
  /// without identity and state is initialized with the identity `new_member`.
  /// An incomplete write at the end of the log is truncated.
  /// Fails with kFolderLocked, kDataFormat, kDataCorrupt (place is file and
  /// byte offset), kFileUnreadable, kDiskFull or kIoFailed.
  static result<std::unique_ptr<log_store>> Open(file_system* files,
                                                 const std::string& folder,
                                                 member_id new_member);

  /// Moves out the state that Open read from the folder. Call at most once.
  stored_state TakeRecovered();

  /// Persists `hard`, if given, and `entries` in one write and one sync. An
  /// entry replaces the stored entry at its index and all later ones. After
  /// kDiskFull nothing has changed and the call can be retried. After kIoFailed
  /// the content of the disk is unknown and every later write fails.
  result<void> Save(const std::optional<hard_state>& hard,
                    const std::vector<stored_entry>& entries);

  /// Persists the commit index, so that a restarted member knows it before it
  /// hears from a leader. Fails as Save does.
  result<void> SaveCommitted(uint64_t index);

  /// Persists `snapshot`, which replaces all entries up to its index. `tail`
  /// holds the later entries to keep. Fails as Save does.
  result<void> SaveSnapshot(const stored_snapshot& snapshot,
                            const std::vector<stored_entry>& tail);

  /// Reads the stored entries with an index greater than `index` from disk.
  /// Fails with kFileUnreadable or kDataCorrupt.
  result<std::vector<stored_entry>> EntriesAfter(uint64_t index);

  /// Gives up the identity and the state in the folder: the next Open
  /// initializes it as an empty one. The files are kept under names prefixed
  /// with "former-", which replace those of an earlier call. The store must not
  /// be used afterwards. Fails as Save does; if the marker file was written by
  /// then, the next Open completes the operation.
  result<void> Abandon();

  /// Size of the current log file in bytes.
  uint64_t LogBytes() const { return log_bytes_; }

  /// True after a failure that left the content of the disk unknown. Every
  /// later write fails.
  bool Poisoned() const { return poisoned_.has_value(); }

 private:
  log_store(file_system* files, std::string folder);

  result<void> Load(member_id new_member);
  result<void> CreateStore(member_id new_member,
                           const std::vector<std::string>& names);
  result<void> ReadIdentity();
  result<void> Recover(const std::vector<std::string>& names);
  result<void> ReadSnapshot(const std::vector<std::string>& names);
  result<void> ReadLog(const std::vector<std::string>& names);
  result<void> RemoveTemporaryFiles(const std::vector<std::string>& names);
  result<void> RemoveObsoleteFiles();
  result<void> IncrementStartCount();
  result<void> FinishAbandon();
  result<void> ReplaceLog(const stored_snapshot& snapshot,
                          const std::vector<stored_entry>& tail);
  result<void> WriteAtomically(const std::string& name,
                               const std::string& content);
  result<void> UndoSnapshot(const std::string& name, const error& failure);
  result<void> AppendAndSync(const std::string& bytes);
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
  uint64_t start_count_ = 0;
  stored_state recovered_;
  std::optional<error> poisoned_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_LOG_STORE_H_
