#include "view/relay_core.h"

#include <algorithm>

#include "view/node_lease.h"
#include "view/relay_tree.h"

namespace cardamomroute {
namespace {

constexpr uint32_t kMaxUnanswered = 2;
/// A node that has settled with a parent that is not its first choice tries
/// the first choice again after this time.
constexpr absl::Duration kPreferredInterval = absl::Seconds(30);
constexpr absl::Duration kRetryInterval = absl::Milliseconds(20);
/// After each so many refusals in a row a node waits a kRetryInterval more
/// before it tries the next parent.
constexpr uint32_t kQuickRetries = 16;
/// An answer older than this leads its receiver to another parent.
constexpr absl::Duration kMaxAge = absl::Seconds(2);

bool Contains(const std::vector<endpoint>& addresses, const endpoint& wanted) {
  return std::find(addresses.begin(), addresses.end(), wanted) !=
         addresses.end();
}

}  // namespace

relay_core::relay_core(const endpoint& own, std::size_t max_children)
    : own_(own), children_(max_children) {}

void relay_core::OnTree(const relay_tree& tree) {
  is_direct_ = tree.IsDirect();
  is_first_level_ = tree.LevelOf(own_) == 1;
  std::vector<endpoint> candidates = tree.ParentsOf(own_);
  if (candidates == candidates_) {
    return;
  }
  candidates_ = std::move(candidates);
  position_ = 0;
  TryNext();
}

endpoint relay_core::NextPull(absl::Time now) {
  if (now < NextDeadline() || candidates_.empty()) {
    return endpoint{};
  }
  is_hurried_ = false;
  if (now >= next_preferred_) {
    next_preferred_ = absl::InfiniteFuture();
    position_ = 0;
    TryNext();
  } else if (unanswered_ >= kMaxUnanswered) {
    TryNext();
  }
  ++unanswered_;
  pulled_at_ = now;
  next_pull_ = now + kRelayPullInterval;
  return parent_;
}

absl::Time relay_core::NextDeadline() const {
  return is_hurried_ && unanswered_ == 0
             ? std::min(next_pull_, pulled_at_ + kRetryInterval)
             : next_pull_;
}

relay_hearing relay_core::OnAnswer(const endpoint& parent,
                                   const relay_answer& answer, absl::Time now) {
  relay_hearing hearing;
  if (parent != parent_ || unanswered_ == 0) {
    return hearing;
  }
  unanswered_ = 0;
  const bool is_loop = Contains(answer.path, own_);
  if (!answer.taken || is_loop || answer.age > kMaxAge) {
    ++refusals_;
    next_pull_ =
        now + std::min(kRetryInterval * (1 + refusals_ / kQuickRetries),
                       kRelayPullInterval);
    if (!answer.taken && !is_loop && !answer.children.empty()) {
      TryOneOf(answer.children);
    } else {
      TryNext();
    }
    return hearing;
  }
  refusals_ = 0;
  next_pull_ =
      pulled_at_ + (is_direct_ ? kDirectPullInterval : kRelayPullInterval);
  hearing.is_heard = true;
  hearing.present_version = answer.present_version;
  hearing.asked_at = pulled_at_ - answer.age;
  if (hearing.asked_at >= heard_at_) {
    heard_at_ = hearing.asked_at;
    present_version_ = std::max(present_version_, answer.present_version);
  }
  path_ = answer.path;
  // Any control VM is as good as another; only they have no path.
  const bool is_preferred = parent_ == candidates_.front() ||
                            (is_first_level_ && answer.path.empty());
  if (is_preferred) {
    next_preferred_ = absl::InfiniteFuture();
  } else if (next_preferred_ == absl::InfiniteFuture()) {
    next_preferred_ = now + kPreferredInterval;
  }
  return hearing;
}

relay_answer relay_core::OnPull(const endpoint& child,
                                const version_counts& subtree, absl::Time now,
                                bool is_leaf) {
  relay_answer answer;
  answer.path = path_;
  answer.path.push_back(own_);
  answer.age = now - heard_at_;
  answer.present_version = present_version_;
  answer.taken = children_.OnPull(child, subtree, now, is_leaf);
  if (!answer.taken) {
    answer.children = children_.Relays();
  }
  return answer;
}

version_counts relay_core::Report(uint64_t own_version, absl::Time now) {
  children_.OnTick(now);
  version_counts report = children_.Sum(now);
  ++report[own_version];
  return report;
}

void relay_core::TryNext() {
  parent_ = candidates_[position_ % candidates_.size()];
  ++position_;
  unanswered_ = 0;
}

void relay_core::TryOneOf(const std::vector<endpoint>& addresses) {
  // Different nodes spread over different children.
  const auto hash =
      static_cast<std::size_t>(own_.port) * 31 + own_.ip[15] + position_++;
  parent_ = addresses[hash % addresses.size()];
  unanswered_ = 0;
  if (parent_ == own_) {
    TryNext();
  }
}

}  // namespace cardamomroute
