#include "control/control_state_quarantine.h"

#include <iterator>

namespace cardamomroute::control {

void address_quarantine::Release(const endpoint& address,
                                 const std::string& service, absl::Time now) {
  released_[address] = {service, now + kAddressQuarantine};
}

const std::string* address_quarantine::HolderOf(const endpoint& address,
                                                absl::Time now) const {
  const auto found = released_.find(address);
  const bool held = found != released_.end() && now < found->second.deadline;
  return held ? &found->second.service : nullptr;
}

absl::Time address_quarantine::DeadlineOf(const endpoint& address) const {
  const auto found = released_.find(address);
  return found != released_.end() ? found->second.deadline
                                  : absl::InfinitePast();
}

void address_quarantine::RemoveExpired(absl::Time now) {
  for (auto entry = released_.begin(); entry != released_.end();) {
    entry = entry->second.deadline <= now ? released_.erase(entry)
                                          : std::next(entry);
  }
}

void address_quarantine::Save(inner::state_snapshot* snapshot) const {
  for (const auto& [address, entry] : released_) {
    inner::released_address* record = snapshot->add_released();
    record->set_address(ToString(address));
    record->set_service(entry.service);
    record->set_deadline_ms(absl::ToUnixMillis(entry.deadline));
  }
}

void address_quarantine::Restore(const inner::state_snapshot& snapshot) {
  released_.clear();
  for (const inner::released_address& record : snapshot.released()) {
    const auto address = ParseEndpoint(record.address());
    if (address) {
      released_[address.value()] = {record.service(),
                                    absl::FromUnixMillis(record.deadline_ms())};
    }
  }
}

}  // namespace cardamomroute::control
