#ifndef CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_STORAGE_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_STORAGE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "base/result.h"
#include "control/log_store.h"
#include "control/raft_types.h"

namespace cardamomroute {

/// The log store in terms of Raft's messages.
class control_storage {
 public:
  /// Fails as log_store::Open, and with kDataCorrupt where what was stored is
  /// no entry or snapshot.
  static result<control_storage> Open(control::file_system* files,
                                      const std::string& folder,
                                      member_id fresh_member);

  member_id Member() const { return member_; }
  /// How often the folder has been opened, this time included.
  uint64_t Starts() const { return starts_; }

  /// Opens a folder only where it holds something. Fails with kNoGroup where
  /// it does not exist or is empty, and as Open.
  static result<control_storage> OpenExisting(control::file_system* files,
                                              const std::string& folder,
                                              member_id fresh_member);

  /// What the folder held; to be called once.
  control::recovered_state TakeRecovered();

  /// Stores what a founding member starts from. Fails as log_store::Save.
  result<void> Found(const control::recovered_state& founding);

  /// Stores and syncs what `ready` asks for. Fails as log_store::Save.
  result<void> Write(const control::raft_ready& ready);

  /// Puts a snapshot of the applied state in place of the entries up to it.
  result<void> Compact(const inner::raft_snapshot_record& snapshot);

  /// Notes what is committed. Fails as log_store::SaveCommitted.
  result<void> WriteCommitted(uint64_t index) {
    return store_->SaveCommitted(index);
  }

  /// Gives the folder's identity up. Fails as log_store::Abandon.
  result<void> Abandon() { return store_->Abandon(); }

  /// True once the log has outgrown the last snapshot.
  bool WantsSnapshot() const;

 private:
  explicit control_storage(std::unique_ptr<control::log_store> store);

  result<void> ReadRecovered();

  std::unique_ptr<control::log_store> store_;
  member_id member_ = 0;
  uint64_t starts_ = 0;
  control::recovered_state recovered_;
  uint64_t snapshot_bytes_ = 0;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_STORAGE_H_
