#ifndef CARDAMOMROUTE_CONTROL_FILE_SYSTEM_FILE_H_
#define CARDAMOMROUTE_CONTROL_FILE_SYSTEM_FILE_H_

#include <string_view>

#include "base/result.h"

namespace cardamomroute::control {

/// A file open for appending; closed when destroyed.
class file {
 public:
  virtual ~file() = default;

  /// Writes `bytes` at the end of the file. After a failure any part of them
  /// may have been written.
  virtual result<void> Append(std::string_view bytes) = 0;

  /// Blocks until all appended bytes are durable. After a failure the content
  /// of the disk is unknown, and a retry that succeeds proves nothing
  /// (fsync(2)).
  virtual result<void> Sync() = 0;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_FILE_SYSTEM_FILE_H_
