#ifndef CARDAMOMROUTE_CONTROL_FILE_SYSTEM_LOCK_H_
#define CARDAMOMROUTE_CONTROL_FILE_SYSTEM_LOCK_H_

namespace cardamomroute::control {

/// Exclusive lock against other processes; released when destroyed.
class file_lock {
 public:
  virtual ~file_lock() = default;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_FILE_SYSTEM_LOCK_H_
