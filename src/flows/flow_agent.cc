#include "flows/flow_agent.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/bytes.h"
#include "base/log.h"
#include "base/metric_recorder.h"
#include "flows/agent_outlet.h"

namespace cardamomroute {
namespace {

// How often flows that are over are looked for.
constexpr absl::Duration kHeldSweepInterval = absl::Seconds(1);

}  // namespace

flow_agent::flow_agent(uint64_t service, uint32_t run, agent_outlet* outlet,
                       metric_recorder* recorder)
    : service_(service), run_(run), outlet_(outlet), recorder_(recorder) {}

void flow_agent::OnUpstream(upstream_state state, uint32_t slots,
                            bool knows_all_flows) {
  load_changed_ = load_changed_ || state != state_ || slots != slots_;
  state_ = state;
  slots_ = slots;
  knows_all_flows_ = knows_all_flows;
  waiting_.SetRoom(size_t{kWaitingPerSlot} * slots);
  if (state != upstream_state::kServing && waiting_.size() > 0) {
    HandBackWaiting(waiting_.TakeAll(), "upstream-leaves");
  }
  recorder_->Set(metric::kUpstreamServes,
                 state == upstream_state::kServing ? 1 : 0);
}

void flow_agent::OnCarried(const ipv4_address& balancer,
                           const inner::carried_packet& carried,
                           const flow_packet& packet, absl::Time now) {
  balancers_[balancer] = now;
  recorder_->Add(metric::kAgentPacketsIn);
  const flow_id flow = FlowFromCaller(packet);
  if (packet.opening) {
    if (carried.service() == service_) {
      OnOpening(balancer, carried, flow, now);
    } else {
      HandBack(balancer, carried.attempt(), AsBytes(carried.packet()),
               inner::RETURN_OTHER_SERVICE);
    }
    return;
  }
  const auto found = flows_.find(flow);
  if (found == flows_.end()) {
    DeliverUnknown(balancer, carried, flow, now);
    return;
  }
  held_flow& held = found->second;
  if (!IsOfThisFlow(held, packet)) {
    Deny(balancer, carried.attempt(), flow, AsBytes(carried.packet()),
         inner::RETURN_NOT_HELD);
    return;
  }
  if (state_ == upstream_state::kEnded && held.confirmed) {
    EndLostFlow(found, packet);
    return;
  }
  if (held.balancer != balancer) {
    held.balancer = balancer;
    Notify(balancer, flow);
  }
  held.caller_expects = packet.acknowledged;
  if (packet.length > 0 && (!held.busy || held.opening)) {
    BeginWork(flow, &held, false, now);
  }
  held.caller_finished =
      held.caller_finished || packet.finishing || packet.resetting;
  held.upstream_finished = held.upstream_finished || packet.resetting;
  NoteEnd(&held, now);
  Deliver(balancer, carried.attempt(), AsBytes(carried.packet()));
  AdmitWaiting(now);
}

// The upstream may hold the flow since before this process started; then it
// says so by an answer, else by handing the packet back.
void flow_agent::DeliverUnknown(const ipv4_address& balancer,
                                const inner::carried_packet& carried,
                                const flow_id& flow, absl::Time now) {
  const absl::Span<const uint8_t> bytes = AsBytes(carried.packet());
  if (carried.service() != service_) {
    Deny(balancer, carried.attempt(), flow, bytes, inner::RETURN_OTHER_SERVICE);
    return;
  }
  if (ClaimOf(flow) == inner::HOLDER_CLAIM_DENIES) {
    Deny(balancer, carried.attempt(), flow, bytes, inner::RETURN_NOT_HELD);
    return;
  }
  if (unknown_flows_.size() < kUnknownFlows || unknown_flows_.contains(flow)) {
    unknown_flows_[flow] = {balancer, false, now + kUnknownFlowLife};
  }
  Deliver(balancer, carried.attempt(), bytes);
}

inner::holder_claim flow_agent::ClaimOf(const flow_id& flow) const {
  const auto held = flows_.find(flow);
  if (held != flows_.end()) {
    const bool is_certain = held->second.confirmed && !held->second.over;
    return is_certain ? inner::HOLDER_CLAIM_HOLDS
                      : inner::HOLDER_CLAIM_UNCERTAIN;
  }
  const auto unknown = unknown_flows_.find(flow);
  const bool is_denied =
      unknown != unknown_flows_.end() && unknown->second.is_denied;
  return knows_all_flows_ || is_denied ? inner::HOLDER_CLAIM_DENIES
                                       : inner::HOLDER_CLAIM_UNCERTAIN;
}

void flow_agent::OnHolderQuery(const ipv4_address& balancer,
                               const inner::holder_query& query) {
  inner::holder_answer* answer = datagram_.mutable_answer();
  answer->Clear();
  *answer->mutable_flows() = query.flows();
  for (const flow_id& flow : FlowsOf(query.flows())) {
    answer->add_claims(ClaimOf(flow));
  }
  if (query.has_asked_at()) {
    answer->set_asked_at(query.asked_at());
    ListFlows(query, answer);
  }
  FillLoad(answer->mutable_load());
  outlet_->SendToBalancer(balancer, datagram_);
}

// A flow that is not listed, neither now nor before, is one that ClaimOf
// denies.
void flow_agent::ListFlows(const inner::holder_query& query,
                           inner::holder_answer* answer) const {
  if (!knows_all_flows_) {
    return;
  }
  const uint64_t after = query.list_run() == run_ ? query.listed_up_to() : 0;
  std::string listed;
  for (const auto& [flow, held] : flows_) {
    if (held.number > after) {
      AddListed(flow, &listed);
    }
  }
  const size_t named_bytes = answer->flows().ByteSizeLong() +
                             static_cast<size_t>(answer->claims_size());
  if (named_bytes + listed.size() > kMaxListedFlows * sizeof(listed_hash)) {
    return;
  }
  answer->set_lists_all(true);
  answer->set_listed(std::move(listed));
  answer->set_list_run(run_);
  answer->set_listed_after(after);
  answer->set_listed_up_to(last_number_);
}

void flow_agent::OnOpening(const ipv4_address& balancer,
                           const inner::carried_packet& carried,
                           const flow_id& flow, absl::Time now) {
  if (state_ != upstream_state::kServing) {
    log_line(log_level::kInfo, "opening_handed_back")
        .With("flow", ToString(flow))
        .With("upstream", NameOf(state_));
    recorder_->Add(metric::kOpeningsHandedBack);
    HandBack(balancer, carried.attempt(), AsBytes(carried.packet()),
             inner::RETURN_NO_NEW_FLOWS);
    return;
  }
  const auto former = flows_.find(flow);
  const bool is_known = former != flows_.end() && !former->second.over;
  const absl::Span<const uint8_t> bytes = AsBytes(carried.packet());
  const bool waits = waiting_.Has(flow);
  if (is_known || (HasRoom() && !waits)) {
    DeliverOpening(balancer, carried.attempt(), flow, bytes, now);
    return;
  }
  const auto displaced =
      waiting_.Add({flow,
                    balancer,
                    carried.attempt(),
                    carried.urgency(),
                    {bytes.begin(), bytes.end()},
                    now,
                    now + absl::Milliseconds(carried.patience_ms())});
  load_changed_ = true;
  if (displaced) {
    HandBackWaiting({*displaced}, "queue-full");
  }
  if (!waits && waiting_.Has(flow)) {
    recorder_->Add(metric::kOpeningsQueued);
    Notify(balancer, flow, true);
  }
}

void flow_agent::DeliverOpening(const ipv4_address& balancer, uint32_t attempt,
                                const flow_id& flow,
                                absl::Span<const uint8_t> bytes,
                                absl::Time now) {
  if (const auto former = flows_.find(flow);
      former != flows_.end() && former->second.over) {
    Forget(former);
  }
  held_flow& held = FindOrAdd(flow);
  unknown_flows_.erase(flow);
  held.balancer = balancer;
  held.forget_at = now + kHeldFlowLife;
  if (held.opened_at == absl::InfinitePast()) {
    held.opened_at = now;
    BeginWork(flow, &held, true, now);
  }
  recorder_->Add(metric::kOpeningsDelivered);
  Deliver(balancer, attempt, bytes);
}

// Openings go on as long as the upstream has room for their requests.
void flow_agent::AdmitWaiting(absl::Time now) {
  while (HasRoom()) {
    const auto next = waiting_.TakeNext();
    if (!next) {
      return;
    }
    if (now >= next->give_up_at) {
      HandBackWaiting({*next}, "waited-too-long");
      continue;
    }
    recorder_->Record(metric::kOpeningWaitTime, now - next->came_at);
    DeliverOpening(next->balancer, next->attempt, next->flow, next->bytes, now);
  }
}

void flow_agent::HandBackWaiting(const std::vector<waiting_opening>& openings,
                                 const char* reason) {
  for (const waiting_opening& opening : openings) {
    log_line(log_level::kInfo, "opening_handed_back")
        .With("flow", ToString(opening.flow))
        .With("reason", reason)
        .With("upstream", NameOf(state_))
        .With("waiting", waiting_.size())
        .With("busy", busy_flows_);
    recorder_->Add(metric::kOpeningsHandedBack);
    load_changed_ = true;
    HandBack(opening.balancer, opening.attempt, opening.bytes,
             inner::RETURN_NO_NEW_FLOWS);
  }
}

// Two upstreams may have answered the opening of a flow. The caller's next
// packet says which answer it took.
bool flow_agent::IsOfThisFlow(const held_flow& held,
                              const flow_packet& packet) const {
  if (held.confirmed) {
    return true;
  }
  return held.answered && (!packet.acknowledges ||
                           packet.acknowledged == held.first_sequence + 1);
}

void flow_agent::Deliver(const ipv4_address& balancer, uint32_t attempt,
                         absl::Span<const uint8_t> bytes) {
  const uint32_t mark = next_mark_++;
  marked_.at(mark % kMarkedPackets) = {mark, attempt, balancer};
  outlet_->SendToUpstream(bytes, mark);
}

void flow_agent::OnUpstreamPacket(const flow_packet& packet,
                                  absl::Span<const uint8_t> bytes,
                                  absl::Time now) {
  recorder_->Add(metric::kUpstreamPackets);
  if (packet.returned) {
    OnHandedBack(packet, bytes, now);
    return;
  }
  const flow_id flow = FlowFromUpstream(packet);
  // One that is not known is held since before this process started.
  held_flow& held = FindOrAdd(flow);
  const auto unknown = unknown_flows_.find(flow);
  if (unknown != unknown_flows_.end()) {
    held.balancer = unknown->second.balancer;
    unknown_flows_.erase(unknown);
    Notify(held.balancer, flow);
  }
  if (packet.opening) {
    const bool is_first = !held.answered;
    held.answered = true;
    held.first_sequence = packet.sequence;
    if (is_first && held.opened_at != absl::InfinitePast()) {
      recorder_->Record(metric::kFlowOpeningTime, now - held.opened_at);
    }
    if (is_first && held.balancer != ipv4_address()) {
      Notify(held.balancer, flow);
    }
  } else {
    held.confirmed = true;
  }
  held.caller_expects = packet.sequence;
  if (packet.length > 0) {
    OnAnswerBegins(&held, now);
  }
  held.upstream_finished =
      held.upstream_finished || packet.finishing || packet.resetting;
  held.caller_finished = held.caller_finished || packet.resetting;
  NoteEnd(&held, now);
  outlet_->SendToCaller(flow, bytes);
  AdmitWaiting(now);
}

// The flow was open at this upstream, which does not hold it any more; so no
// other one holds it.
void flow_agent::EndLostFlow(flow_map::iterator flow,
                             const flow_packet& packet) {
  const flow_id id = flow->first;
  const bool may_go_on = !flow->second.over || flow->second.is_told;
  Forget(flow);
  if (may_go_on && !packet.resetting) {
    ResetLostFlow(id, packet.acknowledged, "upstream-lost-it");
  }
}

void flow_agent::ResetLostFlow(const flow_id& flow, uint32_t sequence,
                               const char* reason) {
  log_line(log_level::kInfo, "flow_reset")
      .With("flow", ToString(flow))
      .With("reason", reason)
      .With("upstream", NameOf(state_));
  recorder_->Add(metric::kAgentFlowsReset);
  outlet_->ResetFlow(flow, sequence);
}

// Flows stay known, so that a caller whom the reset does not reach is told at
// its next packet, but they are no load of the upstream's next process. One
// that is not confirmed may be open at another upstream.
void flow_agent::OnUpstreamEnded() {
  for (auto flow = flows_.begin(); flow != flows_.end();) {
    const auto present = flow++;
    held_flow& held = present->second;
    if (!held.confirmed) {
      Forget(present);
      continue;
    }
    if (!held.over && !held.caller_finished && !held.upstream_finished) {
      held.is_told = true;
      ResetLostFlow(present->first, held.caller_expects, "upstream-ended");
    }
    SetOver(&held);
  }
}

// The upstream does not hold the flow, or takes no new one.
void flow_agent::OnHandedBack(const flow_packet& packet,
                              absl::Span<const uint8_t> bytes, absl::Time now) {
  recorder_->Add(metric::kUpstreamHandedBack);
  const marked_packet sent = marked_.at(packet.mark % kMarkedPackets);
  if (sent.mark != packet.mark) {
    log_line(log_level::kWarn, "handed_back_too_late")
        .With("flow", ToString(FlowFromCaller(packet)));
    return;
  }
  const flow_id flow = FlowFromCaller(packet);
  const auto found = flows_.find(flow);
  const bool was_open = found != flows_.end() && found->second.confirmed;
  if (was_open && !packet.opening) {
    EndLostFlow(found, packet);
    return;
  }
  if (found != flows_.end() && !found->second.confirmed) {
    Forget(found);
  }
  if (packet.opening) {
    HandBack(sent.balancer, sent.attempt, bytes, inner::RETURN_NO_NEW_FLOWS);
    return;
  }
  if (const auto unknown = unknown_flows_.find(flow);
      unknown != unknown_flows_.end()) {
    unknown->second.is_denied = true;
    unknown->second.forget_at = now + kUnknownFlowLife;
  }
  Deny(sent.balancer, sent.attempt, flow, bytes, inner::RETURN_NOT_HELD);
}

// A search keeps its packets, so that they need not go back.
void flow_agent::Deny(const ipv4_address& balancer, uint32_t attempt,
                      const flow_id& flow, absl::Span<const uint8_t> bytes,
                      inner::return_reason reason) {
  if (attempt == 0) {
    HandBack(balancer, attempt, bytes, reason);
    return;
  }
  inner::holder_answer* answer = datagram_.mutable_answer();
  answer->Clear();
  AddFlow(flow, answer->mutable_flows());
  answer->add_claims(inner::HOLDER_CLAIM_DENIES);
  FillLoad(answer->mutable_load());
  outlet_->SendToBalancer(balancer, datagram_);
}

void flow_agent::HandBack(const ipv4_address& balancer, uint32_t attempt,
                          absl::Span<const uint8_t> bytes,
                          inner::return_reason reason) {
  inner::returned_packet* returned = datagram_.mutable_returned();
  returned->set_reason(reason);
  inner::carried_packet* carried = returned->mutable_carried();
  carried->set_service(service_);
  carried->set_attempt(attempt);
  carried->set_packet(bytes.data(), bytes.size());
  outlet_->SendToBalancer(balancer, datagram_);
}

void flow_agent::Notify(const ipv4_address& balancer, const flow_id& flow,
                        bool waits) {
  inner::flow_notice* notice = datagram_.mutable_notice();
  notice->set_caller_ip(flow.caller.ip);
  notice->set_caller_port(flow.caller.port);
  notice->set_host_ip(flow.host.ip);
  notice->set_host_port(flow.host.port);
  notice->set_waits(waits);
  FillLoad(notice->mutable_load());
  outlet_->SendToBalancer(balancer, datagram_);
}

void flow_agent::FillLoad(inner::upstream_load* load) const {
  load->set_slots(slots_);
  load->set_open_flows(open_flows_);
  load->set_busy_flows(busy_flows_ + static_cast<uint32_t>(waiting_.size()));
}

flow_agent::held_flow& flow_agent::FindOrAdd(const flow_id& flow) {
  const auto [found, is_new] = flows_.try_emplace(flow);
  if (is_new) {
    found->second.number = ++last_number_;
    ++open_flows_;
    load_changed_ = true;
  }
  return found->second;
}

void flow_agent::NoteEnd(held_flow* held, absl::Time now) {
  if (held->caller_finished && held->upstream_finished) {
    SetOver(held);
  }
  held->forget_at = now + (held->over ? kFinishedFlowLife : kHeldFlowLife);
}

void flow_agent::SetOver(held_flow* held) {
  SetBusy(held, false);
  if (!held->over) {
    held->over = true;
    --open_flows_;
    load_changed_ = true;
  }
}

void flow_agent::SetBusy(held_flow* held, bool busy) {
  if (held->busy != busy) {
    held->busy = busy;
    busy ? ++busy_flows_ : --busy_flows_;
    load_changed_ = true;
  }
}

void flow_agent::BeginWork(const flow_id& flow, held_flow* held, bool opening,
                           absl::Time now) {
  SetBusy(held, true);
  held->opening = opening;
  held->busy_since = now;
  (opening ? begun_openings_ : begun_requests_).emplace_back(now, flow);
}

void flow_agent::OnAnswerBegins(held_flow* held, absl::Time now) {
  if (held->busy && !held->opening) {
    recorder_->Record(metric::kFlowAnswerTime, now - held->busy_since);
  }
  SetBusy(held, false);
}

void flow_agent::Forget(flow_map::iterator flow) {
  SetOver(&flow->second);
  flows_.erase(flow);
}

void flow_agent::Tick(absl::Time now) {
  HandBackWaiting(waiting_.TakeExpired(now), "waited-too-long");
  if (now < next_tick_) {
    return;
  }
  next_tick_ = now + kLoadInterval;
  if (now >= next_sweep_) {
    next_sweep_ = now + kHeldSweepInterval;
    for (auto flow = flows_.begin(); flow != flows_.end();) {
      const auto present = flow++;
      if (now >= present->second.forget_at) {
        Forget(present);
      }
    }
    for (auto flow = unknown_flows_.begin(); flow != unknown_flows_.end();) {
      const auto present = flow++;
      if (now >= present->second.forget_at) {
        unknown_flows_.erase(present);
      }
    }
  }
  ForgetBegun(true, now);
  ForgetBegun(false, now);
  AdmitWaiting(now);
  ReportLoad(now);
  recorder_->Set(metric::kOpenFlows, open_flows_);
  recorder_->Set(metric::kBusyFlows, busy_flows_);
}

void flow_agent::ForgetBegun(bool opening, absl::Time now) {
  begun_list& begun = opening ? begun_openings_ : begun_requests_;
  const absl::Duration longest = opening ? kLongestOpening : kLongestRequest;
  while (!begun.empty() && now >= begun.front().first + longest) {
    const auto [since, id] = begun.front();
    begun.pop_front();
    const auto flow = flows_.find(id);
    // It may have begun another one since.
    if (flow != flows_.end() && flow->second.busy_since == since &&
        flow->second.opening == opening) {
      SetBusy(&flow->second, false);
    }
  }
}

void flow_agent::ReportLoad(absl::Time now) {
  if (!load_changed_) {
    return;
  }
  load_changed_ = false;
  FillLoad(datagram_.mutable_load());
  for (auto heard = balancers_.begin(); heard != balancers_.end();) {
    const auto present = heard++;
    if (now >= present->second + kBalancerLife) {
      balancers_.erase(present);
    } else {
      outlet_->SendToBalancer(present->first, datagram_);
    }
  }
}

}  // namespace cardamomroute
