#ifndef CARDAMOMROUTE_CONTROL_FILE_SYSTEM_POSIX_H_
#define CARDAMOMROUTE_CONTROL_FILE_SYSTEM_POSIX_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "control/file_system.h"

namespace cardamomroute::control {

/// Implements file_system with POSIX calls.
class posix_file_system : public file_system {
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
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_FILE_SYSTEM_POSIX_H_
