#include "cardamomroute/control_member.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace cardamomroute {
namespace {

namespace outcome = boost::outcome_v2;

constexpr absl::Duration kRepairInterval = absl::Milliseconds(100);
// Two changes of the membership, and an election where this member leads.
constexpr absl::Duration kLeaveTimeout = absl::Milliseconds(1500);
constexpr absl::Duration kFullDiskRetry = absl::Milliseconds(500);

// As many voters as were first listed, but an odd number.
size_t WantedVoters(const control_settings& configured) {
  if (configured.voters != 0) {
    return configured.voters;
  }
  const size_t listed = std::max<size_t>(configured.peers.size(), 1);
  return listed % 2 == 1 ? listed : listed - 1;
}

std::string OwnAddress(const settings& configured) {
  for (const control_peer& peer : configured.control.peers) {
    if (peer.name == configured.name) {
      return ToString(peer.address);
    }
  }
  return ToString(configured.control.listen);
}

// Leaves places for nodes that take children: half.
child_book ChildBook(uint32_t max_direct_nodes) {
  return {max_direct_nodes, max_direct_nodes - max_direct_nodes / 2};
}

}  // namespace

control_member::control_member(const settings& configured,
                               control_outlet* outlet,
                               submission_checker* checker,
                               control_storage storage, uint64_t seed)
    : settings_(configured),
      outlet_(outlet),
      checker_(checker),
      storage_(std::move(storage)),
      seed_(seed),
      self_(OwnRecord(configured)),
      founding_(self_, configured.control),
      children_(ChildBook(configured.control.max_direct_nodes)),
      repair_(WantedVoters(configured.control)) {}

inner::member_record control_member::OwnRecord(
    const settings& configured) const {
  inner::member_record record;
  record.set_id(storage_.Member());
  record.set_name(configured.name);
  record.set_address(OwnAddress(configured));
  record.set_zone(configured.zone);
  record.set_role(inner::STANDBY);
  return record;
}

result<std::unique_ptr<control_member>> control_member::Open(
    const settings& configured, control::file_system* files,
    control_outlet* outlet, submission_checker* checker, member_id fresh_member,
    uint64_t seed, absl::Time now) {
  BOOST_OUTCOME_TRY(storage,
                    control_storage::Open(files, configured.control.data_folder,
                                          fresh_member));
  std::unique_ptr<control_member> member(new control_member(
      configured, outlet, checker, std::move(storage), seed));
  BOOST_OUTCOME_TRYV(member->Start(now));
  return member;
}

result<void> control_member::Start(absl::Time now) {
  control::recovered_state recovered = storage_.TakeRecovered();
  if (recovered.snapshot != nullptr) {
    applied_index_ = recovered.snapshot->index();
    if (!recovered.snapshot->data().empty()) {
      BOOST_OUTCOME_TRYV(state_.Restore(recovered.snapshot->data()));
    }
  }
  log_line(log_level::kInfo, "control_start")
      .With("member", self_.id())
      .With("snapshot", applied_index_)
      .With("entries", recovered.entries.size())
      .With("starts", storage_.Starts());
  raft_.emplace(RaftOptions(), std::move(recovered), seed_, now);
  next_hello_ = now;
  next_repair_ = now;
  retry_write_at_ = now;
  return TryFound(now);
}

control::raft_options control_member::RaftOptions() const {
  control::raft_options options;
  options.self = self_.id();
  options.run = control::RunOf(storage_.Starts(), seed_);
  options.guards_old_copies = settings_.control.guards_old_copies;
  return options;
}

error control_member::EndAsFormer() const {
  error found = {error_kind::kFormerGroup, settings_.control.data_folder,
                 "empty the folder to join the group that replaced it"};
  log_line(log_level::kError, "former_group")
      .With("member", self_.id())
      .With("code", CodeOf(found.kind))
      .With("place", found.place);
  return found;
}

result<void> control_member::GiveUpOldCopy() {
  BOOST_OUTCOME_TRYV(storage_.Abandon());
  const error found = {error_kind::kDiskIdentity, settings_.control.data_folder,
                       "the folder is an old copy; it was given up"};
  log_line(log_level::kError, "old_copy_of_disk")
      .With("member", self_.id())
      .With("code", CodeOf(found.kind))
      .With("place", found.place);
  return found;
}

result<void> control_member::TryFound(absl::Time now) {
  if (raft_->LastIndex() > 0 || raft_->Term() > 0) {
    return outcome::success();
  }
  const auto membership = founding_.Membership();
  if (!membership) {
    return outcome::success();
  }
  const control::recovered_state founding = control::FoundingState(*membership);
  BOOST_OUTCOME_TRYV(storage_.Found(founding));
  log_line(log_level::kInfo, "control_founded")
      .With("members", membership->members_size());
  raft_.emplace(RaftOptions(), founding, seed_, now);
  applied_index_ = founding.snapshot->index();
  return outcome::success();
}

void control_member::OnRequest(const std::string& client,
                               const inner::control_request& request,
                               absl::Time now) {
  switch (request.body_case()) {
    case inner::control_request::kPull:
      OnPull(client, request.pull(), now);
      break;
    case inner::control_request::kOperation:
      OnOperation(client, request.operation(), now);
      break;
    case inner::control_request::kRaft:
      OnRaft(request, now);
      break;
    case inner::control_request::kHello:
      OnHello(request.hello(), now);
      break;
    case inner::control_request::BODY_NOT_SET:
      break;
  }
}

void control_member::OnRaft(const inner::control_request& request,
                            absl::Time now) {
  addresses_[request.raft().from()] = request.sender_address();
  raft_->Step(request.raft(), now);
}

void control_member::Send(const inner::raft_message& message) {
  const inner::member_record* member = raft_->Membership().Find(message.to());
  std::string address;
  if (member != nullptr) {
    address = member->address();
  } else if (const auto found = addresses_.find(message.to());
             found != addresses_.end()) {
    address = found->second;
  }
  if (address.empty()) {
    return;
  }
  inner::control_request request;
  *request.mutable_raft() = message;
  request.set_sender_address(self_.address());
  outlet_->SendToPeer(address, request);
}

result<void> control_member::Advance(absl::Time now) {
  has_advanced_ = true;
  if (raft_->RunsOnOldCopy()) {
    return GiveUpOldCopy();
  }
  if (raft_->IsGroupReplaced()) {
    return EndAsFormer();
  }
  BOOST_OUTCOME_TRYV(TryFound(now));
  SendHellos(now);
  if (now >= raft_->NextDeadline()) {
    raft_->Tick(now);
  }
  FollowRole(now);
  ProposeBatch(now);
  ProposeRepair(now);
  BOOST_OUTCOME_TRYV(DrainReady(now));
  FollowRole(now);
  NoteCommitted();
  ExpirePending(now);
  return CompactIfDue();
}

result<void> control_member::DrainReady(absl::Time now) {
  if (stalled_) {
    if (now < retry_write_at_) {
      return outcome::success();
    }
    const control::raft_ready ready = *std::exchange(stalled_, std::nullopt);
    BOOST_OUTCOME_TRY(written, WriteReady(ready, now));
    if (!written) {
      return outcome::success();
    }
    BOOST_OUTCOME_TRYV(Finish(ready, now));
  }
  while (raft_->HasReady()) {
    const control::raft_ready ready = raft_->TakeReady();
    for (const inner::raft_message& message : ready.messages_now) {
      Send(message);
    }
    BOOST_OUTCOME_TRY(written, WriteReady(ready, now));
    if (!written) {
      return outcome::success();
    }
    BOOST_OUTCOME_TRYV(Finish(ready, now));
  }
  return outcome::success();
}

// False when the disk is full: the rest of `ready` waits.
result<bool> control_member::WriteReady(const control::raft_ready& ready,
                                        absl::Time now) {
  if (!ready.MustSync()) {
    return true;
  }
  const result<void> written = storage_.Write(ready);
  if (written) {
    raft_->Persisted(ready.sequence, now);
    return true;
  }
  if (written.error().kind != error_kind::kDiskFull) {
    return written.error();
  }
  log_line(log_level::kError, "disk_full").With("place", written.error().place);
  stalled_ = ready;
  retry_write_at_ = now + kFullDiskRetry;
  return false;
}

result<void> control_member::Finish(const control::raft_ready& ready,
                                    absl::Time now) {
  for (const inner::raft_message& message : ready.messages_after_sync) {
    Send(message);
  }
  if (ready.snapshot != nullptr) {
    if (ready.snapshot->data().empty()) {
      state_ = control::control_state();
    } else {
      BOOST_OUTCOME_TRYV(state_.Restore(ready.snapshot->data()));
    }
    applied_index_ = ready.snapshot->index();
    ResolveUpTo(applied_index_);
  }
  for (const inner::raft_entry& entry : ready.committed) {
    ApplyEntry(entry, now);
  }
  return outcome::success();
}

void control_member::ApplyEntry(const inner::raft_entry& entry,
                                absl::Time now) {
  control::apply_outcome outcome;
  if (entry.has_command()) {
    outcome = state_.Apply(entry.index(), entry.command());
  }
  applied_index_ = entry.index();
  if (batch_index_ && *batch_index_ <= entry.index()) {
    batch_index_.reset();
    registry_.OnBatchDone();
  }
  CountApplied(entry, outcome, now);
  if (outcome.configuration_changed) {
    unnoted_commit_ = entry.index();
    log_line(log_level::kInfo, "configuration")
        .With("index", entry.index())
        .With("version", state_.Configuration()->version());
  }
  if (outcome.submission) {
    log_line(log_level::kInfo, "submission")
        .With("index", entry.index())
        .With("accepted", outcome.submission->Accepted())
        .With("version", outcome.submission->version)
        .With("digest", outcome.submission->digest);
  }
  Resolve(entry.index(), entry.term(), outcome, now);
}

void control_member::CountApplied(const inner::raft_entry& entry,
                                  const control::apply_outcome& outcome,
                                  absl::Time now) {
  recorder_->Add(metric::kEntriesCommitted);
  if (outcome.submission) {
    recorder_->Add(outcome.submission->Accepted() ? metric::kTextsAccepted
                                                  : metric::kTextsRefused);
  }
  const auto own = proposed_.find(entry.index());
  if (own != proposed_.end()) {
    recorder_->Record(metric::kCommitTime, now - own->second);
  }
  proposed_.erase(proposed_.begin(), proposed_.upper_bound(entry.index()));
}

// After the answer went out. So a member that starts again serves what it had
// applied before there is a leader. Without the note it waits for one.
void control_member::NoteCommitted() {
  if (stalled_ || !unnoted_commit_) {
    return;
  }
  const result<void> noted =
      storage_.WriteCommitted(*std::exchange(unnoted_commit_, std::nullopt));
  if (!noted) {
    log_line(log_level::kWarn, "commit_not_noted")
        .With("reason", Describe(noted.error()));
  }
}

result<void> control_member::CompactIfDue() {
  if (stalled_ || !storage_.WantsSnapshot() ||
      applied_index_ <= raft_->SnapshotIndex()) {
    return outcome::success();
  }
  BOOST_OUTCOME_TRY(snapshot,
                    raft_->Compact(applied_index_, state_.Snapshot()));
  const result<void> stored = storage_.Compact(*snapshot);
  log_line(log_level::kInfo, "snapshot")
      .With("index", applied_index_)
      .With("bytes", snapshot->data().size())
      .With("stored", stored.has_value());
  // Without room for a snapshot the log goes on as it is.
  const bool is_full = !stored && stored.error().kind == error_kind::kDiskFull;
  return is_full ? outcome::success() : stored;
}

void control_member::FollowRole(absl::Time now) {
  if (raft_->Role() != control::raft_role::kLeader) {
    leading_term_ = 0;
    quorum_watch_.Reset();
    recorder_->Set(metric::kSpareVoters, 0);
    proposed_.clear();
    batch_index_.reset();
    registry_.StopLeading();
    return;
  }
  if (leading_term_ == raft_->Term() || !raft_->HoldsLease(now) ||
      applied_index_ < raft_->CommitIndex()) {
    return;
  }
  leading_term_ = raft_->Term();
  recorder_->Add(metric::kLeaderships);
  leading_since_ = now;
  stamp_base_ = state_.LatestTime();
  registry_.StartLeading(state_, now);
  children_ = ChildBook(settings_.control.max_direct_nodes);
  log_line(log_level::kInfo, "leading").With("term", leading_term_);
}

result<uint64_t> control_member::Propose(const inner::command& command,
                                         absl::Time now) {
  return Propose(command.SerializeAsString(), now);
}

result<uint64_t> control_member::Propose(std::string command, absl::Time now) {
  const absl::Time stamp = stamp_base_ + (now - leading_since_);
  // Protobuf reads messages behind each other as one.
  inner::command time;
  time.set_time_ms(absl::ToUnixMillis(stamp));
  time.AppendToString(&command);
  BOOST_OUTCOME_TRY(index, raft_->Propose(std::move(command), now));
  proposed_[index] = now;
  return index;
}

void control_member::ProposeBatch(absl::Time now) {
  if (leading_term_ == 0 || stopping_ || !raft_->HoldsLease(now)) {
    return;
  }
  const auto batch = registry_.BuildBatch(state_, now);
  if (!batch) {
    return;
  }
  log_line(log_level::kInfo, "registry_batch")
      .With("joined", batch->joined_size())
      .With("drained", batch->drained_size())
      .With("lost", batch->lost_size())
      .With("lost_zones", batch->lost_zones_size());
  inner::command command;
  *command.mutable_registry() = *batch;
  const auto index = Propose(command, now);
  if (index) {
    batch_index_ = index.value();
  } else {
    registry_.OnBatchDone();
  }
}

void control_member::ProposeRepair(absl::Time now) {
  if (now < next_repair_ || leading_term_ == 0 || stopping_ ||
      !raft_->HoldsLease(now) || raft_->IsMembershipChanging()) {
    return;
  }
  next_repair_ = now + kRepairInterval;
  ReportMargin(now);
  const auto change =
      repair_.NextChange(self_.id(), raft_->MemberStatuses(), now);
  if (!change) {
    return;
  }
  const auto index = raft_->ProposeMembership(*change, now);
  recorder_->Add(metric::kRepairs, index.has_value() ? 1 : 0);
  log_line(log_level::kInfo, "membership_change")
      .With("kind", control::NameOf(change->kind))
      .With("member", change->member.id())
      .With("name", change->member.name())
      .With("proposed", index.has_value());
}

void control_member::ReportMargin(absl::Time now) {
  const control::quorum_margin margin =
      repair_.Margin(self_.id(), raft_->MemberStatuses(), now);
  recorder_->Set(metric::kSpareVoters, margin.spare);
  if (!quorum_watch_.IsReportDue(margin, now)) {
    return;
  }
  log_line(margin.spare == 0 ? log_level::kWarn : log_level::kInfo,
           "spare_voters")
      .With("spare", margin.spare)
      .With("voters", margin.voters)
      .With("available", margin.available)
      .With("members", raft_->Membership().Members().size());
}

absl::Time control_member::NextDeadline() const {
  // What was committed before the start is in force after the first Advance.
  if (!has_advanced_) {
    return absl::InfinitePast();
  }
  absl::Time next = std::min(raft_->NextDeadline(), registry_.NextDeadline());
  if (leading_term_ != 0) {
    next = std::min(next, next_repair_);
  }
  if (raft_->Membership().Find(self_.id()) == nullptr) {
    next = std::min(next, next_hello_);
  }
  return next;
}

void control_member::BeginStop(absl::Time now) {
  stopping_ = true;
  leave_deadline_ = now + kLeaveTimeout;
  next_hello_ = now;
  const control::raft_member_status* chosen = nullptr;
  const auto statuses = raft_->MemberStatuses();
  for (const control::raft_member_status& status : statuses) {
    const bool is_other_voter = status.member.id() != self_.id() &&
                                status.member.role() == inner::VOTER;
    if (is_other_voter &&
        (chosen == nullptr || status.last_contact > chosen->last_contact)) {
      chosen = &status;
    }
  }
  if (chosen != nullptr) {
    const auto begun = raft_->TransferLeadership(chosen->member.id(), now);
    log_line(log_level::kInfo, "leadership_transfer")
        .With("member", chosen->member.id())
        .With("begun", begun.has_value());
  }
}

bool control_member::IsStopped(absl::Time now) const {
  if (raft_->Membership().VoterCount() == 1) {
    return true;
  }
  return raft_->Role() != control::raft_role::kLeader &&
         (!MayBeReplaced() || now >= leave_deadline_);
}

// True while this member is a voter and the group has a standby.
bool control_member::MayBeReplaced() const {
  const auto& members = raft_->Membership().Members();
  return raft_->Membership().IsVoter(self_.id()) &&
         std::any_of(members.begin(), members.end(), [](const auto& member) {
           return member.role() == inner::STANDBY;
         });
}

}  // namespace cardamomroute
