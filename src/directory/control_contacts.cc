#include "directory/control_contacts.h"

#include <algorithm>
#include <utility>

namespace cardamomroute {

control_contacts::control_contacts(std::vector<ipv4_address> seeds)
    : seeds_(std::move(seeds)) {}

void control_contacts::OnSeeds(std::vector<ipv4_address> seeds) {
  seeds_ = std::move(seeds);
}

void control_contacts::OnNamed(const named_members& members, absl::Time now) {
  for (const inner::control_address& member : members) {
    const ipv4_address address{member.ip(),
                               static_cast<uint16_t>(member.port())};
    if (named_.size() < kMaxContacts || named_.contains(address)) {
      named_[address] = now + kContactLife;
    }
  }
}

std::vector<ipv4_address> control_contacts::All(absl::Time now) {
  std::vector<ipv4_address> all = seeds_;
  for (auto member = named_.begin(); member != named_.end();) {
    if (now >= member->second) {
      member = named_.erase(member);
    } else {
      all.push_back(member->first);
      ++member;
    }
  }
  std::sort(all.begin(), all.end());
  all.erase(std::unique(all.begin(), all.end()), all.end());
  return all;
}

}  // namespace cardamomroute
