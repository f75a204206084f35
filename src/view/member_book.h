#ifndef CARDAMOMROUTE_VIEW_MEMBER_BOOK_H_
#define CARDAMOMROUTE_VIEW_MEMBER_BOOK_H_

#include <cstdint>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "base/endpoint.h"

namespace cardamomroute {

/// A child that has not pulled for this long is no longer reported; two pulls
/// of it are missing then.
inline constexpr absl::Duration kMemberSilence = absl::Milliseconds(1200);

/// A digest of ids in rising order.
uint64_t DigestOf(const std::vector<uint64_t>& ids);

/// Which nodes are alive behind each child of a relay. A child sends the ids
/// of its subtree when they change and their digest with every pull, so that
/// control learns of each node without hearing from it and an idle pull stays
/// small.
class member_book {
 public:
  /// A pull of a child with the ids of its subtree, rising.
  void OnMembers(const endpoint& child, std::vector<uint64_t> ids,
                 absl::Time now);

  /// A pull of a child that has sent them before. False when they are not
  /// known here: the child must send them.
  bool OnDigest(const endpoint& child, uint64_t digest, absl::Time now);

  /// The ids behind all children that were heard lately, rising, each once.
  /// Forgets the silent children.
  std::vector<uint64_t> Members(absl::Time now);

 private:
  struct child_members {
    uint64_t digest = 0;
    std::vector<uint64_t> ids;
    absl::Time expires;
  };

  absl::btree_map<endpoint, child_members> children_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_VIEW_MEMBER_BOOK_H_
