#ifndef CARDAMOMROUTE_CONTROL_CONTROL_STATE_H_
#define CARDAMOMROUTE_CONTROL_CONTROL_STATE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/result.h"
#include "control/control_state_nodes.h"
#include "control/control_state_quarantine.h"
#include "control/control_state_view.h"
#include "control/submission_history.h"
#include "control/submission_outcome.h"
#include "inner/command.pb.h"
#include "view/view.h"

namespace cardamomroute::control {

/// Ids of services and nodes that a recovered group leaves out, since the group
/// before it may have given them in entries that are lost.
inline constexpr service_id kServiceIdsSkipped = service_id{1} << 22;
inline constexpr uint64_t kNodeIdsSkipped = uint64_t{1} << 32;

/// What one entry of the log did.
struct apply_outcome {
  /// Set where the entry was a submission.
  std::optional<submission_outcome> submission;
  /// The view has a new version: the entry's index.
  bool view_changed = false;
  /// The routes have changed.
  bool configuration_changed = false;
};

/// Routes are shared with those who serve them to nodes.
using shared_configuration = std::shared_ptr<const inner::configuration_record>;

/// The text in force.
struct text_in_force {
  /// Index of the entry that was accepted; 0 before the first text.
  uint64_t version = 0;
  /// Canonical form.
  std::string text;
  std::string digest;
};

/// The state machine behind the replicated log. It reads no clock: equal
/// entries lead to equal states, byte for byte.
class control_state {
 public:
  /// Applies the entry at `index`, which rises from call to call; entries
  /// that cannot be read change nothing.
  apply_outcome Apply(uint64_t index, std::string_view command_bytes);

  /// The whole state as bytes.
  std::string Snapshot() const;

  /// Takes what Snapshot gave. Fails with kMalformedMessage and leaves an
  /// undefined state then.
  result<void> Restore(std::string_view snapshot);

  /// Makes this the state at `index`, the first of a group that replaces the
  /// one before: the view and the text, if any, have it as their version, a
  /// submission based on an older version is no longer answered as refused,
  /// because the group before may have accepted it, and no id is given twice.
  /// Fails with kValueOutOfRange when the ids of services are used up.
  result<void> BeginGroup(uint64_t index);

  /// Index at which this group began; 0 for a founded one. What versions below
  /// it stood for is not known, unless the state remembers the submission.
  uint64_t GroupBegin() const { return group_begin_; }

  const text_in_force& Text() const { return text_; }
  /// The routes in force with the operator's number, which only rises; version
  /// 0 before the first. Never null.
  const shared_configuration& Configuration() const { return configuration_; }
  const view& View() const { return view_.Present(); }
  const node_table& Nodes() const { return nodes_; }
  /// Highest time stamp of the entries applied.
  absl::Time LatestTime() const { return latest_time_; }

  /// True if the text in force has a service with this name.
  bool HasService(const std::string& name) const {
    return view_.FindServiceNamed(name) != nullptr;
  }

  /// What leads a node from `have_version` to the present view, or to what
  /// agents of the named service need of it.
  inner::view_delta DeltaFrom(uint64_t have_version,
                              const std::string& service_name = "") const {
    return view_.DeltaFrom(have_version, service_name);
  }

  /// The outcome of an earlier submission; see submission_history::Recall.
  result<const submission_outcome*> Recall(
      const inner::submit_text& submission) const {
    return submissions_.Recall(submission);
  }

 private:
  using service_ids = absl::flat_hash_map<std::string, service_id>;

  submission_outcome Submit(uint64_t index,
                            const inner::submit_text& submission);
  error Conflict(const inner::submit_text& submission) const;
  result<void> Admit(const inner::submit_text& submission) const;
  result<void> CheckAddress(const inner::service_definition& wanted) const;
  void PutInForce(uint64_t index, const inner::submit_text& submission);
  void RemoveServicesNotIn(const inner::submit_text& submission);
  void PutServices(const inner::submit_text& submission);
  void ReleaseAddress(const service& former);
  service ReadService(service_id id,
                      const inner::service_definition& definition,
                      const service_ids& ids) const;

  bool PutConfiguration(const inner::configuration_record& wanted);

  text_in_force text_;
  shared_configuration configuration_ =
      std::make_shared<const inner::configuration_record>();
  versioned_view view_;
  node_table nodes_;
  submission_history submissions_;
  address_quarantine quarantine_;
  absl::Time latest_time_ = absl::UnixEpoch();
  uint64_t group_begin_ = 0;
  service_id next_service_ = 1;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_CONTROL_STATE_H_
