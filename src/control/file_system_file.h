#ifndef CARDAMOMROUTE_CONTROL_FILE_SYSTEM_FILE_H_
#define CARDAMOMROUTE_CONTROL_FILE_SYSTEM_FILE_H_

#include <string_view>

#include "base/result.h"

namespace cardamomroute::control {

/// A file open for appending; closed when destroyed.
class file {
 public:
  virtual ~file() = default;

  /// Writes behind the last byte. After a failure any part of `bytes` may
  /// have been written.
  virtual result<void> Append(std::string_view bytes) = 0;

  /// Returns once all that was appended is on the disk. After a failure it is
  /// unknown what is on the disk, and a second call does not tell (fsync(2)).
  virtual result<void> Sync() = 0;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_FILE_SYSTEM_FILE_H_
