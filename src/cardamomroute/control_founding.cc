#include "cardamomroute/control_founding.h"

#include <algorithm>
#include <utility>

namespace cardamomroute {

control_founding::control_founding(inner::member_record self,
                                   const control_settings& settings)
    : self_(std::move(self)), standby_(settings.standby) {
  for (const control_peer& peer : settings.peers) {
    names_.push_back(peer.name);
  }
  if (names_.empty()) {
    names_.push_back(self_.name());
  }
  heard_[self_.name()] = self_;
}

bool control_founding::IsFounder() const {
  return !standby_ && names_.front() == self_.name();
}

bool control_founding::IsListed(const std::string& name) const {
  return std::find(names_.begin(), names_.end(), name) != names_.end();
}

void control_founding::OnHello(const inner::member_record& sender) {
  if (IsListed(sender.name())) {
    heard_[sender.name()] = sender;
  }
}

std::optional<inner::membership_record> control_founding::Membership() const {
  if (!IsFounder() || heard_.size() < names_.size()) {
    return std::nullopt;
  }
  std::vector<inner::member_record> members;
  for (const auto& [name, member] : heard_) {
    members.push_back(member);
    members.back().set_role(inner::VOTER);
  }
  std::sort(members.begin(), members.end(),
            [](const auto& a, const auto& b) { return a.id() < b.id(); });
  inner::membership_record founding;
  founding.mutable_members()->Add(members.begin(), members.end());
  return founding;
}

}  // namespace cardamomroute
