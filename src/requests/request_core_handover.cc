#include <algorithm>
#include <utility>

#include "inner/flow_state.pb.h"
#include "requests/protocol_times.h"
#include "requests/request_answers.h"
#include "requests/request_core.h"
#include "requests/sorted_ids.h"

namespace cardamomroute {
namespace {

error BadSnapshot(const char* detail) {
  return {error_kind::kMalformedMessage, "flow snapshot", detail};
}

uint32_t RemainingMs(absl::Time until, absl::Time now) {
  return static_cast<uint32_t>(
      std::max<int64_t>(absl::ToInt64Milliseconds(until - now), 0));
}

void AddHolder(target_id holder, const echo_credential& issuer, absl::Time now,
               inner::flow_snapshot* snapshot) {
  inner::former_holder* copy = snapshot->add_holders();
  copy->set_incarnation(holder);
  copy->set_echo_key(issuer.key);
  copy->set_first_valid_serial(issuer.first_valid_serial);
  copy->set_clock_ms(
      absl::ToUnixMillis(issuer.issuer_now + (now - issuer.read_at)));
}

echo_credential CredentialFrom(const inner::former_holder& holder,
                               absl::Time now) {
  return {holder.echo_key(), holder.first_valid_serial(),
          absl::FromUnixMillis(holder.clock_ms()), now};
}

bool HasValidMessages(const inner::flow_snapshot& snapshot) {
  const auto is_valid = [](const std::string& bytes) {
    return ParseCoap(bytes).has_value();
  };
  return std::all_of(snapshot.runs().begin(), snapshot.runs().end(),
                     [&](const auto& run) { return is_valid(run.answer()); }) &&
         std::all_of(
             snapshot.observations().begin(), snapshot.observations().end(),
             [&](const auto& value) { return is_valid(value.request()); }) &&
         std::all_of(snapshot.transfers().begin(), snapshot.transfers().end(),
                     [&](const auto& transfer) {
                       return is_valid(transfer.last_answer());
                     }) &&
         std::all_of(snapshot.unacknowledged().begin(),
                     snapshot.unacknowledged().end(), is_valid);
}

}  // namespace

std::optional<std::string> request_core::ExportFlow(const flow_key& flow,
                                                    absl::Time now) {
  const auto it = flows_.find(flow);
  if (!draining_ || it == flows_.end() || it->second.in_flight > 0 ||
      open_run_counts_.contains(it->second.hash)) {
    return std::nullopt;
  }
  const flow_state& state = it->second;
  inner::flow_snapshot snapshot;
  for (const target_id holder : state.previous_holders) {
    AddHolder(holder, imported_credentials_.at({holder, state.hash}).issuer,
              now, &snapshot);
  }
  AddHolder(settings_.incarnation, echo_.CredentialOf(state.hash, now), now,
            &snapshot);
  for (const run_record* record : runs_.FindByFlow(flow, state.hash)) {
    inner::run_snapshot* run = snapshot.add_runs();
    run->set_echo(record->echo);
    run->set_issued_to(record->issued_to);
    run->set_digest(record->digest);
    run->set_answer(SerializeCoap(record->answer));
    run->set_remaining_ms(RemainingMs(record->expires_at, now));
  }
  for (const uint64_t id : observations_.IdsOf(flow)) {
    const observation* value = observations_.Find(id);
    inner::observation_snapshot* copy = snapshot.add_observations();
    copy->set_request(SerializeCoap(value->request));
    copy->set_sequence(value->sequence);
  }
  for (const seen_message& message : state.seen.All()) {
    inner::seen_snapshot* copy = snapshot.add_seen();
    copy->set_message_id(message.id);
    copy->set_answer(message.answer);
    copy->set_remaining_ms(RemainingMs(message.expires_at, now));
  }
  for (const uint64_t id : confirmables_.IdsOf(flow)) {
    snapshot.add_unacknowledged(confirmables_.Find(id)->datagram);
  }
  for (const uint64_t id : transfers_.AnsweredDownloadsOf(flow)) {
    const block_transfer* transfer = transfers_.Find(id);
    inner::transfer_snapshot* copy = snapshot.add_transfers();
    copy->set_key(transfer->key);
    copy->set_last_block(transfer->last_block);
    copy->set_last_answer(SerializeCoap(*transfer->last_answer));
    EndTransfer(id, MakeRunUnknownAnswer(), now);
  }
  snapshot.set_next_message_id(state.next_message_id);
  exported_flows_.insert(state.hash);
  RemoveFlow(flow);
  return snapshot.SerializeAsString();
}

void request_core::RemoveFlow(const flow_key& flow) {
  for (const uint64_t id : observations_.IdsOf(flow)) {
    EndObservation(id, decision_reason::kNone);
  }
  for (const uint64_t id : confirmables_.IdsOf(flow)) {
    timers_.Cancel({timer_kind::kCallerRetransmit, id});
    confirmables_.Remove(id);
  }
  flows_.erase(flow);
}

void request_core::ExpireCredentials(absl::Time now) {
  if (imported_credentials_.empty()) {
    return;
  }
  for (const auto& [flow, state] : flows_) {
    for (const target_id holder : state.previous_holders) {
      imported_credentials_.at({holder, state.hash}).expires_at =
          now + kExchangeLifetime;
    }
  }
  absl::erase_if(imported_credentials_, [now](const auto& entry) {
    return entry.second.expires_at <= now;
  });
}

result<request_actions> request_core::ImportFlow(const flow_key& flow,
                                                 std::string_view bytes,
                                                 absl::Time now) {
  inner::flow_snapshot snapshot;
  if (!snapshot.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return BadSnapshot("not a protobuf message");
  }
  if (!HasValidMessages(snapshot)) {
    return BadSnapshot("holds a damaged CoAP message");
  }
  const bool has_flow = flows_.contains(flow);
  flow_state* state = FindOrAddFlow(flow, now);
  state->held_since = std::min(state->held_since, now);
  if (!has_flow) {
    state->next_message_id = static_cast<uint16_t>(snapshot.next_message_id());
  }
  ImportHolders(snapshot, state, now);
  for (const inner::run_snapshot& run : snapshot.runs()) {
    ImportRun(run, flow, now);
  }
  for (const inner::seen_snapshot& seen : snapshot.seen()) {
    state->seen.Add(static_cast<uint16_t>(seen.message_id()), seen.answer(),
                    now + absl::Milliseconds(seen.remaining_ms()), now);
  }
  for (const std::string& datagram : snapshot.unacknowledged()) {
    SendConfirmable(flow, ParseCoap(datagram).value(), 0, now);
  }
  for (const inner::transfer_snapshot& transfer : snapshot.transfers()) {
    ImportTransfer(transfer, flow, now);
  }
  for (const inner::observation_snapshot& value : snapshot.observations()) {
    ImportObservation(value, flow, now);
  }
  StartQueuedRequests(now);
  return TakeActions();
}

void request_core::ImportHolders(const inner::flow_snapshot& snapshot,
                                 flow_state* state, absl::Time now) {
  std::vector<target_id>& previous = state->previous_holders;
  const int excess = snapshot.holders_size() - kMaxFormerHolders;
  for (int i = std::max(excess, 0); i < snapshot.holders_size(); ++i) {
    const inner::former_holder& holder = snapshot.holders(i);
    const auto key = std::make_pair(holder.incarnation(), state->hash);
    const inherited_credential inherited{CredentialFrom(holder, now),
                                         now + kExchangeLifetime};
    imported_credentials_.try_emplace(key, inherited);
    if (std::find(previous.begin(), previous.end(), key.first) ==
        previous.end()) {
      previous.push_back(key.first);
    }
  }
  if (previous.size() > kMaxFormerHolders) {
    previous.erase(previous.begin(), previous.end() - kMaxFormerHolders);
  }
}

void request_core::ImportRun(const inner::run_snapshot& run,
                             const flow_key& flow, absl::Time now) {
  if (runs_.Find(run.echo()) != nullptr) {
    return;
  }
  run_record record;
  record.echo = run.echo();
  record.issued_to = run.issued_to();
  record.flow = flow;
  record.digest = run.digest();
  record.answered = true;
  record.answer = ParseCoap(run.answer()).value();
  record.expires_at = now + absl::Milliseconds(run.remaining_ms());
  runs_.Add(std::move(record));
}

void request_core::ImportTransfer(const inner::transfer_snapshot& snapshot,
                                  const flow_key& flow, absl::Time now) {
  if (transfers_.Find(flow, snapshot.key()) != nullptr) {
    return;
  }
  block_transfer transfer;
  transfer.id = next_id_++;
  transfer.flow = flow;
  transfer.key = snapshot.key();
  transfer.place = legs_.PlaceOf(HashOf(flow));
  transfer.last_block = snapshot.last_block();
  transfer.last_answer = ParseCoap(snapshot.last_answer()).value();
  transfer.inherited = true;
  transfer.etag = OptionValue(*transfer.last_answer, option_number::kEtag);
  timers_.Set({timer_kind::kTransferExpiry, transfer.id},
              now + kExchangeLifetime);
  transfers_.Add(transfer);
}

void request_core::ImportObservation(
    const inner::observation_snapshot& snapshot, const flow_key& flow,
    absl::Time now) {
  observation value;
  value.id = next_id_++;
  value.flow = flow;
  value.request = ParseCoap(snapshot.request()).value();
  value.token = value.request.token;
  value.sequence = snapshot.sequence();
  value.acknowledged_at = now;
  const call_match match = matcher_.Match(value.request);
  const bool exists = observations_.FindByCaller(flow, value.token) != nullptr;
  if (match.verdict != match_verdict::kMatched || exists) {
    return;
  }
  value.kind = match.index;
  flow_state* state = &flows_[flow];
  ++state->observations;
  UpdateObservingCount(state);
  RenewRegistration(observations_.Add(value), now);
}

request_actions request_core::DropFlow(const flow_key& flow, absl::Time now) {
  RemoveFlow(flow);
  for (const uint64_t id : transfers_.IdsOf(flow)) {
    EndTransfer(id, MakeRunUnknownAnswer(), now);
  }
  const std::vector<uint64_t> ids =
      SortedIdsIf(requests_, [&](const caller_request& request) {
        return request.flow == flow && request.renewed_observation == 0;
      });
  for (const uint64_t id : ids) {
    const bool is_running = FindRequest(id)->state == request_state::kRunning;
    if (is_running) {
      FinishRunUnknown(id, decision_reason::kCallerGone, now);
    } else {
      FinishNotRun(id, decision_reason::kCallerGone, now);
    }
  }
  StartQueuedRequests(now);
  return TakeActions();
}

}  // namespace cardamomroute
