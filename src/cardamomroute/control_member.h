#ifndef CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_MEMBER_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_MEMBER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/metric_recorder.h"
#include "base/result.h"
#include "base/settings.h"
#include "cardamomroute/checked_submission.h"
#include "cardamomroute/control_founding.h"
#include "cardamomroute/control_outlet.h"
#include "cardamomroute/control_storage.h"
#include "cardamomroute/submission_checker.h"
#include "control/control_state.h"
#include "control/member_contacts.h"
#include "control/quorum_watch.h"
#include "control/raft_core.h"
#include "control/registry_core.h"
#include "control/repair_core.h"
#include "inner/node.pb.h"
#include "view/child_book.h"

namespace cardamomroute {

/// One member of the control group: the replicated log with its disk, the
/// state behind it, and the answers to nodes and operators. It has no sockets
/// and no clock.
///
/// Answers about what is in force come from a leader that holds its lease.
/// "accepted" goes out once a majority has synced the text and it has been
/// applied; a member that cannot know says so.
class control_member {
 public:
  /// Opens the data folder. `fresh_member` is the identity of a new disk and
  /// `seed` feeds the election timer. `outlet` and `checker` outlive the
  /// member. Fails as control_storage::Open.
  static result<std::unique_ptr<control_member>> Open(
      const settings& configured, control::file_system* files,
      control_outlet* outlet, submission_checker* checker,
      member_id fresh_member, uint64_t seed, absl::Time now);

  /// Takes a message; `client` is whom to answer. `now` was read after the
  /// message came in.
  void OnRequest(const std::string& client,
                 const inner::control_request& request, absl::Time now);

  /// Takes a text that its checker has read.
  void OnChecked(checked_submission checked, absl::Time now);

  /// Does what is due: stores, sends, applies, answers. Fails with
  /// kDiskIdentity where the disk turned out to be an old copy: it has been
  /// given up, and the folder is to be opened anew. Fails with kFormerGroup
  /// where another group has replaced that of the folder. Fails otherwise when
  /// the disk cannot be relied on any more; the process must end then. A full
  /// disk is no failure: the member waits for room.
  result<void> Advance(absl::Time now);

  /// When Advance has something to do even if no message comes.
  absl::Time NextDeadline() const;

  member_id Id() const { return self_.id(); }
  bool Leads() const { return raft_->Role() == control::raft_role::kLeader; }

  /// What this member has applied.
  const control::control_state& State() const { return state_; }

  std::shared_ptr<const metric_recorder> Measured() const { return recorder_; }

  /// The control group as this member knows it.
  const control::raft_membership& Membership() const {
    return raft_->Membership();
  }

  /// Hands the leadership away, if this member has it, and asks a standby to
  /// take its place as a voter.
  void BeginStop(absl::Time now);
  /// True once this member does not lead and is no voter, or no standby has
  /// taken its place in time.
  bool IsStopped(absl::Time now) const;

 private:
  /// An operation of an operator that waits for its entry to be committed.
  struct pending_operation {
    uint64_t term = 0;
    std::string client;
    /// The number that the operator's request came with.
    uint64_t request = 0;
    absl::Time deadline;
  };

  control_member(const settings& configured, control_outlet* outlet,
                 submission_checker* checker, control_storage storage,
                 uint64_t seed);

  result<void> Start(absl::Time now);
  inner::member_record OwnRecord(const settings& configured) const;

  // control_member.cc: the log
  control::raft_options RaftOptions() const;
  result<void> TryFound(absl::Time now);
  result<void> GiveUpOldCopy();
  error EndAsFormer() const;
  void OnRaft(const inner::control_request& request, absl::Time now);
  result<void> DrainReady(absl::Time now);
  result<bool> WriteReady(const control::raft_ready& ready, absl::Time now);
  result<void> Finish(const control::raft_ready& ready, absl::Time now);
  void Send(const inner::raft_message& message);
  void ApplyEntry(const inner::raft_entry& entry, absl::Time now);
  result<void> CompactIfDue();
  void NoteCommitted();
  void FollowRole(absl::Time now);
  void ProposeBatch(absl::Time now);
  void ProposeRepair(absl::Time now);
  void ReportMargin(absl::Time now);
  result<uint64_t> Propose(const inner::command& command, absl::Time now);
  /// `command` is an inner::command without a time.
  result<uint64_t> Propose(std::string command, absl::Time now);
  void CountApplied(const inner::raft_entry& entry,
                    const control::apply_outcome& outcome, absl::Time now);

  // control_member_hellos.cc: VMs without a group, or of another one
  void OnHello(const inner::control_hello& hello, absl::Time now);
  void OnGroupHello(const inner::control_hello& hello, absl::Time now);
  void Admit(const inner::member_record& sender, absl::Time now);
  void SendHello(const std::string& address, bool is_answer, absl::Time now);
  std::set<std::string> Contacts(absl::Time now);
  std::set<std::string> SeedAddresses() const;
  void SendHellos(absl::Time now);
  bool MayBeReplaced() const;

  // control_member_answers.cc: nodes and operators
  void OnPull(const std::string& client, const inner::pull_request& pull,
              absl::Time now);
  bool IsServedElsewhere(const inner::pull_request& pull, absl::Time now) const;
  void TakeChild(const inner::pull_request& pull, absl::Time now,
                 inner::pull_answer* pulled);
  void OnOperation(const std::string& client,
                   const inner::operator_request& request, absl::Time now);
  void Apply(const std::string& client, const inner::operator_request& request,
             absl::Time now);
  void Show(const std::string& client, const inner::operator_request& request,
            absl::Time now);
  void Status(const std::string& client, const inner::operator_request& request,
              absl::Time now);
  void Members(const std::string& client,
               const inner::operator_request& request, absl::Time now);
  void PutConfiguration(const std::string& client,
                        const inner::operator_request& request, absl::Time now);
  void ShowConfiguration(const std::string& client,
                         const inner::operator_request& request,
                         absl::Time now);
  void Drain(const std::string& client, const inner::operator_request& request,
             absl::Time now);
  void Await(uint64_t index, const std::string& client, absl::Time now,
             uint64_t request = 0);
  void Resolve(uint64_t index, uint64_t term,
               const control::apply_outcome& outcome, absl::Time now);
  void ResolveLost(const pending_operation& operation);
  void ResolveUpTo(uint64_t index);
  void ExpirePending(absl::Time now);
  bool AnswerIfNoLease(const std::string& client, absl::Time now);
  /// Why this member may not speak for the group; nothing where it may.
  std::optional<error> RefusalWithoutLease(absl::Time now) const;
  void Refuse(const std::string& client, const error& refusal,
              uint64_t request = 0);
  void RefuseText(const std::string& client, const std::vector<error>& faults);
  void AnswerOutcome(const std::string& client,
                     const control::submission_outcome& outcome,
                     absl::Time now);
  void Reply(const std::string& client, inner::operator_answer answer);
  std::string LeaderAddress() const;
  std::string NextPeerAddress() const;

  const settings settings_;
  control_outlet* const outlet_;
  submission_checker* const checker_;
  control_storage storage_;
  const uint64_t seed_;
  const inner::member_record self_;
  control_founding founding_;
  std::optional<control::raft_core> raft_;
  control::control_state state_;
  control::registry_core registry_;
  /// Nodes that pull from this member while it leads.
  child_book children_;
  control::repair_core repair_;
  control::quorum_watch quorum_watch_;
  /// Handed out by Raft but not yet on the disk, which is full.
  std::optional<control::raft_ready> stalled_;
  absl::flat_hash_map<member_id, std::string> addresses_;
  uint64_t applied_index_ = 0;
  std::multimap<uint64_t, pending_operation> pending_;
  /// Outlives the member where somebody reads it.
  const std::shared_ptr<metric_recorder> recorder_ =
      std::make_shared<metric_recorder>(process_role::kControl);
  /// When the entries that this leader proposed came to be, by index.
  std::map<uint64_t, absl::Time> proposed_;
  /// Term in which this member began to act as leader; 0 while it does not.
  uint64_t leading_term_ = 0;
  /// What stamps of this term count from, so that the time in the log goes on
  /// no faster than time itself, whatever the clocks of former leaders said.
  absl::Time leading_since_;
  absl::Time stamp_base_;
  std::optional<uint64_t> batch_index_;
  /// Set where a configuration was applied that the disk does not know to be
  /// committed.
  std::optional<uint64_t> unnoted_commit_;
  /// Control VMs that answers to hellos have named.
  control::member_contacts contacts_;
  absl::Time next_hello_;
  absl::Time next_repair_;
  absl::Time retry_write_at_;
  bool stopping_ = false;
  /// Until when a stopping member waits for a standby to take its place.
  absl::Time leave_deadline_ = absl::InfiniteFuture();
  bool has_advanced_ = false;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_MEMBER_H_
