#ifndef CARDAMOMROUTE_CARDAMOMROUTE_RELAY_NODE_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_RELAY_NODE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/endpoint.h"
#include "cardamomroute/node_event.h"
#include "inner/node.pb.h"
#include "view/member_book.h"
#include "view/relay_core.h"
#include "view/view.h"
#include "view/view_history.h"

namespace cardamomroute {

/// A request to a control VM or to a node that relays.
struct relay_pull {
  endpoint to;
  inner::pull_request request;
};

/// What a balancer or agent does about the view: pulls what changed from its
/// parent in the tree, serves nodes that pull from it, and reports who is
/// alive below it. It tells control of itself directly until control has given
/// it an id, and while it leaves. An agent takes the view filtered by its
/// service while no agent has to relay, and then serves nobody. No sockets, no
/// clock.
class relay_node {
 public:
  /// `announcement` has the node's record, name and incarnation.
  relay_node(std::vector<endpoint> control, inner::pull_request announcement);

  /// Says from now on that this node is leaving.
  void Leave(absl::Time now);

  /// Announces the node as a new incarnation from now on.
  void AnnounceAnew(uint64_t incarnation, absl::Time now);

  /// Pulls at once instead of at the next interval.
  void PullSoon() { core_.PullSoon(); }

  /// The pull that is due, if any.
  std::optional<relay_pull> NextPull(absl::Time now);

  /// What is to be told to control directly now, if anything.
  std::optional<relay_pull> NextAnnouncement(absl::Time now);

  /// When one of the two has something, unless an answer comes before.
  absl::Time NextDeadline() const;

  /// The answer to the latest pull; what it means for the traffic threads.
  std::optional<node_event> OnAnswer(const inner::pull_answer& answer,
                                     absl::Time now);

  /// The answer to the latest announcement.
  std::optional<node_event> OnAnnouncementAnswer(
      const inner::pull_answer& answer);

  /// A pull of another node. `now` was read after it came in.
  inner::pull_answer OnPull(const inner::pull_request& pull, absl::Time now);

  /// True while it pulls from another node.
  bool IsRelayed() const { return !IsControl(core_.parent()); }

  /// True while control has to be told of this node past a relay.
  bool MustAnnounce() const {
    return IsRelayed() && (own_id_ == 0 || is_leaving_);
  }

  /// What control is told of this node.
  inner::pull_request Announcement() const;

  uint64_t view_version() const { return view_.version; }

  /// False while it has no more than what agents of its service need.
  bool IsWhole() const { return is_whole_; }

 private:
  bool IsControl(const endpoint& address) const;
  void AddSubtree(inner::pull_request* request, absl::Time now);
  relay_answer ToCore(const inner::pull_answer& answer) const;
  /// Takes an id that control gave; true when it is a new one.
  bool TakeOwnId(const inner::pull_answer& answer, uint64_t incarnation);
  std::optional<node_event> TakeLateDelta(const inner::pull_answer& answer);
  void TakeDelta(const inner::view_delta& delta, node_event* event);
  bool TakeChange(const inner::view_delta& delta, view_change* change);
  /// What the traffic threads are told: an agent's needs no more than its part.
  void PassOn(view_change change, node_event* event) const;
  void PassOnWhole(node_event* event) const;
  void TakeTree();
  bool WantsWhole() const;
  /// Gives up what it has beyond its part, once nobody needs it.
  void SettleScope(absl::Time now);
  void SetScope(absl::Time now, inner::pull_request* request);
  void HurryReport(absl::Time now);
  bool HasSelf() const;

  const std::vector<endpoint> control_;
  inner::pull_request announcement_;
  const endpoint own_;
  bool is_leaving_ = false;

  relay_core core_;
  member_book members_;
  view view_;
  view_history history_;
  uint32_t max_direct_nodes_ = 0;
  /// Targets in the whole view, as the last answer said.
  uint32_t view_targets_ = 0;

  /// An agent's service; empty for balancers.
  const std::string service_;
  /// What `view_` is.
  bool is_whole_;
  bool agents_relay_ = false;
  /// Until then a whole view is kept that is not needed at present.
  absl::Time keeps_whole_until_ = absl::InfinitePast();
  /// When to ask for the whole view again while it has not come.
  absl::Time next_whole_ = absl::InfinitePast();

  uint64_t own_id_ = 0;
  /// Control said so when this version was in force.
  uint64_t own_id_version_ = 0;

  /// Of the latest pull.
  uint32_t sequence_ = 0;
  uint64_t pulled_incarnation_ = 0;
  uint64_t reported_digest_ = 0;
  /// The oldest version in the subtree.
  uint64_t reported_version_ = 0;
  /// The parent that has the members with `known_digest_`.
  endpoint known_parent_;
  uint64_t known_digest_ = 0;

  /// Where control was last said to lead, and where to announce.
  endpoint leader_;
  std::size_t next_control_ = 0;
  absl::Time next_announcement_ = absl::InfinitePast();
  uint32_t announced_sequence_ = 0;
  uint64_t announced_incarnation_ = 0;
  bool is_announcement_answered_ = true;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_RELAY_NODE_H_
