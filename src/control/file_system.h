#ifndef CARDAMOMROUTE_CONTROL_FILE_SYSTEM_H_
#define CARDAMOMROUTE_CONTROL_FILE_SYSTEM_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "control/file_system_file.h"
#include "control/file_system_lock.h"

namespace cardamomroute::control {

/// The file operations that the store needs. Every failure is kDiskFull,
/// kFileUnreadable, kFolderLocked or kIoFailed, with the path as its place.
/// Nothing outlives a crash unless the file and its folder have been synced.
class file_system {
 public:
  virtual ~file_system() = default;

  /// Opens for appending; creates the file where there is none.
  virtual result<std::unique_ptr<file>> OpenForAppend(
      const std::string& path) = 0;

  /// The whole content of a file. Fails with kFileUnreadable.
  virtual result<std::string> Read(const std::string& path) = 0;

  /// Cuts the file to its first `size` bytes. Lasts once the file is synced.
  virtual result<void> Truncate(const std::string& path, uint64_t size) = 0;

  /// Replaces `to` by `from`. Lasts once the folder is synced.
  virtual result<void> Rename(const std::string& from,
                              const std::string& to) = 0;

  virtual result<void> Remove(const std::string& path) = 0;

  /// Creates the folder and those above it; one that exists is no failure.
  virtual result<void> CreateFolder(const std::string& path) = 0;

  /// Makes the names in the folder last.
  virtual result<void> SyncFolder(const std::string& path) = 0;

  /// Names of the files in a folder, sorted.
  virtual result<std::vector<std::string>> List(const std::string& folder) = 0;

  /// Fails with kFolderLocked while another process holds the lock.
  virtual result<std::unique_ptr<file_lock>> Lock(const std::string& path) = 0;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_FILE_SYSTEM_H_
