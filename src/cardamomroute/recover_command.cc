#include "cardamomroute/recover_command.h"

#include <ostream>
#include <utility>
#include <vector>

#include "base/concat.h"
#include "cardamomroute/command_line.h"
#include "cardamomroute/control_storage.h"
#include "cardamomroute/show_answer.h"
#include "control/group_recovery.h"
#include "operators/answer.h"

namespace cardamomroute {
namespace {

std::string NamesOf(const std::vector<inner::member_record>& members) {
  std::string names;
  for (const inner::member_record& member : members) {
    names += Concat(names.empty() ? "" : ", ", member.name(), " (",
                    member.address(), ")");
  }
  return names.empty() ? "-" : names;
}

answer ToAnswer(const control::recovery_plan& plan, const std::string& folder) {
  answer told = MakeAnswer(success_kind::kRecoverable);
  told.place = folder;
  told.version = plan.state.Text().version;
  told.digest = plan.state.Text().digest;
  told.confirm = plan.Confirmation();
  told.detail =
      Concat("group ", plan.group, "; member ", plan.self.name(),
             "; last entry ", plan.last_index, " of term ", plan.last_term,
             "; left behind: ", NamesOf(plan.removed_members));
  return told;
}

/// Failures that name no place concern the folder as a whole.
error InFolder(error failure, const std::string& folder) {
  if (failure.place.empty()) {
    failure.place = folder;
  }
  return failure;
}

result<answer> Recover(const command_line& line, const std::string& folder,
                       const recover_environment& environment) {
  const member_id unused = environment.random | 1;
  BOOST_OUTCOME_TRY(storage, control_storage::OpenExisting(&environment.files,
                                                           folder, unused));
  auto planned =
      control::PlanRecovery(storage.Member(), storage.TakeRecovered());
  if (!planned) {
    return InFolder(planned.error(), folder);
  }
  control::recovery_plan plan = std::move(planned).value();
  answer told = ToAnswer(plan, folder);
  if (line.confirm.empty()) {
    return told;
  }
  if (line.confirm != told.confirm) {
    return error{error_kind::kUsage, "--confirm",
                 "is not the value that recover prints for this folder"};
  }
  BOOST_OUTCOME_TRY(snapshot,
                    control::RecoverGroup(std::move(plan), environment.random));
  BOOST_OUTCOME_TRYV(storage.Compact(*snapshot));
  told.code = CodeOf(success_kind::kRecovered);
  told.version = told.version == 0 ? 0 : snapshot->index();
  return told;
}

}  // namespace

int RunRecoverCommand(const command_line& line, const std::string& folder,
                      const recover_environment& environment) {
  const auto done = Recover(line, folder, environment);
  const answer shown =
      done.has_value() ? done.value() : MakeAnswer(done.error());
  return ShowAnswer(shown, line, environment.out, environment.err);
}

}  // namespace cardamomroute
