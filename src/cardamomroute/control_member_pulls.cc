#include <algorithm>
#include <string>
#include <vector>

#include "absl/hash/hash.h"
#include "cardamomroute/control_member.h"
#include "view/subtree_codec.h"

namespace cardamomroute {
namespace {

// Where a node may pull from that control does not serve itself.
constexpr size_t kSuggestedChildren = 8;

}  // namespace

// A leader knows of every version that its group has handed out. A node that is
// ahead of it follows a group that has replaced this one: it is neither served
// nor counted here.
bool control_member::IsServedElsewhere(const inner::pull_request& pull,
                                       absl::Time now) const {
  return leading_term_ == 0 || !raft_->HoldsLease(now) ||
         pull.have_version() > state_.View().version;
}

void control_member::OnPull(const std::string& client,
                            const inner::pull_request& pull, absl::Time now) {
  inner::control_answer answer;
  inner::pull_answer* pulled = answer.mutable_pull();
  pulled->set_sequence(pull.sequence());
  if (IsServedElsewhere(pull, now)) {
    const std::string leader = LeaderAddress();
    pulled->set_leader(leader.empty() ? NextPeerAddress() : leader);
    recorder_->Add(metric::kPullsNotLeading);
    if (!pulled->leader().empty()) {
      outlet_->Answer(client, answer);
    }
    return;
  }
  recorder_->Add(metric::kPulls);
  pulled->set_needs_members(!registry_.OnPull(pull, state_, now));
  const uint64_t present = state_.View().version;
  pulled->set_present_version(present);
  pulled->set_max_direct_nodes(settings_.control.max_direct_nodes);
  pulled->set_view_targets(static_cast<uint32_t>(state_.View().targets.size()));
  const control::registered_node* node = state_.Nodes().Find(pull.node_name());
  if (node != nullptr && node->incarnation == pull.incarnation()) {
    pulled->set_own_id(node->id);
  }
  if (!pull.announce_only()) {
    TakeChild(pull, now, pulled);
  }
  const uint64_t have = pull.lacks_items() ? 0 : pull.have_version();
  if (pulled->taken() && have < present) {
    *pulled->mutable_delta() = state_.DeltaFrom(have, pull.view_service());
    recorder_->Add(pulled->delta().from_version() == 0 ? metric::kFullViewsSent
                                                       : metric::kDeltasSent);
  }
  outlet_->Answer(client, answer);
}

// A node beyond the bound is sent to some of those that are served, other
// nodes to others.
void control_member::TakeChild(const inner::pull_request& pull, absl::Time now,
                               inner::pull_answer* pulled) {
  const auto address = ReadAnnouncedAddress(pull);
  if (!address) {
    return;
  }
  pulled->set_taken(children_.OnPull(address.value(), ReadCounts(pull), now,
                                     !pull.view_service().empty()));
  if (pulled->taken()) {
    return;
  }
  const std::vector<endpoint> children = children_.Relays();
  const size_t first = absl::HashOf(address.value());
  for (size_t i = 0; i < std::min(children.size(), kSuggestedChildren); ++i) {
    pulled->add_children(ToString(children[(first + i) % children.size()]));
  }
}

}  // namespace cardamomroute
