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

/// File operations used by log_store. Every failure is kDiskFull,
/// kFileUnreadable, kFolderLocked or kIoFailed, with the path as its place.
/// Changes survive a crash only once the file and its folder have been synced.
class file_system {
 public:
  virtual ~file_system() = default;

  /// Opens a file for appending; creates it if it does not exist.
  virtual result<std::unique_ptr<file>> OpenForAppend(
      const std::string& path) = 0;

  /// Returns the whole content of a file. Fails with kFileUnreadable.
  virtual result<std::string> Read(const std::string& path) = 0;

  /// Truncates the file to `size` bytes. Durable once the file is synced.
  virtual result<void> Truncate(const std::string& path, uint64_t size) = 0;

  /// Renames `from` to `to`, which is replaced if it exists. Durable once the
  /// folder is synced.
  virtual result<void> Rename(const std::string& from,
                              const std::string& to) = 0;

  /// Removes a file. Durable once the folder is synced.
  virtual result<void> Remove(const std::string& path) = 0;

  /// Creates the folder and its parents. Succeeds if the folder exists.
  virtual result<void> CreateFolder(const std::string& path) = 0;

  /// Makes created, renamed and removed names in the folder durable.
  virtual result<void> SyncFolder(const std::string& path) = 0;

  /// Returns the names of the files in a folder, sorted.
  virtual result<std::vector<std::string>> List(const std::string& folder) = 0;

  /// Locks the file at `path` exclusively; creates it if it does not exist.
  /// Fails with kFolderLocked while another process holds the lock.
  virtual result<std::unique_ptr<file_lock>> Lock(const std::string& path) = 0;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_FILE_SYSTEM_H_
