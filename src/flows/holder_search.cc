#include "flows/holder_search.h"

#include <algorithm>
#include <utility>

namespace cardamomroute {

void holder_search::OnCandidates(
    const std::vector<search_candidate>& candidates, bool are_all) {
  are_all_ = are_all;
  std::vector<asked_agent> next;
  next.reserve(candidates.size());
  counts_ = {};
  for (const search_candidate& candidate : candidates) {
    const asked_agent* before = Find(candidate.agent);
    asked_agent& added =
        next.emplace_back(before != nullptr ? *before : asked_agent());
    added.candidate = candidate;
    ++counts_.at(static_cast<size_t>(added.said));
  }
  agents_ = std::move(next);
}

const holder_search::asked_agent* holder_search::Find(
    const ipv4_address& agent) const {
  const auto found = std::find_if(
      agents_.begin(), agents_.end(),
      [&](const asked_agent& asked) { return asked.candidate.agent == agent; });
  return found != agents_.end() ? &*found : nullptr;
}

holder_search::asked_agent* holder_search::Find(const ipv4_address& agent) {
  return const_cast<asked_agent*>(std::as_const(*this).Find(agent));
}

void holder_search::Set(asked_agent* asked, claim said) {
  --counts_.at(static_cast<size_t>(asked->said));
  ++counts_.at(static_cast<size_t>(said));
  asked->said = said;
}

// What its upstream has handed back before goes first, and a packet that is at
// its upstream is the better question.
void holder_search::Note(const ipv4_address& agent, claim said) {
  asked_agent* asked = Find(agent);
  if (asked == nullptr || asked->said == claim::kDenied ||
      (asked->said == claim::kTried && said != claim::kDenied)) {
    return;
  }
  Set(asked, said);
}

absl::Time holder_search::TriedAt(const ipv4_address& agent) const {
  const asked_agent* asked = Find(agent);
  return asked != nullptr ? asked->tried_at : absl::InfinitePast();
}

void holder_search::OnPacket() {
  ask_again_at_ = std::min(ask_again_at_, silent_asked_at_ + kReaskInterval);
  if (CountOf(claim::kSilent) > 0) {
    next_ = std::min(next_, ask_again_at_);
  }
}

bool holder_search::OnAsked(const ipv4_address& agent, absl::Time now) {
  asked_agent* asked = Find(agent);
  if (asked == nullptr ||
      (asked->said != claim::kNotAsked && asked->said != claim::kAwaited &&
       asked->said != claim::kSilent)) {
    return false;
  }
  asked_ += asked->said == claim::kNotAsked ? 1 : 0;
  Set(asked, claim::kAwaited);
  asked->asked_at = now;
  next_ = std::min(next_, now + kSearchPatience);
  return true;
}

void holder_search::OnNotAsked(const ipv4_address& agent) {
  asked_agent* asked = Find(agent);
  if (asked != nullptr &&
      (asked->said == claim::kAwaited || asked->said == claim::kSilent)) {
    Set(asked, claim::kNotAsked);
    --asked_;
  }
}

void holder_search::OnSilent(const ipv4_address& agent) {
  asked_agent* asked = Find(agent);
  if (asked != nullptr && asked->said == claim::kTried) {
    Set(asked, claim::kSilent);
  }
}

bool holder_search::MayBeSilent() const {
  if (!are_all_) {
    return true;
  }
  return CountOf(claim::kSilent) > 0 &&
         std::any_of(agents_.begin(), agents_.end(),
                     [](const asked_agent& asked) {
                       return asked.said == claim::kSilent &&
                              !asked.candidate.is_silent;
                     });
}

bool holder_search::CanGoOn() const {
  if (CountOf(claim::kAwaited) + CountOf(claim::kTried) > 0) {
    return false;
  }
  return CountOf(claim::kNotAsked) > 0 ||
         CountOf(claim::kDenied) == agents_.size() ||
         (CountOf(claim::kUncertain) > 0 && TriesAllowed(MayBeSilent()) > 0);
}

search_step holder_search::Next(bool has_packet, absl::Time now) {
  search_step step;
  next_ = absl::InfiniteFuture();
  ExpireAwaited(now, &step);
  if (CountOf(claim::kAwaited) > 0) {
    return step;
  }
  Presume(now, &step);
  if (!step.ask.empty()) {
    return step;
  }
  if (CountOf(claim::kTried) == 0 && has_packet && asked_ >= kLikelyHolders) {
    TryUncertain(now, &step);
  }
  if (CountOf(claim::kTried) == 0 && !IsHeldBack(has_packet, now)) {
    AskMore(now, &step);
  }
  if (!step.ask.empty()) {
    return step;
  }
  if (CountOf(claim::kTried) == 0 && has_packet) {
    TryUncertain(now, &step);
  }
  AskAgain(now, &step);
  step.is_nowhere = AllDeny();
  return step;
}

void holder_search::ExpireAwaited(absl::Time now, search_step* step) {
  if (CountOf(claim::kAwaited) == 0) {
    return;
  }
  for (asked_agent& asked : agents_) {
    if (asked.said != claim::kAwaited) {
      continue;
    }
    const absl::Time due = asked.asked_at + kSearchPatience;
    if (now < due) {
      next_ = std::min(next_, due);
    } else {
      Set(&asked, claim::kSilent);
      step->unanswered.push_back(asked.candidate.agent);
    }
  }
}

// A likely holder cannot tell, and cannot be tried: its caller's next packet is
// awaited, or agents that are missing or silent are soon back, or known to have
// gone. Meanwhile to ask all others would use up the budget of all searches.
bool holder_search::IsHeldBack(bool has_packet, absl::Time now) {
  if (asked_ < kLikelyHolders || CountOf(claim::kUncertain) == 0 ||
      CountOf(claim::kNotAsked) == 0) {
    return false;
  }
  if (!has_packet) {
    return true;
  }
  if (TriesAllowed(MayBeSilent()) > 0) {
    return false;
  }
  if (held_back_until_ == absl::InfinitePast()) {
    held_back_until_ = now + kHoldBack;
  }
  if (now < held_back_until_) {
    next_ = std::min(next_, held_back_until_);
    return true;
  }
  return false;
}

void holder_search::AskMore(absl::Time now, search_step* step) {
  if (CountOf(claim::kNotAsked) == 0) {
    return;
  }
  const size_t round = asked_ + kFirstAsked;
  for (asked_agent& asked : agents_) {
    if (step->ask.size() >= round) {
      break;
    }
    if (asked.said == claim::kNotAsked) {
      Set(&asked,
          asked.candidate.is_reachable ? claim::kAwaited : claim::kSilent);
      asked.asked_at = now;
      step->ask.push_back(asked.candidate.agent);
    }
  }
  // Where none is likely to answer, the round is awaited all the same, so that
  // a balancer that reaches nobody does not ask all at once.
  if (CountOf(claim::kAwaited) == 0) {
    for (asked_agent& asked : agents_) {
      if (asked.said == claim::kSilent && asked.asked_at == now) {
        Set(&asked, claim::kAwaited);
      }
    }
  }
  asked_ += step->ask.size();
  silent_asked_at_ = now;
  ask_again_at_ = now + kReaskInterval;
  next_ = now + kSearchPatience;
}

void holder_search::AskAgain(absl::Time now, search_step* step) {
  if (CountOf(claim::kSilent) == 0) {
    return;
  }
  if (now >= ask_again_at_) {
    const absl::Duration pause = 2 * (ask_again_at_ - silent_asked_at_);
    silent_asked_at_ = now;
    ask_again_at_ = now + pause;
    for (const asked_agent& asked : agents_) {
      if (asked.said == claim::kSilent) {
        step->ask.push_back(asked.candidate.agent);
      }
    }
  }
  next_ = std::min(next_, ask_again_at_);
}

// Upstreams hand back at once what is not theirs. One of them holds the flow at
// most, so where several say nothing, packets or answers are lost or late, and
// their agents are first asked for what they have seen.
void holder_search::Presume(absl::Time now, search_step* step) {
  const bool may_presume = CountOf(claim::kTried) == 1;
  for (asked_agent& asked : agents_) {
    if (asked.said != claim::kTried) {
      continue;
    }
    const absl::Time due = asked.tried_at + kTryPatience;
    if (now < due) {
      next_ = std::min(next_, due);
    } else if (may_presume || asked.was_asked_again) {
      step->presumed = asked.candidate.agent;
      next_ = std::min(next_, due);
      return;
    } else {
      Set(&asked, claim::kAwaited);
      asked.was_asked_again = true;
      asked.asked_at = now;
      step->ask.push_back(asked.candidate.agent);
      next_ = std::min(next_, now + kSearchPatience);
    }
  }
}

void holder_search::TryUncertain(absl::Time now, search_step* step) {
  const bool may_be_silent = MayBeSilent();
  const size_t allowed = TriesAllowed(may_be_silent);
  for (asked_agent& asked : agents_) {
    if (step->try_at.size() >= allowed) {
      break;
    }
    if (asked.said == claim::kUncertain) {
      Set(&asked, claim::kTried);
      asked.tried_at = now;
      step->try_at.push_back(asked.candidate.agent);
    }
  }
  if (step->try_at.empty()) {
    return;
  }
  tries_ += step->try_at.size();
  if (!may_be_silent) {
    next_tried_ = std::min(2 * next_tried_, kMostTriedAtOnce);
  }
  next_ = std::min(next_, now + kTryPatience);
}

size_t holder_search::TriesAllowed(bool may_be_silent) const {
  return may_be_silent ? kMostStrays - std::min(kMostStrays, tries_)
                       : next_tried_;
}

}  // namespace cardamomroute
