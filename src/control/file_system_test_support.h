#ifndef CARDAMOMROUTE_CONTROL_FILE_SYSTEM_TEST_SUPPORT_H_
#define CARDAMOMROUTE_CONTROL_FILE_SYSTEM_TEST_SUPPORT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/file_system.h"

namespace cardamomroute::control {

/// Current content of an in-memory file, and the content that is durable.
struct fake_inode {
  std::string content;
  std::string durable;
};

using fake_directory = std::map<std::string, std::shared_ptr<fake_inode>>;

/// In-memory file system with fault injection. It can lose power at a chosen
/// change, fail an fsync and run out of space. A power loss zeroes or drops
/// sectors that were not synced, and reverts name changes that were not synced;
/// a name change survives only if all earlier ones do.
class fake_file_system : public file_system {
 public:
  result<std::unique_ptr<file>> OpenForAppend(const std::string& path) override;
  result<std::string> Read(const std::string& path) override;
  result<void> Truncate(const std::string& path, uint64_t size) override;
  result<void> Rename(const std::string& from, const std::string& to) override;
  result<void> Remove(const std::string& path) override;
  result<void> CreateFolder(const std::string& path) override;
  result<void> SyncFolder(const std::string& path) override;
  result<std::vector<std::string>> List(const std::string& folder) override;
  result<std::unique_ptr<file_lock>> Lock(const std::string& path) override;

  /// Lets `changes` changes succeed and loses power during the one after them.
  void LosePowerAfter(uint64_t changes) { changes_until_power_loss_ = changes; }
  /// Lets `syncs` file syncs succeed and fails the one after them. Its unsynced
  /// bytes are lost, as with a kernel that marks pages clean after a failed
  /// write-back.
  void FailSyncAfter(uint64_t syncs) { syncs_until_failure_ = syncs; }
  /// Limits the total size of all files. An append beyond it writes the bytes
  /// that fit and fails with kDiskFull.
  void SetCapacity(std::optional<uint64_t> bytes) { capacity_bytes_ = bytes; }
  /// Simulates the restart after a power loss: picks one of the possible disk
  /// contents by `seed`, clears all faults and releases all locks.
  void Restart(uint32_t seed);

  bool PowerLost() const { return power_lost_; }
  uint64_t Changes() const { return changes_; }
  const fake_directory& Names() const { return names_; }
  fake_directory& Names() { return names_; }

 private:
  friend class fake_file;
  friend class fake_lock;

  // Counts a change; fails if power is lost before or during it.
  result<void> BeginChange(const std::string& path);
  result<void> AppendTo(const std::string& path, fake_inode* inode,
                        std::string_view bytes);
  result<void> SyncInode(const std::string& path, fake_inode* inode);
  uint64_t UsedBytes() const;
  void RecordDirectory();

  fake_directory names_;
  // The durable directory, then the directory after each unsynced change.
  std::vector<fake_directory> directory_history_ = {{}};
  std::set<std::string> locked_paths_;
  std::optional<uint64_t> changes_until_power_loss_;
  std::optional<uint64_t> syncs_until_failure_;
  std::optional<uint64_t> capacity_bytes_;
  bool power_lost_ = false;
  uint64_t changes_ = 0;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_FILE_SYSTEM_TEST_SUPPORT_H_
