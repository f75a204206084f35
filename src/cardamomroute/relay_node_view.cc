#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

#include "cardamomroute/relay_node.h"
#include "view/relay_tree.h"
#include "view/view_codec.h"
#include "view/view_filter.h"

namespace cardamomroute {
namespace {

/// How long a whole view that is not needed is kept, lest a number of nodes
/// near a bound fetches it again and again.
constexpr absl::Duration kWholeKept = absl::Minutes(1);
/// Between two requests for a whole view that has not come.
constexpr absl::Duration kWholeInterval = absl::Seconds(2);

bool TouchesNodes(const view_change& change) {
  return change.from_version == 0 || !change.targets.empty() ||
         !change.removed_targets.empty() || !change.balancers.empty() ||
         !change.removed_balancers.empty();
}

view_change WholeOf(const view& present) {
  view_change whole;
  whole.to_version = present.version;
  whole.services = present.services;
  whole.targets = present.targets;
  whole.balancers = present.balancers;
  return whole;
}

}  // namespace

bool relay_node::WantsWhole() const {
  return service_.empty() || agents_relay_;
}

void relay_node::SettleScope(absl::Time now) {
  if (WantsWhole()) {
    keeps_whole_until_ = now + kWholeKept;
  } else if (is_whole_ && now >= keeps_whole_until_) {
    view_ = FilterView(view_, service_);
    is_whole_ = false;
  }
}

// Between two requests for the whole view it goes on with its part, so that
// its lease does not wait for many bytes.
void relay_node::SetScope(absl::Time now, inner::pull_request* request) {
  if (is_whole_) {
    return;
  }
  if (!WantsWhole() || now < next_whole_) {
    request->set_view_service(service_);
    return;
  }
  next_whole_ = now + kWholeInterval;
  request->set_lacks_items(true);
}

bool relay_node::HasSelf() const {
  return view_.FindTarget(own_id_) != nullptr ||
         std::any_of(view_.balancers.begin(), view_.balancers.end(),
                     [&](const balancer& item) { return item.id == own_id_; });
}

void relay_node::TakeDelta(const inner::view_delta& delta, node_event* event) {
  const bool adds_items =
      !is_whole_ && delta.service().empty() && delta.from_version() == 0;
  if (delta.to_version() < view_.version ||
      (delta.to_version() == view_.version && !adds_items)) {
    return;
  }
  auto change = DecodeDelta(delta);
  if (!change || !TakeChange(delta, &change.value())) {
    return;
  }
  if (TouchesNodes(change.value())) {
    // Whoever has left the view has to announce itself anew.
    if (own_id_ != 0 && view_.version >= own_id_version_ && !HasSelf()) {
      own_id_ = 0;
      next_announcement_ = absl::InfinitePast();
    }
    TakeTree();
  }
  PassOn(std::move(change).value(), event);
}

// An answer to an earlier pull may be of the other kind than `view_`: a whole
// view takes the place of a part, a part is of no use beside a whole view.
bool relay_node::TakeChange(const inner::view_delta& delta,
                            view_change* change) {
  const bool is_part = !delta.service().empty();
  if (is_part && (is_whole_ || delta.service() != service_)) {
    return false;
  }
  const bool becomes_whole =
      !is_part && !is_whole_ && change->from_version == 0;
  if (becomes_whole) {
    view_ = view();
    is_whole_ = true;
  }
  const view_change told = *change;
  ExpandLostZones(view_, change);
  if (!ApplyChange(&view_, *change)) {
    return false;
  }
  if (!is_whole_ && !is_part) {
    view_ = FilterView(view_, service_);
  }
  history_.Remember(told);
  return true;
}

void relay_node::PassOn(view_change change, node_event* event) const {
  if (!service_.empty()) {
    FilterChange(view_, service_, &change);
  }
  event->change = std::make_shared<view_change>(std::move(change));
}

void relay_node::TakeTree() {
  // Until an answer has said how many nodes control serves, it serves all.
  if (max_direct_nodes_ == 0) {
    core_.OnTree(relay_tree(view(), control_, control_.size()));
    return;
  }
  const std::size_t targets = is_whole_ ? view_.targets.size() : view_targets_;
  const relay_tree tree(view_, control_, max_direct_nodes_, targets);
  agents_relay_ = tree.AgentsRelay();
  // Until the whole view has come its place stays as it is.
  if (is_whole_ || !agents_relay_) {
    core_.OnTree(tree);
  }
}

void relay_node::PassOnWhole(node_event* event) const {
  PassOn(WholeOf(view_), event);
}

}  // namespace cardamomroute
