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

/// Numbers of service and node ids that a recovered group skips, because the
/// previous group may have assigned them in log entries that are lost.
inline constexpr service_id kServiceIdsSkipped = service_id{1} << 22;
inline constexpr uint64_t kNodeIdsSkipped = uint64_t{1} << 32;

/// Result of applying one log entry.
struct apply_outcome {
  /// Set if the entry was a submission.
  std::optional<submission_outcome> submission;
  /// True if the view has a new version, which is the index of the entry.
  bool view_changed = false;
  /// True if the routes changed.
  bool configuration_changed = false;
};

/// The routes. The state and the servers that send them to nodes share one
/// immutable copy.
using shared_configuration = std::shared_ptr<const inner::configuration_record>;

/// The accepted text that is in force.
struct text_in_force {
  /// Index of the log entry that accepted it; 0 before the first text.
  uint64_t version = 0;
  /// The text in its canonical form.
  std::string text;
  std::string digest;
};

/// State machine of the replicated log. It is deterministic and reads no clock:
/// the same entries produce the same state, byte for byte.
class control_state {
 public:
  /// Applies the entry at `index`, which must be greater than that of the
  /// previous call. Entries that cannot be parsed change nothing.
  apply_outcome Apply(uint64_t index, std::string_view command_bytes);

  /// Returns the whole state in serialized form.
  std::string Snapshot() const;

  /// Replaces the state by one that Snapshot serialized. Fails with
  /// kMalformedMessage; the state is then undefined.
  result<void> Restore(std::string_view snapshot);

  /// Makes this the initial state, at `index`, of a recovered group that
  /// replaces the previous one. The view and the text, if any, get `index` as
  /// their version. Service and node ids that the previous group may have
  /// assigned are skipped. A submission that is based on an older version fails
  /// with kOutcomeLost instead of kVersionConflict, because the previous group
  /// may have accepted it. Fails with kValueOutOfRange if the service ids are
  /// exhausted.
  result<void> BeginGroup(uint64_t index);

  /// Index at which this group began; 0 for a group that was not recovered. The
  /// content of versions below it is unknown unless the state remembers the
  /// submission.
  uint64_t GroupBegin() const { return group_begin_; }

  const text_in_force& Text() const { return text_; }
  /// Returns the routes in force, never null. Their version is assigned by the
  /// operator and only increases; it is 0 before the first routes.
  const shared_configuration& Configuration() const { return configuration_; }
  const view& View() const { return view_.Current(); }
  const node_table& Nodes() const { return nodes_; }
  /// Latest timestamp among the applied entries.
  absl::Time LatestTime() const { return latest_time_; }

  /// True if the text in force defines a service with this name.
  bool HasService(const std::string& name) const {
    return view_.FindServiceNamed(name) != nullptr;
  }

  /// Returns the delta that takes a node from `have_version` to the current
  /// view. With a service name, the delta has only what agents of that service
  /// need.
  inner::view_delta DeltaFrom(uint64_t have_version,
                              const std::string& service_name = "") const {
    return view_.DeltaFrom(have_version, service_name);
  }

  /// Returns the outcome of an earlier submission; see
  /// submission_memory::Recall.
  result<const submission_outcome*> Recall(
      const inner::submit_text& submission) const {
    return submissions_.Recall(submission);
  }

 private:
  using service_ids = absl::flat_hash_map<std::string, service_id>;

  submission_outcome Submit(uint64_t index,
                            const inner::submit_text& submission);
  error ConflictError(const inner::submit_text& submission) const;
  result<void> CheckSubmission(const inner::submit_text& submission) const;
  result<void> CheckAddress(const inner::service_definition& wanted) const;
  void Activate(uint64_t index, const inner::submit_text& submission);
  void RemoveServicesNotIn(const inner::submit_text& submission);
  void PutServices(const inner::submit_text& submission);
  void ReleaseAddress(const service& former);
  service BuildService(service_id id,
                       const inner::service_definition& definition,
                       const service_ids& ids) const;

  bool UpdateConfiguration(const inner::configuration_record& wanted);

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
