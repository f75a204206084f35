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

/// Content of a file in memory, and what of it is on the disk.
struct fake_inode {
  std::string content;
  std::string durable;
};

using fake_names = std::map<std::string, std::shared_ptr<fake_inode>>;

/// A disk in memory that loses power at a chosen write, tears what was not
/// synced into sectors, loses changes of names that were not synced (a later
/// change never outlives an earlier one), fails fsync, and fills up.
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

  /// Power is lost during the change after the next `changes`.
  void LosePowerAfter(uint64_t changes) { power_left_ = changes; }
  /// The sync after the next `syncs` fails, and what it was to make durable is
  /// dropped (as by a kernel that marks failed pages clean).
  void FailSyncAfter(uint64_t syncs) { syncs_left_ = syncs; }
  /// Appends beyond this many bytes in all files fail with kDiskFull after
  /// writing what still fits.
  void SetCapacity(std::optional<uint64_t> bytes) { capacity_ = bytes; }
  /// What is found after a loss of power; faults are taken off.
  void Restart(uint32_t seed);

  bool PowerLost() const { return power_lost_; }
  uint64_t Changes() const { return changes_; }
  const fake_names& Names() const { return names_; }
  fake_names& Names() { return names_; }

 private:
  friend class fake_file;
  friend class fake_lock;

  result<void> Change(const std::string& path);
  result<void> AppendTo(const std::string& path, fake_inode* inode,
                        std::string_view bytes);
  result<void> SyncInode(const std::string& path, fake_inode* inode);
  uint64_t UsedBytes() const;
  void RecordNames();

  fake_names names_;
  // The folder after each change that no sync has covered; first the durable.
  std::vector<fake_names> history_ = {{}};
  std::set<std::string> locked_;
  std::optional<uint64_t> power_left_;
  std::optional<uint64_t> syncs_left_;
  std::optional<uint64_t> capacity_;
  bool power_lost_ = false;
  uint64_t changes_ = 0;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_FILE_SYSTEM_TEST_SUPPORT_H_
