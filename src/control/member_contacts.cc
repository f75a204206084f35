#include "control/member_contacts.h"

namespace cardamomroute::control {

bool member_contacts::OnNamed(
    const google::protobuf::RepeatedPtrField<std::string>& addresses,
    absl::Time now) {
  bool is_any_new = false;
  for (const std::string& address : addresses) {
    const bool is_new = !expires_at_.contains(address);
    if (is_new && expires_at_.size() >= kMaxMemberContacts) {
      continue;
    }
    is_any_new = is_any_new || is_new;
    expires_at_[address] = now + kMemberContactLife;
  }
  return is_any_new;
}

std::vector<std::string> member_contacts::All(absl::Time now) {
  std::vector<std::string> all;
  for (auto known = expires_at_.begin(); known != expires_at_.end();) {
    if (now >= known->second) {
      known = expires_at_.erase(known);
      continue;
    }
    all.push_back(known->first);
    ++known;
  }
  return all;
}

}  // namespace cardamomroute::control
