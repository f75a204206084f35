#ifndef CARDAMOMROUTE_CONTROL_MEMBER_CONTACTS_H_
#define CARDAMOMROUTE_CONTROL_MEMBER_CONTACTS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "google/protobuf/repeated_ptr_field.h"

namespace cardamomroute::control {

/// How long a control VM is contacted after it was last named.
inline constexpr absl::Duration kMemberContactLife = absl::Seconds(30);

/// Control VMs remembered at most: a full group, and the seeds of others.
inline constexpr size_t kMaxMemberContacts = 12;

/// Addresses of control VMs that other control VMs have named. With them a VM
/// finds the leader although none of the seeds in its settings leads.
class member_contacts {
 public:
  /// Records addresses. True if one of them was not known; one beyond
  /// kMaxMemberContacts is ignored.
  bool OnNamed(const google::protobuf::RepeatedPtrField<std::string>& addresses,
               absl::Time now);

  /// Addresses named less than kMemberContactLife ago, sorted.
  std::vector<std::string> All(absl::Time now);

 private:
  /// Until when each address is kept.
  absl::btree_map<std::string, absl::Time> expires_at_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_MEMBER_CONTACTS_H_
