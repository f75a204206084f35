#include "cardamomroute/relay_node.h"

#include <algorithm>
#include <string>
#include <utility>

#include "view/relay_tree.h"
#include "view/subtree_codec.h"

namespace cardamomroute {
namespace {

constexpr absl::Duration kAnnounceInterval = absl::Milliseconds(500);
constexpr absl::Duration kRedirectPause = absl::Milliseconds(20);
/// Ids kept of recent changes, to make what children lack.
constexpr std::size_t kHistoryItems = std::size_t{1} << 14;
/// No knowledge is older than this; keeps it in the range of the message.
constexpr absl::Duration kLongestAge = absl::Hours(1);

endpoint OwnAddress(const inner::pull_request& announcement) {
  const auto address = ReadAnnouncedAddress(announcement);
  return address ? address.value() : endpoint();
}

template <class Strings>
std::vector<endpoint> ReadAddresses(const Strings& written) {
  std::vector<endpoint> addresses;
  for (const std::string& text : written) {
    if (const auto address = ParseEndpoint(text)) {
      addresses.push_back(address.value());
    }
  }
  return addresses;
}

}  // namespace

relay_node::relay_node(std::vector<endpoint> control,
                       inner::pull_request announcement)
    : control_(std::move(control)),
      announcement_(std::move(announcement)),
      own_(OwnAddress(announcement_)),
      core_(own_, kRelayFanOut),
      history_(kHistoryItems),
      service_(announcement_.announced_service()),
      is_whole_(service_.empty()) {
  TakeTree();
}

void relay_node::Leave(absl::Time now) {
  is_leaving_ = true;
  next_announcement_ = now;
  core_.PullSoon();
}

void relay_node::AnnounceAnew(uint64_t incarnation, absl::Time now) {
  announcement_.set_incarnation(incarnation);
  own_id_ = 0;
  next_announcement_ = now;
  core_.PullSoon();
}

bool relay_node::IsControl(const endpoint& address) const {
  return address == leader_ ||
         std::find(control_.begin(), control_.end(), address) != control_.end();
}

inner::pull_request relay_node::Announcement() const {
  inner::pull_request request = announcement_;
  request.set_have_version(view_.version);
  request.set_leaving(is_leaving_);
  return request;
}

std::optional<relay_pull> relay_node::NextPull(absl::Time now) {
  const endpoint parent = core_.NextPull(now);
  if (parent == endpoint()) {
    return std::nullopt;
  }
  SettleScope(now);
  relay_pull pull;
  pull.to = parent;
  if (IsControl(parent)) {
    pull.request = Announcement();
  } else {
    pull.request.set_have_version(view_.version);
    pull.request.set_address(ToString(own_));
    pull.request.set_own_id(own_id_);
  }
  pull.request.set_sequence(++sequence_);
  pulled_incarnation_ = announcement_.incarnation();
  SetScope(now, &pull.request);
  AddSubtree(&pull.request, now);
  return pull;
}

// A node without children leaves it out: its own id says as much.
void relay_node::AddSubtree(inner::pull_request* request, absl::Time now) {
  std::vector<uint64_t> ids = members_.Members(now);
  const version_counts counts = core_.Report(view_.version, now);
  reported_version_ = counts.begin()->first;
  reported_digest_ = 0;
  if (ids.empty() && core_.children() == 0) {
    return;
  }
  if (own_id_ != 0) {
    const auto at = std::lower_bound(ids.begin(), ids.end(), own_id_);
    if (at == ids.end() || *at != own_id_) {
      ids.insert(at, own_id_);
    }
  }
  inner::subtree_report* subtree = request->mutable_subtree();
  WriteCounts(counts, subtree);
  reported_digest_ = DigestOf(ids);
  subtree->set_digest(reported_digest_);
  if (known_parent_ == core_.parent() && known_digest_ == reported_digest_) {
    return;
  }
  WriteMembers(ids, subtree);
}

std::optional<relay_pull> relay_node::NextAnnouncement(absl::Time now) {
  if (!MustAnnounce() || now < next_announcement_) {
    return std::nullopt;
  }
  if (!std::exchange(is_announcement_answered_, false) ||
      leader_ == endpoint()) {
    leader_ = control_[next_control_++ % control_.size()];
  }
  next_announcement_ = now + kAnnounceInterval;
  relay_pull pull;
  pull.to = leader_;
  pull.request = Announcement();
  pull.request.set_announce_only(true);
  pull.request.set_sequence(++announced_sequence_);
  announced_incarnation_ = announcement_.incarnation();
  return pull;
}

absl::Time relay_node::NextDeadline() const {
  const absl::Time pull = core_.NextDeadline();
  return MustAnnounce() ? std::min(pull, next_announcement_) : pull;
}

relay_answer relay_node::ToCore(const inner::pull_answer& answer) const {
  relay_answer read;
  read.taken = answer.taken() && answer.leader().empty();
  read.children = ReadAddresses(answer.children());
  if (!answer.leader().empty()) {
    read.children = {leader_};
  }
  read.present_version = answer.present_version();
  read.age = absl::Milliseconds(static_cast<int64_t>(std::min<uint64_t>(
      answer.knowledge_age_ms(), absl::ToInt64Milliseconds(kLongestAge))));
  read.path = ReadAddresses(answer.path());
  return read;
}

std::optional<node_event> relay_node::OnAnswer(const inner::pull_answer& answer,
                                               absl::Time now) {
  if (answer.sequence() != sequence_) {
    return TakeLateDelta(answer);
  }
  const endpoint parent = core_.parent();
  bool is_own_id_new = false;
  if (const auto leader = ParseEndpoint(answer.leader())) {
    leader_ = leader.value();
  } else if (IsControl(parent)) {
    is_own_id_new = TakeOwnId(answer, pulled_incarnation_);
  }
  const relay_hearing hearing = core_.OnAnswer(parent, ToCore(answer), now);
  if (!hearing.is_heard) {
    next_whole_ = absl::InfinitePast();
    return std::nullopt;
  }
  known_parent_ = parent;
  known_digest_ = answer.needs_members() ? 0 : reported_digest_;
  node_event event;
  event.current_version = hearing.present_version;
  event.asked_at = hearing.asked_at;
  if (answer.has_delta()) {
    TakeDelta(answer.delta(), &event);
  }
  if (answer.max_direct_nodes() != max_direct_nodes_ ||
      answer.view_targets() != view_targets_) {
    max_direct_nodes_ = answer.max_direct_nodes();
    view_targets_ = answer.view_targets();
    TakeTree();
  }
  HurryReport(now);
  if (is_own_id_new && event.change == nullptr && HasSelf()) {
    PassOnWhole(&event);
  }
  event.own_id = own_id_;
  return event;
}

// An answer that came too late to renew a lease, as a whole view may, still
// has a view that control has once put in force.
std::optional<node_event> relay_node::TakeLateDelta(
    const inner::pull_answer& answer) {
  node_event event;
  TakeDelta(answer.delta(), &event);
  if (event.change == nullptr) {
    return std::nullopt;
  }
  event.own_id = own_id_;
  return event;
}

std::optional<node_event> relay_node::OnAnnouncementAnswer(
    const inner::pull_answer& answer) {
  if (answer.sequence() != announced_sequence_) {
    return std::nullopt;
  }
  is_announcement_answered_ = true;
  if (const auto leader = ParseEndpoint(answer.leader())) {
    leader_ = leader.value();
    next_announcement_ -= kAnnounceInterval - kRedirectPause;
    return std::nullopt;
  }
  if (!TakeOwnId(answer, announced_incarnation_) || !HasSelf()) {
    return std::nullopt;
  }
  // The view had this node before it knew its id.
  node_event event;
  event.own_id = own_id_;
  PassOnWhole(&event);
  return event;
}

bool relay_node::TakeOwnId(const inner::pull_answer& answer,
                           uint64_t incarnation) {
  if (incarnation != announcement_.incarnation()) {
    return false;
  }
  const bool is_new = answer.own_id() != 0 && answer.own_id() != own_id_;
  own_id_ = answer.own_id();
  own_id_version_ = answer.present_version();
  return is_new;
}

// Once the last node of the subtree has a version, those above need not wait
// for the next interval to learn of it.
void relay_node::HurryReport(absl::Time now) {
  if (core_.Report(view_.version, now).begin()->first > reported_version_) {
    core_.PullSoon();
  }
}

inner::pull_answer relay_node::OnPull(const inner::pull_request& pull,
                                      absl::Time now) {
  inner::pull_answer answer;
  answer.set_sequence(pull.sequence());
  const auto child = ParseEndpoint(pull.address());
  if (!child || child.value() == own_ || !is_whole_) {
    return answer;
  }
  const relay_answer relayed = core_.OnPull(child.value(), ReadCounts(pull),
                                            now, !pull.view_service().empty());
  answer.set_taken(relayed.taken);
  answer.set_present_version(relayed.present_version);
  answer.set_knowledge_age_ms(static_cast<uint64_t>(absl::ToInt64Milliseconds(
      absl::Ceil(std::min(relayed.age, kLongestAge), absl::Milliseconds(1)))));
  answer.set_max_direct_nodes(max_direct_nodes_);
  answer.set_view_targets(static_cast<uint32_t>(view_.targets.size()));
  for (const endpoint& item : relayed.path) {
    answer.add_path(ToString(item));
  }
  for (const endpoint& item : relayed.children) {
    answer.add_children(ToString(item));
  }
  if (!relayed.taken) {
    return answer;
  }
  if (!pull.has_subtree()) {
    const std::vector<uint64_t> ids(pull.own_id() != 0 ? 1 : 0, pull.own_id());
    members_.OnMembers(child.value(), ids, now);
  } else if (pull.subtree().member_steps_size() > 0) {
    members_.OnMembers(child.value(), ReadMembers(pull.subtree()), now);
  } else {
    answer.set_needs_members(
        !members_.OnDigest(child.value(), pull.subtree().digest(), now));
  }
  HurryReport(now);
  const uint64_t have = pull.lacks_items() ? 0 : pull.have_version();
  if (have < view_.version) {
    *answer.mutable_delta() =
        history_.DeltaFrom(have, view_, pull.view_service());
  }
  return answer;
}

}  // namespace cardamomroute
