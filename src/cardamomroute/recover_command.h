#ifndef CARDAMOMROUTE_CARDAMOMROUTE_RECOVER_COMMAND_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_RECOVER_COMMAND_H_

#include <cstdint>
#include <iosfwd>
#include <string>

namespace cardamomroute {

struct command_line;

namespace control {
class file_system;
}  // namespace control

/// What recover works with.
struct recover_environment {
  control::file_system& files;
  /// Answers; as JSON also the failures.
  std::ostream& out;
  /// Failures for people.
  std::ostream& err;
  /// Chooses the number of the new group.
  uint64_t random = 0;
};

/// The way back when the disks of a majority of the control voters are gone:
/// makes the member whose data folder this is the only voter of a new group.
/// Without --confirm it only says what it would do; with the value that it
/// printed it writes the new group's first snapshot in place of snapshot and
/// log, so that a crash leaves the former group or the new one. Holds the
/// folder's lock meanwhile, and reads the folder as a start does: the end of an
/// unfinished write is cut off. Gives back the exit status of the program.
/// Fails with kNoGroup; with kFolderLocked while a control process holds the
/// folder; with kUsage for another value of --confirm; and as
/// control_storage::Open, control::PlanRecovery and control::RecoverGroup.
///
/// A folder that is an old copy of a disk is not told from the present one: no
/// other member is there to know better. One that its process has given up as
/// an old copy holds no group.
int RunRecoverCommand(const command_line& line, const std::string& folder,
                      const recover_environment& environment);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_RECOVER_COMMAND_H_
