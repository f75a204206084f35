#ifndef CARDAMOMROUTE_VIEW_RELAY_CORE_H_
#define CARDAMOMROUTE_VIEW_RELAY_CORE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "base/endpoint.h"
#include "view/child_book.h"

namespace cardamomroute {

class relay_tree;

/// How often a node pulls, and when a pull counts as unanswered.
inline constexpr absl::Duration kRelayPullInterval = absl::Milliseconds(500);

/// How often a node pulls where all pull from control.
inline constexpr absl::Duration kDirectPullInterval = absl::Milliseconds(250);

/// The part of an answer to a pull that the tree needs.
struct relay_answer {
  /// False: `children` says where to try instead.
  bool taken = false;
  std::vector<endpoint> children;
  /// The version in force, and how long before the answer control said so.
  uint64_t present_version = 0;
  absl::Duration age = absl::InfiniteDuration();
  /// Nodes between the one that answered and control, that one included.
  std::vector<endpoint> path;
};

/// What an answer means for the node that asked.
struct relay_hearing {
  /// `present_version` was in force at `asked_at`; see node_lease::OnHeard.
  bool is_heard = false;
  uint64_t present_version = 0;
  absl::Time asked_at = absl::InfinitePast();
};

/// One node's place in the tree: chooses the parent to pull from, leaves it
/// when it is silent, full or cut off itself, and serves its own children.
class relay_core {
 public:
  /// Serves at most `max_children`.
  relay_core(const endpoint& own, std::size_t max_children);

  /// Takes the parents of a newer view.
  void OnTree(const relay_tree& tree);

  /// The parent to pull from now, when it is time; else a zero endpoint.
  endpoint NextPull(absl::Time now);

  /// Pulls as soon as the pull that is under way is answered or given up.
  void PullSoon() { is_hurried_ = true; }

  /// When NextPull has a parent, unless an answer comes before.
  absl::Time NextDeadline() const;

  /// The answer to the pull that is under way.
  relay_hearing OnAnswer(const endpoint& parent, const relay_answer& answer,
                         absl::Time now);

  /// A pull of a child; a leaf takes no children itself.
  relay_answer OnPull(const endpoint& child, const version_counts& subtree,
                      absl::Time now, bool is_leaf = false);

  /// What to report with a pull: the subtree and this node at `own_version`.
  version_counts Report(uint64_t own_version, absl::Time now);

  const endpoint& parent() const { return parent_; }
  std::size_t children() const { return children_.size(); }

 private:
  void TryNext();
  void TryOneOf(const std::vector<endpoint>& addresses);

  endpoint own_;
  std::vector<endpoint> candidates_;
  /// Index of the next candidate to try.
  std::size_t position_ = 0;
  endpoint parent_;
  /// Unanswered pulls to the present parent.
  uint32_t unanswered_ = 0;
  /// Answers since the last one that was of use.
  uint32_t refusals_ = 0;
  bool is_hurried_ = false;
  bool is_direct_ = true;
  /// Its place is right below control.
  bool is_first_level_ = true;
  absl::Time pulled_at_ = absl::InfinitePast();
  absl::Time next_pull_ = absl::InfinitePast();
  absl::Time next_preferred_ = absl::InfiniteFuture();

  uint64_t present_version_ = 0;
  absl::Time heard_at_ = absl::InfinitePast();
  std::vector<endpoint> path_;
  child_book children_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_VIEW_RELAY_CORE_H_
