#include "directory/announcer.h"

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
  next_ = absl::InfinitePast();
}

void announcer::OnAnswer(const inner::announcement_answer& answer,
                         absl::Time now) {
  if (answer.incarnation() == own_.incarnation()) {
    contacts_.OnNamed(answer.members(), now);
    is_answered_ = true;
  }
}

std::optional<due_announcement> announcer::Due(absl::Time now) {
  if (now < next_) {
    return std::nullopt;
  }
  next_ = now + (is_answered_ ? kAnnouncementInterval : kFirstAnnouncements);
  own_.set_sequence(own_.sequence() + 1);
  return due_announcement{contacts_.All(now), own_};
}

due_announcement announcer::Leave(absl::Time now) {
  own_.set_sequence(own_.sequence() + 1);
  own_.set_leaving(true);
  return {contacts_.All(now), own_};
}

}  // namespace cardamomroute
