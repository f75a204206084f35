#ifndef CARDAMOMROUTE_DIRECTORY_ANNOUNCER_H_
#define CARDAMOMROUTE_DIRECTORY_ANNOUNCER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "base/ipv4_address.h"
#include "directory/control_contacts.h"
#include "directory/upstream_state.h"
#include "inner/directory.pb.h"

namespace cardamomroute {

/// How often an agent announces its upstream to a member while nothing changes.
/// After an all-stop balancers wait that long before they tell callers of
/// lost flows.
inline constexpr absl::Duration kAnnouncementInterval = absl::Milliseconds(200);

/// When an announcement that a member has not answered is repeated to it.
inline constexpr absl::Duration kAnnouncementTimeout = absl::Milliseconds(50);

/// A member that has not answered for this long is announced to at the usual
/// interval: it is away for longer than a restart takes.
inline constexpr absl::Duration kQuickAnnouncements = absl::Seconds(2);

/// An announcement and whom it goes to.
struct due_announcement {
  std::vector<ipv4_address> to;
  inner::announcement announced;
};

/// Decides when an agent tells the members of the control group of its
/// upstream: at once when the state changes, else at the interval, and sooner
/// where a member does not answer. Every member is told, so that none has to be
/// reached by the others.
class announcer {
 public:
  /// `own` names the node, its incarnation, service, zone and address.
  announcer(inner::announcement own, std::vector<ipv4_address> seeds);

  /// The upstream's state or slots, which may be as before.
  void OnUpstream(upstream_state state, uint32_t slots);

  void OnSeeds(std::vector<ipv4_address> seeds);

  /// The member's answer to an announcement.
  void OnAnswer(const ipv4_address& member,
                const inner::announcement_answer& answer, absl::Time now);

  /// What is to be sent as the last thing, where the upstream has ended.
  due_announcement Leave(absl::Time now);

  /// What is to be sent now, if anything.
  std::optional<due_announcement> Due(absl::Time now);

  /// When Due has something, unless the state changes or an answer comes.
  absl::Time NextDeadline() const { return next_; }

 private:
  struct contact {
    absl::Time due = absl::InfinitePast();
    /// When the first announcement since its last answer was sent; infinitely
    /// far in the future where none was.
    absl::Time unanswered_since = absl::InfiniteFuture();
  };

  inner::announcement own_;
  control_contacts contacts_;
  absl::btree_map<ipv4_address, contact> members_;
  /// Of the first announcement that told of the present state.
  uint64_t state_sequence_ = 1;
  absl::Time next_ = absl::InfinitePast();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_DIRECTORY_ANNOUNCER_H_
