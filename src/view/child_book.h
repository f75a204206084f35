#ifndef CARDAMOMROUTE_VIEW_CHILD_BOOK_H_
#define CARDAMOMROUTE_VIEW_CHILD_BOOK_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "base/endpoint.h"

namespace cardamomroute {

/// How many nodes have which version of the view.
using version_counts = absl::btree_map<uint64_t, uint32_t>;

/// The children of a relay or a control VM: keeps their number in its bound,
/// and sums what they report, so that control learns how many nodes have a
/// version without hearing from each.
class child_book {
 public:
  /// Of `max_children`, at most `max_leaves` take no children themselves.
  child_book(std::size_t max_children, std::size_t max_leaves);
  explicit child_book(std::size_t max_children);

  /// A pull of a child, with the counts of its own subtree; a leaf takes no
  /// children. False when it is not taken: it should try one of Relays().
  bool OnPull(const endpoint& child, const version_counts& subtree,
              absl::Time now, bool is_leaf = false);

  /// Forgets children that have been silent. To be called now and then.
  void OnTick(absl::Time now);

  /// Children that were heard lately, and their subtrees.
  version_counts Sum(absl::Time now) const;

  /// The children that take children.
  std::vector<endpoint> Relays() const;
  std::size_t size() const { return children_.size(); }

 private:
  struct child {
    version_counts subtree;
    absl::Time expires;
    bool is_leaf = false;
  };

  bool HasRoom(bool is_leaf) const;

  std::size_t max_children_;
  std::size_t max_leaves_;
  absl::btree_map<endpoint, child> children_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_VIEW_CHILD_BOOK_H_
