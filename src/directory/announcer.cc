#include "directory/announcer.h"

#include <algorithm>
#include <utility>

namespace cardamomroute {

announcer::announcer(inner::announcement own, std::vector<ipv4_address> seeds)
    : own_(std::move(own)), contacts_(std::move(seeds)) {}

void announcer::OnUpstream(upstream_state state, uint32_t slots) {
  const auto wire_state = static_cast<uint32_t>(state);
  if (own_.state() == wire_state && own_.slots() == slots) {
    return;
  }
  own_.set_state(wire_state);
  own_.set_slots(slots);
  state_sequence_ = own_.sequence() + 1;
  for (auto& [address, member] : members_) {
    member.due = absl::InfinitePast();
  }
  next_ = absl::InfinitePast();
}

void announcer::OnSeeds(std::vector<ipv4_address> seeds) {
  contacts_.OnSeeds(std::move(seeds));
  next_ = absl::InfinitePast();
}

// An answer to an earlier state leaves the present one to be repeated.
void announcer::OnAnswer(const ipv4_address& member,
                         const inner::announcement_answer& answer,
                         absl::Time now) {
  if (answer.incarnation() != own_.incarnation()) {
    return;
  }
  contacts_.OnNamed(answer.members(), now);
  next_ = absl::InfinitePast();
  const auto found = members_.find(member);
  if (found != members_.end() && answer.sequence() >= state_sequence_) {
    found->second.unanswered_since = absl::InfiniteFuture();
    found->second.due = now + kAnnouncementInterval;
  }
}

std::optional<due_announcement> announcer::Due(absl::Time now) {
  if (now < next_) {
    return std::nullopt;
  }
  KeepContacts(contacts_.All(now), &members_);
  next_ = now + kAnnouncementInterval;
  due_announcement due;
  for (auto& [address, member] : members_) {
    if (now >= member.due) {
      member.unanswered_since = std::min(member.unanswered_since, now);
      const bool is_away = now >= member.unanswered_since + kQuickAnnouncements;
      member.due =
          now + (is_away ? kAnnouncementInterval : kAnnouncementTimeout);
      due.to.push_back(address);
    }
    next_ = std::min(next_, member.due);
  }
  if (due.to.empty()) {
    return std::nullopt;
  }
  own_.set_sequence(own_.sequence() + 1);
  due.announced = own_;
  return due;
}

due_announcement announcer::Leave(absl::Time now) {
  own_.set_sequence(own_.sequence() + 1);
  own_.set_leaving(true);
  return {contacts_.All(now), own_};
}

}  // namespace cardamomroute
