#ifndef CARDAMOMROUTE_DIRECTORY_ANNOUNCER_H_
#define CARDAMOMROUTE_DIRECTORY_ANNOUNCER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "base/ipv4_address.h"
#include "directory/control_contacts.h"
#include "directory/upstream_state.h"
#include "inner/directory.pb.h"

namespace cardamomroute {

/// How often an agent announces its upstream while nothing changes.
inline constexpr absl::Duration kAnnouncementInterval = absl::Milliseconds(500);

/// The same until a member has answered.
inline constexpr absl::Duration kFirstAnnouncements = absl::Milliseconds(50);

/// An announcement and whom it goes to.
struct due_announcement {
  std::vector<ipv4_address> to;
  inner::announcement announced;
};

/// Decides when an agent tells the members of the control group of its
/// upstream: at once when the state changes, else at the interval. Every
/// member is told, so that none has to be reached by the others.
class announcer {
 public:
  /// `own` names the node, its incarnation, service, zone and address.
  announcer(inner::announcement own, std::vector<ipv4_address> seeds);

  /// The upstream's state or slots, which may be as before.
  void OnUpstream(upstream_state state, uint32_t slots);

  void OnSeeds(std::vector<ipv4_address> seeds) {
    contacts_.OnSeeds(std::move(seeds));
  }

  void OnAnswer(const inner::announcement_answer& answer, absl::Time now);

  /// What is to be sent as the last thing, where the upstream has ended.
  due_announcement Leave(absl::Time now);

  /// What is to be sent now, if anything.
  std::optional<due_announcement> Due(absl::Time now);

  /// When Due has something, unless the state changes.
  absl::Time NextDeadline() const { return next_; }

 private:
  inner::announcement own_;
  control_contacts contacts_;
  absl::Time next_ = absl::InfinitePast();
  bool is_answered_ = false;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_DIRECTORY_ANNOUNCER_H_
