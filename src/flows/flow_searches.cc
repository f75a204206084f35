#include "flows/flow_searches.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/metric_recorder.h"
#include "flows/search_outlet.h"

namespace cardamomroute {
namespace {

// How often searches that are over are looked for.
constexpr absl::Duration kSearchSweepInterval = absl::Seconds(1);

// Heads of a datagram: IP, UDP and those of the message.
constexpr size_t kDatagramHeadBytes = 44;

}  // namespace

flow_searches::flow_searches(search_outlet* outlet, metric_recorder* recorder,
                             double link_bytes)
    : outlet_(outlet),
      recorder_(recorder),
      budget_(std::min(link_bytes * kSearchShareOfLink, kMostSearchBytes)),
      queries_(outlet) {}

void flow_searches::OnPacket(const flow_id& flow, const flow_packet& head,
                             absl::Span<const uint8_t> bytes, absl::Time now) {
  if (AddPacket(flow, head, bytes, now) != nullptr) {
    GoOn(flow, now);
  }
}

void flow_searches::OnHandedBack(const ipv4_address& agent, const flow_id& flow,
                                 const flow_packet& head,
                                 absl::Span<const uint8_t> bytes,
                                 absl::Time now) {
  if (flow_search* search = AddPacket(flow, head, bytes, now)) {
    search->holder.OnDenied(agent);
    GoOn(flow, now);
  }
}

// Null where there are too many searches.
flow_searches::flow_search* flow_searches::AddPacket(
    const flow_id& flow, const flow_packet& head,
    absl::Span<const uint8_t> bytes, absl::Time now) {
  if (searches_.size() >= kMaxSearches && !searches_.contains(flow)) {
    recorder_->Add(metric::kPacketsDropped);
    return nullptr;
  }
  const auto [found, is_new] = searches_.try_emplace(flow, now);
  flow_search& search = found->second;
  if (is_new) {
    search.hash = ListedHashOf(flow);
  }
  DropOldPackets(&search, now);
  search.holder.OnPacket();
  search.last = head;
  search.last_at = now;
  search.presumed = ipv4_address();
  search.confirm_by = absl::InfiniteFuture();
  if (search.packets.size() < kPacketsPerSearch &&
      held_packets_ < kMaxSearchedPackets) {
    search.packets.push_back({head, {bytes.begin(), bytes.end()}, now});
    ++held_packets_;
    recorder_->Add(metric::kPacketsHeld);
  } else {
    recorder_->Add(metric::kPacketsDropped);
  }
  return &search;
}

void flow_searches::OnDenied(const ipv4_address& agent, const flow_id& flow) {
  flow_search& search = searches_.find(flow)->second;
  search.holder.OnDenied(agent);
  if (search.presumed == agent) {
    ForgetPresumption(flow, &search);
  }
}

void flow_searches::GoOn(const flow_id& flow, absl::Time now) {
  flow_search& search = searches_.find(flow)->second;
  const absl::Time due = search.holder.NextDeadline();
  if (search.list_version != list_version_ || search.holder.CanGoOn() ||
      now >= due) {
    Step(flow, now);
  } else if (search.GoesOn(now)) {
    search.due = due;
    next_ = std::min(next_, due);
  }
}

void flow_searches::OnAnswer(const ipv4_address& agent,
                             const inner::holder_answer& answer,
                             absl::Time now) {
  budget_.SpendReceived(kDatagramHeadBytes + answer.ByteSizeLong());
  const list_answer lists = queries_.OnAnswer(agent, answer);
  OnClaims(agent, answer, now);
  if (lists == list_answer::kListed) {
    OnListing(agent, answer, now);
  } else if (lists == list_answer::kWantsNames) {
    NameFlowsTo(agent, now);
  }
}

void flow_searches::OnClaims(const ipv4_address& agent,
                             const inner::holder_answer& answer,
                             absl::Time now) {
  const std::vector<flow_id> flows = FlowsOf(answer.flows());
  const size_t count =
      std::min(flows.size(), static_cast<size_t>(answer.claims_size()));
  for (size_t i = 0; i < count; ++i) {
    const auto found = searches_.find(flows[i]);
    if (found == searches_.end()) {
      continue;
    }
    switch (answer.claims(static_cast<int>(i))) {
      case inner::HOLDER_CLAIM_HOLDS:
        Conclude(flows[i], agent, true, now);
        break;
      case inner::HOLDER_CLAIM_DENIES:
        OnDenied(agent, flows[i]);
        GoOn(flows[i], now);
        break;
      case inner::HOLDER_CLAIM_UNCERTAIN:
        found->second.holder.OnUncertain(agent);
        found->second.confirm_by = absl::InfiniteFuture();
        GoOn(flows[i], now);
        break;
      default:
        log_line(log_level::kWarn, "holder_claim_unknown")
            .With("flow", ToString(flows[i]))
            .With("agent", ToString(ToEndpoint(agent)));
        break;
    }
  }
}

// A flow that is not listed is not at the agent. One that is may share its hash
// with another, so that the agent is asked for it by name.
void flow_searches::OnListing(const ipv4_address& agent,
                              const inner::holder_answer& answer,
                              absl::Time now) {
  const auto asked_at = static_cast<int64_t>(answer.asked_at());
  std::vector<flow_id> denied;
  std::vector<flow_id> possible;
  for (const auto& [flow, search] : searches_) {
    if (absl::ToUnixNanos(search.holder.began_at()) > asked_at) {
      continue;
    }
    const bool may_hold = queries_.MayHold(agent, search.hash);
    (may_hold ? possible : denied).push_back(flow);
  }
  for (const flow_id& flow : possible) {
    if (searches_.find(flow)->second.holder.OnAsked(agent, now)) {
      AskByName(agent, flow, now);
    }
  }
  for (const flow_id& flow : denied) {
    OnDenied(agent, flow);
    const flow_search& search = searches_.find(flow)->second;
    // Nobody else is asked for a caller that seems to have gone.
    if (search.GoesOn(now) || search.holder.AllDeny()) {
      GoOn(flow, now);
    }
  }
}

// The agent does not list its flows: it started after its upstream, or has more
// than fit an answer. Searches that its answer did not name ask it again.
void flow_searches::NameFlowsTo(const ipv4_address& agent, absl::Time now) {
  std::vector<flow_id> flows;
  for (auto& [flow, search] : searches_) {
    search.holder.OnNotAsked(agent);
    flows.push_back(flow);
  }
  for (const flow_id& flow : flows) {
    GoOn(flow, now);
  }
}

void flow_searches::OnHolder(const ipv4_address& agent, const flow_id& flow,
                             absl::Time now) {
  if (searches_.contains(flow)) {
    Conclude(flow, agent, true, now);
  }
}

void flow_searches::Forget(const flow_id& flow) {
  const auto found = searches_.find(flow);
  if (found != searches_.end()) {
    DropPackets(&found->second);
    searches_.erase(found);
  }
}

void flow_searches::Confirm(const flow_id& flow, const ipv4_address& presumed,
                            absl::Time now) {
  const auto found = searches_.find(flow);
  if (found != searches_.end() && found->second.presumed == presumed) {
    AskByName(presumed, flow, now);
    found->second.confirm_by =
        std::min(found->second.confirm_by, now + kSearchPatience);
    next_ = std::min(next_, found->second.confirm_by);
  }
}

// An agent that does not answer either cannot be presumed to hold anything.
void flow_searches::DropUnconfirmed(const flow_id& flow, absl::Time now) {
  flow_search& search = searches_.find(flow)->second;
  if (search.presumed != ipv4_address() && now >= search.confirm_by) {
    search.holder.OnSilent(search.presumed);
    ForgetPresumption(flow, &search);
  }
}

void flow_searches::ForgetPresumption(const flow_id& flow,
                                      flow_search* search) {
  search->presumed = ipv4_address();
  search->confirm_by = absl::InfiniteFuture();
  outlet_->OnPresumptionDenied(flow);
}

void flow_searches::OnListChanged() {
  ++list_version_;
  all_due_ = true;
}

void flow_searches::OnSettled(absl::Time as_of, absl::Time now) {
  if (as_of == settled_as_of_) {
    return;
  }
  const bool was_settled = IsSettled();
  settled_as_of_ = as_of;
  if (IsSettled() != was_settled) {
    OnListChanged();
  }
  for (auto& [flow, search] : searches_) {
    if (std::exchange(search.awaits_list, false) && search.GoesOn(now)) {
      search.due = now;
      next_ = now;
    }
  }
}

void flow_searches::Step(const flow_id& flow, absl::Time now) {
  const auto found = searches_.find(flow);
  if (found == searches_.end() || found->second.presumed != ipv4_address()) {
    return;
  }
  flow_search& search = found->second;
  // Answers to the queries of other searches count from here on.
  if (search.list_version != list_version_) {
    search.list_version = list_version_;
    search.holder.OnCandidates(outlet_->CandidatesFor(flow, now), IsSettled());
  }
  if (!budget_.Allows(now) || budget_is_short_) {
    budget_is_short_ = true;
    search.due = budget_.AllowsFrom();
    next_ = std::min(next_, search.due);
    return;
  }
  const search_step step = search.holder.Next(!search.packets.empty(), now);
  for (const ipv4_address& agent : step.unanswered) {
    outlet_->OnUnanswered(agent, now);
  }
  for (const ipv4_address& agent : step.ask) {
    Ask(agent, flow, &search, now);
  }
  for (const ipv4_address& agent : step.try_at) {
    Try(agent, &search);
  }
  if (step.presumed != ipv4_address()) {
    Conclude(flow, step.presumed, false, now);
    return;
  }
  // A flow may be at an upstream that other balancers heard of before.
  if (step.is_nowhere && settled_as_of_ >= search.holder.began_at()) {
    EndNowhere(flow, now);
    return;
  }
  search.awaits_list = step.is_nowhere;
  if (step.is_nowhere) {
    list_wanted_as_of_ = std::max(list_wanted_as_of_, search.holder.began_at());
  }
  if (search.holder.WaitsForSilent() &&
      !std::exchange(search.has_waited, true)) {
    log_line(log_level::kInfo, "flow_search_waits")
        .With("flow", ToString(flow))
        .With("asked", search.holder.asked())
        .With("denied", search.holder.denied())
        .With("silent", search.holder.silent())
        .With("tries", search.holder.tries());
  }
  search.due = search.GoesOn(now) ? search.holder.NextDeadline()
                                  : absl::InfiniteFuture();
  next_ = std::min(next_, search.due);
}

void flow_searches::Ask(const ipv4_address& agent, const flow_id& flow,
                        flow_search* search, absl::Time now) {
  recorder_->Add(metric::kFlowsSearched);
  const size_t bytes =
      queries_.Ask(agent, flow, search->holder.began_at(), now);
  search->bytes_sent += bytes;
  CountSent(bytes);
}

void flow_searches::AskByName(const ipv4_address& agent, const flow_id& flow,
                              absl::Time now) {
  recorder_->Add(metric::kFlowsSearched);
  CountSent(queries_.AskByName(agent, flow, now));
}

void flow_searches::CountSent(size_t bytes) {
  recorder_->Add(metric::kSearchBytes, bytes);
  budget_.SpendSent(bytes);
}

void flow_searches::Try(const ipv4_address& agent, flow_search* search) {
  const held_packet& packet = search->packets.front();
  recorder_->Add(metric::kSearchTries);
  recorder_->Add(metric::kSearchBytes, packet.bytes.size());
  search->bytes_sent += packet.bytes.size();
  budget_.SpendSent(kDatagramHeadBytes + packet.bytes.size());
  outlet_->TryAt(agent, packet);
}

// A search whose result is presumed stays with its packets: it goes on where
// the agent denies the flow after all.
void flow_searches::Conclude(const flow_id& flow, const ipv4_address& agent,
                             bool is_certain, absl::Time now) {
  const auto found = searches_.find(flow);
  flow_search& search = found->second;
  recorder_->Record(metric::kFlowSearchTime, now - search.holder.began_at());
  log_line(log_level::kInfo, "flow_found")
      .With("flow", ToString(flow))
      .With("agent", ToString(ToEndpoint(agent)))
      .With("certain", is_certain)
      .With("asked", search.holder.asked())
      .With("denied", search.holder.denied())
      .With("silent", search.holder.silent())
      .With("tries", search.holder.tries())
      .With("bytes_sent", search.bytes_sent)
      .With("elapsed_ms",
            absl::ToInt64Milliseconds(now - search.holder.began_at()));
  const std::vector<held_packet> waiting = NotYetAt(agent, search, is_certain);
  if (is_certain) {
    Forget(flow);
  } else {
    search.presumed = agent;
    search.due = absl::InfiniteFuture();
  }
  outlet_->OnHolder(flow, agent, is_certain, waiting, now);
}

// Upstreams are tried with the first packet. Where the flow is only presumed to
// be gets one more at most, as it may go astray.
std::vector<held_packet> flow_searches::NotYetAt(const ipv4_address& agent,
                                                 const flow_search& search,
                                                 bool is_certain) {
  std::vector<held_packet> waiting;
  if (search.presumed == agent) {
    return waiting;
  }
  const absl::Time tried_at = search.holder.TriedAt(agent);
  for (const held_packet& packet : search.packets) {
    const bool is_first = &packet == &search.packets.front();
    if (!is_first || packet.came_at > tried_at) {
      waiting.push_back(packet);
    }
  }
  if (!is_certain && waiting.size() > 1) {
    waiting.erase(waiting.begin(), waiting.end() - 1);
  }
  return waiting;
}

void flow_searches::EndNowhere(const flow_id& flow, absl::Time now) {
  const auto found = searches_.find(flow);
  flow_search& search = found->second;
  recorder_->Add(metric::kFlowsNotFound);
  recorder_->Record(metric::kFlowSearchTime, now - search.holder.began_at());
  log_line(log_level::kInfo, "flow_not_found")
      .With("flow", ToString(flow))
      .With("asked", search.holder.asked())
      .With("tries", search.holder.tries())
      .With("bytes_sent", search.bytes_sent)
      .With("elapsed_ms",
            absl::ToInt64Milliseconds(now - search.holder.began_at()))
      .With("reset", !search.last.resetting);
  const flow_packet last = search.last;
  Forget(flow);
  outlet_->OnNowhere(flow, last);
}

void flow_searches::DropPackets(flow_search* search) {
  held_packets_ -= search->packets.size();
  search->packets.clear();
}

void flow_searches::DropOldPackets(flow_search* search, absl::Time now) {
  const auto kept =
      std::remove_if(search->packets.begin(), search->packets.end(),
                     [now](const held_packet& packet) {
                       return now >= packet.came_at + kHeldPacketLife;
                     });
  held_packets_ -= static_cast<size_t>(search->packets.end() - kept);
  search->packets.erase(kept, search->packets.end());
}

void flow_searches::Tick(absl::Time now) {
  if (now >= next_sweep_) {
    next_sweep_ = now + kSearchSweepInterval;
    Sweep(now);
  }
  if (all_due_ || now >= next_) {
    StepAllDue(now);
    all_due_ = false;
  }
  queries_.Send(now);
}

// Where the budget does not allow all of them, the oldest end soon, and answers
// to their queries serve those that began later.
void flow_searches::StepAllDue(absl::Time now) {
  std::vector<std::pair<absl::Time, flow_id>> flows;
  next_ = absl::InfiniteFuture();
  for (const auto& [flow, search] : searches_) {
    const absl::Time due = std::min(search.due, search.confirm_by);
    if (now >= due || (all_due_ && search.GoesOn(now))) {
      flows.emplace_back(search.holder.began_at(), flow);
    } else {
      next_ = std::min(next_, due);
    }
  }
  std::sort(flows.begin(), flows.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  budget_is_short_ = false;
  for (const auto& [began_at, flow] : flows) {
    DropUnconfirmed(flow, now);
    Step(flow, now);
  }
}

void flow_searches::Sweep(absl::Time now) {
  queries_.Sweep(now);
  for (auto search = searches_.begin(); search != searches_.end();) {
    const auto present = search++;
    DropOldPackets(&present->second, now);
    if (now >= present->second.last_at + kSearchLife) {
      searches_.erase(present);
    }
  }
}

}  // namespace cardamomroute
