#ifndef CARDAMOMROUTE_DIRECTORY_CONTROL_CONTACTS_H_
#define CARDAMOMROUTE_DIRECTORY_CONTROL_CONTACTS_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "base/ipv4_address.h"
#include "google/protobuf/repeated_ptr_field.h"
#include "inner/directory.pb.h"

namespace cardamomroute {

/// How long a member of the control group is contacted after it was last
/// named. Longer than a member may be away and come back.
inline constexpr absl::Duration kContactLife = absl::Seconds(30);

/// Members contacted at most: the seven that a group may have, and seeds that
/// are no members any more.
inline constexpr size_t kMaxContacts = 12;

/// Makes `kept` have an entry for each of `contacts`, which are sorted, and for
/// nobody else. Returns whether one was removed.
template <class Value>
bool KeepContacts(const std::vector<ipv4_address>& contacts,
                  absl::btree_map<ipv4_address, Value>* kept) {
  bool is_removed = false;
  for (auto known = kept->begin(); known != kept->end();) {
    if (std::binary_search(contacts.begin(), contacts.end(), known->first)) {
      ++known;
    } else {
      known = kept->erase(known);
      is_removed = true;
    }
  }
  for (const ipv4_address& contact : contacts) {
    (*kept)[contact];
  }
  return is_removed;
}

/// Where a node finds the control group: the seeds of its settings, and the
/// members that answers have named.
class control_contacts {
 public:
  using named_members =
      google::protobuf::RepeatedPtrField<inner::control_address>;

  explicit control_contacts(std::vector<ipv4_address> seeds);

  /// Other seeds are set.
  void OnSeeds(std::vector<ipv4_address> seeds);

  /// An answer has named these members.
  void OnNamed(const named_members& members, absl::Time now);

  /// Everyone to contact, sorted.
  std::vector<ipv4_address> All(absl::Time now);

 private:
  std::vector<ipv4_address> seeds_;
  /// Until when each named member is contacted.
  absl::btree_map<ipv4_address, absl::Time> named_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_DIRECTORY_CONTROL_CONTACTS_H_
