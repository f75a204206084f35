#include "control/control_state.h"

#include <google/protobuf/arena.h>

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "base/concat.h"
#include "view/view_codec.h"

namespace cardamomroute::control {
namespace {

namespace outcome = boost::outcome_v2;

// Nodes reject a view that contains enum values unknown to them.
result<void> CheckEnumValues(const inner::service_definition& wanted) {
  bool known = wanted.protocol() <=
               uint32_t{static_cast<uint8_t>(service_protocol::kCoap)};
  for (const inner::call_record& call : wanted.calls()) {
    known &=
        call.urgency() <= uint32_t{static_cast<uint8_t>(call_class::kOrdinary)};
  }
  if (!known) {
    return error{error_kind::kValueOutOfRange, wanted.name(),
                 "protocol or class that this release does not know"};
  }
  return outcome::success();
}

}  // namespace

apply_outcome control_state::Apply(uint64_t index,
                                   std::string_view command_bytes) {
  google::protobuf::Arena arena;
  auto& command =
      *google::protobuf::Arena::CreateMessage<inner::command>(&arena);
  apply_outcome applied;
  if (!command.ParseFromArray(command_bytes.data(),
                              static_cast<int>(command_bytes.size()))) {
    return applied;
  }
  latest_time_ =
      std::max(latest_time_, absl::FromUnixMillis(command.time_ms()));
  quarantine_.RemoveExpired(latest_time_);
  if (command.has_submit()) {
    applied.submission = Submit(index, command.submit());
  } else if (command.has_registry()) {
    nodes_.Apply(command.registry(), &view_);
    if (view_.HasEdits()) {
      view_.Commit(index);
    }
  }
  if (command.has_configuration()) {
    applied.configuration_changed =
        UpdateConfiguration(command.configuration());
  }
  applied.view_changed = View().version == index;
  return applied;
}

bool control_state::UpdateConfiguration(
    const inner::configuration_record& wanted) {
  if (wanted.version() <= configuration_->version()) {
    return false;
  }
  configuration_ = std::make_shared<const inner::configuration_record>(wanted);
  return true;
}

submission_outcome control_state::Submit(uint64_t index,
                                         const inner::submit_text& submission) {
  const auto remembered = submissions_.Recall(submission);
  if (!remembered) {
    return {remembered.error(), text_.version, text_.digest};
  }
  if (remembered.value() != nullptr) {
    return *remembered.value();
  }
  const result<void> checked = CheckSubmission(submission);
  submission_outcome answer;
  if (checked) {
    Activate(index, submission);
  } else {
    answer.refusal = checked.error();
  }
  answer.version = text_.version;
  answer.digest = text_.digest;
  submissions_.Remember(submission, answer);
  return answer;
}

// The previous group may have accepted a submission based on one of its
// versions in a log entry that is lost.
error control_state::ConflictError(const inner::submit_text& submission) const {
  std::string in_force = Concat("in force is version ", text_.version,
                                " with digest ", text_.digest);
  if (submission.base_version() < group_begin_) {
    return {error_kind::kOutcomeLost, submission.submission_id(),
            std::move(in_force)};
  }
  return {error_kind::kVersionConflict, "", std::move(in_force)};
}

result<void> control_state::BeginGroup(uint64_t index) {
  if (next_service_ >
      std::numeric_limits<service_id>::max() - kServiceIdsSkipped) {
    return error{error_kind::kValueOutOfRange, "group",
                 "this group was recovered too often"};
  }
  group_begin_ = index;
  text_.version = text_.digest.empty() ? 0 : index;
  next_service_ += kServiceIdsSkipped;
  nodes_.SkipIds(kNodeIdsSkipped);
  submissions_.ForgetRefusals();
  view_.RestartAt(index);
  return outcome::success();
}

result<void> control_state::CheckSubmission(
    const inner::submit_text& submission) const {
  if (submission.base_version() != text_.version ||
      submission.base_digest() != text_.digest) {
    return ConflictError(submission);
  }
  for (const inner::service_definition& wanted : submission.services()) {
    BOOST_OUTCOME_TRYV(CheckEnumValues(wanted));
    BOOST_OUTCOME_TRYV(CheckAddress(wanted));
  }
  return outcome::success();
}

result<void> control_state::CheckAddress(
    const inner::service_definition& wanted) const {
  const auto address = ParseEndpoint(wanted.address());
  if (!address) {
    return address.error();
  }
  const service* holder = view_.FindServiceAt(address.value());
  if (holder != nullptr && holder->name != wanted.name()) {
    return error{error_kind::kAddressQuarantined, wanted.address(),
                 Concat("still in use by service ", holder->name,
                        "; take it from there in one text, and give it to ",
                        wanted.name(), " in a later one")};
  }
  const std::string* former =
      quarantine_.HolderOf(address.value(), latest_time_);
  if (former != nullptr && *former != wanted.name()) {
    const absl::Duration left =
        quarantine_.DeadlineOf(address.value()) - latest_time_;
    return error{error_kind::kAddressQuarantined, wanted.address(),
                 Concat("was in use by service ", *former, "; free in ",
                        absl::ToInt64Milliseconds(left), " ms")};
  }
  return outcome::success();
}

void control_state::Activate(uint64_t index,
                             const inner::submit_text& submission) {
  RemoveServicesNotIn(submission);
  PutServices(submission);
  view_.Commit(index);
  text_ = {index, submission.text(), submission.digest()};
}

void control_state::RemoveServicesNotIn(const inner::submit_text& submission) {
  absl::flat_hash_set<std::string_view> wanted;
  for (const inner::service_definition& definition : submission.services()) {
    wanted.insert(definition.name());
  }
  std::vector<service_id> removed;
  for (const service& item : View().services) {
    if (!wanted.contains(item.name)) {
      ReleaseAddress(item);
      removed.push_back(item.id);
    }
  }
  nodes_.RemoveTargetsOf(removed, &view_);
  view_.RemoveServices(removed);
}

void control_state::ReleaseAddress(const service& former) {
  quarantine_.Release(former.address, former.name, latest_time_);
}

// Assigns all ids first, because a service may depend on a later one in the
// text.
void control_state::PutServices(const inner::submit_text& submission) {
  service_ids ids;
  for (const inner::service_definition& definition : submission.services()) {
    const service* current = view_.FindServiceNamed(definition.name());
    ids[definition.name()] = current != nullptr ? current->id : next_service_++;
  }
  for (const inner::service_definition& definition : submission.services()) {
    service item = BuildService(ids.at(definition.name()), definition, ids);
    const service* current = View().FindService(item.id);
    if (current != nullptr && current->address != item.address) {
      ReleaseAddress(*current);
    }
    view_.PutService(std::move(item));
  }
}

service control_state::BuildService(service_id id,
                                    const inner::service_definition& definition,
                                    const service_ids& ids) const {
  const service* current = View().FindService(id);
  service item;
  item.id = id;
  item.name = definition.name();
  item.address = ParseEndpoint(definition.address()).value();
  item.protocol = static_cast<service_protocol>(definition.protocol());
  for (const inner::call_record& record : definition.calls()) {
    // CheckSubmission has validated the enum values.
    item.calls.push_back(DecodeCall(record).value());
  }
  for (const std::string& name : definition.depends_on()) {
    const auto found = ids.find(name);
    if (found != ids.end()) {
      item.depends_on.push_back(found->second);
    }
  }
  std::sort(item.depends_on.begin(), item.depends_on.end());
  if (current != nullptr) {
    item.epoch = current->epoch;
    item.previous_epoch = current->previous_epoch;
  }
  return item;
}

std::string control_state::Snapshot() const {
  inner::state_snapshot snapshot;
  snapshot.set_text_version(text_.version);
  snapshot.set_text(text_.text);
  snapshot.set_digest(text_.digest);
  snapshot.set_time_ms(absl::ToUnixMillis(latest_time_));
  snapshot.set_next_service(next_service_);
  snapshot.set_group_begin(group_begin_);
  if (configuration_->version() != 0) {
    *snapshot.mutable_configuration() = *configuration_;
  }
  *snapshot.mutable_view() = view_.FullDelta();
  nodes_.Save(&snapshot);
  submissions_.Save(&snapshot);
  quarantine_.Save(&snapshot);
  return snapshot.SerializeAsString();
}

result<void> control_state::Restore(std::string_view bytes) {
  inner::state_snapshot snapshot;
  if (!snapshot.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return error{error_kind::kMalformedMessage, "snapshot",
                 "cannot be read as a state_snapshot"};
  }
  BOOST_OUTCOME_TRYV(view_.Restore(snapshot.view()));
  text_ = {snapshot.text_version(), snapshot.text(), snapshot.digest()};
  latest_time_ = absl::FromUnixMillis(snapshot.time_ms());
  next_service_ = std::max<service_id>(snapshot.next_service(), 1);
  group_begin_ = snapshot.group_begin();
  configuration_ = std::make_shared<const inner::configuration_record>(
      snapshot.configuration());
  nodes_.Restore(snapshot, View());
  submissions_.Restore(snapshot);
  quarantine_.Restore(snapshot);
  return outcome::success();
}

}  // namespace cardamomroute::control
