#ifndef CARDAMOMROUTE_ROUTING_FLOW_CORE_H_
#define CARDAMOMROUTE_ROUTING_FLOW_CORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "routing/epoch_history.h"
#include "routing/flow_action.h"
#include "routing/flow_entry.h"
#include "routing/load_book.h"
#include "routing/packet_buffer.h"
#include "routing/registrar.h"
#include "routing/state_assembler.h"
#include "view/node_lease.h"
#include "view/view.h"

namespace cardamomroute {

class placement_strategy;

/// Decisions of an agent about flows: which target of its service holds a
/// flow, and how that stays known while views change.
///
/// The home of a flow knows its holder, or finds out whether there is one
/// before it places the flow: from the previous home, or by waiting until
/// every target of the service has registered its flows. A holder registers
/// with each new home. At any time at most one target takes work for a flow.
///
/// Every event appends the actions that it leads to.
class flow_core {
 public:
  /// `placement` must outlive the core.
  flow_core(target_id own_id, service_id own_service,
            const placement_strategy* placement);

  /// A newer view; others are ignored.
  void OnView(const view& current, absl::Time now, flow_actions* actions);

  /// See node_lease::OnHeard.
  void OnCurrentVersion(uint64_t current_version, absl::Time asked_at);

  /// A datagram from a balancer or another agent.
  void OnPacket(packet_header header, std::string payload, absl::Time now,
                flow_actions* actions);

  /// See load_book.
  void OnLocalLoad(uint32_t busy_slots, uint32_t slots, uint32_t queued,
                   absl::Time now);
  void OnObservingFlows(uint32_t flows);
  void OnLocalReport(double free_share);

  /// The flow has no request in flight: its state can be taken out.
  void OnFlowIdle(const endpoint& caller, absl::Time now,
                  flow_actions* actions);

  /// The request core has dropped the flow's state: it ended.
  void OnFlowClosed(const endpoint& caller, absl::Time now,
                    flow_actions* actions);

  /// The answer to kExport. From here on the request core has no state of
  /// the flow.
  void OnExported(const endpoint& caller, std::string state, absl::Time now,
                  flow_actions* actions);

  /// Takes no new flow from here on; hands flows over once the view says
  /// that this target drains.
  void BeginDrain() { is_draining_ = true; }

  /// To be called every few milliseconds.
  void OnTick(absl::Time now, flow_actions* actions);

  /// True when all flows are handed over and no other node relies on this
  /// target's redirects any more: time to leave the view. What still comes
  /// after that is forwarded; the process may end a node lease later.
  bool IsDrained(absl::Time now) const;

  bool IsHeld(const endpoint& caller) const;
  std::size_t held_flows() const { return held_.size(); }
  std::size_t redirects() const { return redirects_.size(); }
  std::size_t outgoing_flows() const { return outgoing_.size(); }
  std::size_t pending_flows() const { return pending_.size(); }
  uint64_t view_version() const { return view_version_; }
  const node_lease& lease() const { return lease_; }

 private:
  using handler = void (flow_core::*)(packet*, absl::Time, flow_actions*);
  static handler HandlerOf(packet_kind kind);

  // Messages, one handler a kind.
  void OnCallerPacket(packet* item, absl::Time now, flow_actions* actions);
  void OnNotHeld(packet* item, absl::Time now, flow_actions* actions);
  void OnRegister(packet* item, absl::Time now, flow_actions* actions);
  void OnClosed(packet* item, absl::Time now, flow_actions* actions);
  void OnRegisterDone(packet* item, absl::Time now, flow_actions* actions);
  void OnAsk(packet* item, absl::Time now, flow_actions* actions);
  void OnAnswerHeld(packet* item, absl::Time now, flow_actions* actions);
  void OnAnswerNotHeld(packet* item, absl::Time now, flow_actions* actions);
  void OnSyncAsk(packet* item, absl::Time now, flow_actions* actions);
  void OnSyncDone(packet* item, absl::Time now, flow_actions* actions);
  void OnHandover(packet* item, absl::Time now, flow_actions* actions);
  void OnHandoverHeld(packet* item, absl::Time now, flow_actions* actions);
  void OnHandoverDone(packet* item, absl::Time now, flow_actions* actions);
  void OnHandoverRefused(packet* item, absl::Time now, flow_actions* actions);
  void OnSuperseded(packet* item, absl::Time now, flow_actions* actions);
  void OnLoad(packet* item, absl::Time now, flow_actions* actions);

  /// A packet that comes before this target has joined, or after it has left.
  void OnPacketOfOthers(packet* item, flow_actions* actions);

  // Decisions about one caller's packet.
  bool TryOwn(packet* item, flow_actions* actions);
  bool TryHeld(packet* item, flow_actions* actions);
  bool TryOutgoing(packet* item, flow_actions* actions);
  bool TryRedirect(packet* item, absl::Time now, flow_actions* actions);
  bool TryGrant(packet* item, absl::Time now, flow_actions* actions);
  bool TryReturn(packet* item, absl::Time now, flow_actions* actions);
  void FindHolder(packet* item, absl::Time now, flow_actions* actions);
  void Place(packet* item, absl::Time now, flow_actions* actions);
  target_id ChooseTarget(uint64_t flow_hash, absl::Time now) const;
  void Hold(const endpoint& caller, uint64_t generation, target_id told_home);
  void Deliver(packet* item, bool is_new, flow_reason reason,
               flow_actions* actions);
  void ForwardToHome(packet* item, flow_actions* actions);
  void Refuse(packet* item, error_kind error, flow_reason reason,
              flow_actions* actions);
  void Drop(packet* item, flow_reason reason, flow_actions* actions);

  // Pending flows.
  void AddPending(packet* item, absl::Time now, flow_actions* actions);
  /// The packets of a pending flow, which ends to be pending.
  std::vector<packet> TakePending(const endpoint& caller);
  void ResolvePending(const endpoint& caller, absl::Time now,
                      flow_actions* actions);
  void PlacePending(const endpoint& caller, absl::Time now,
                    flow_actions* actions);
  void RetryPending(absl::Time now, flow_actions* actions);
  bool IsAwaitedAnswer(const packet_header& header) const;
  void AskPrevious(const endpoint& caller, pending_flow* flow, absl::Time now,
                   flow_actions* actions);

  // Registrations.
  void RegisterWithHome(const endpoint& caller, uint64_t generation,
                        target_id* told_home);
  void RegisterAll();
  void SendRegistrations(absl::Time now, flow_actions* actions);
  void AskForSync(absl::Time now, flow_actions* actions);
  /// The generation of the placement that stands afterwards.
  uint64_t TakeRegistration(target_id holder, const flow_record& record,
                            absl::Time now, flow_actions* actions);
  uint64_t TakeRedirect(target_id holder, const flow_record& record,
                        absl::Time now, flow_actions* actions);
  void Abandon(const endpoint& caller, absl::Time now, flow_actions* actions);
  void Confirm(const endpoint& caller, absl::Time now, flow_actions* actions);

  // Handover.
  bool CanHandOver() const;
  void ExportFlows(flow_actions* actions);
  void AddExport(const endpoint& caller, flow_actions* actions);
  target_id ChooseSuccessor(const endpoint& caller, target_id refused) const;
  /// The handover under way that the successor's message answers, or null.
  outgoing_flow* FindHandover(const packet_header& header);
  void SendHandover(const endpoint& caller, outgoing_flow* flow, absl::Time now,
                    flow_actions* actions);
  void SendPieces(const endpoint& caller, outgoing_flow* flow,
                  flow_actions* actions);
  void RetryHandovers(absl::Time now, flow_actions* actions);
  void FinishHandover(const endpoint& caller, target_id holder,
                      uint64_t generation, absl::Time now,
                      flow_actions* actions);
  void TakePiece(packet* item, absl::Time now, flow_actions* actions);
  void Import(packet* item, absl::Time now, flow_actions* actions);
  void AcknowledgeHandover(const endpoint& caller, flow_actions* actions);
  std::vector<packet> TakeUnconfirmed(const endpoint& caller);

  // Views and upkeep.
  void JoinOrUpdate(const view& current, const service& item, absl::Time now,
                    flow_actions* actions);
  void LeaveService(absl::Time now, flow_actions* actions);
  void ForgetToldHomes();
  void ConfirmOwn(absl::Time now, flow_actions* actions);
  void AwaitView(packet* item, absl::Time now, flow_actions* actions);
  void GoOnWithoutView(packet* item, absl::Time now, flow_actions* actions);
  void ReplayAwaiting(absl::Time now, flow_actions* actions);
  void PullNow(uint64_t version, absl::Time now, flow_actions* actions);
  void UpdateRedirects(absl::Time now);
  void ExpireEntries(absl::Time now);
  void SendLoads(absl::Time now, flow_actions* actions);

  // Small helpers.
  const service_routes& routes() const { return history_.routes(); }
  bool IsMember() const;
  bool IsServing() const;
  flow_key FlowOf(const endpoint& caller) const;
  target_id HomeOf(const endpoint& caller) const;
  uint64_t NextGeneration();
  void Bury(const endpoint& caller, uint64_t generation, absl::Time now);
  bool IsBuried(const endpoint& caller, uint64_t generation) const;
  packet_header MakeHeader(packet_kind kind, const endpoint& caller) const;
  void Send(packet_header header, std::string payload, target_id to,
            flow_reason reason, flow_actions* actions);

  target_id own_id_;
  service_id own_service_;
  const placement_strategy* placement_;
  uint64_t view_version_ = 0;
  epoch_history history_;
  node_lease lease_;
  load_book loads_;
  registrar registrar_;
  state_assembler assembler_;
  bool is_draining_ = false;
  bool was_member_ = false;
  absl::Time drained_since_ = absl::InfiniteFuture();
  uint64_t last_generation_ = 0;
  uint64_t last_handover_ = 0;

  // Ordered where the order of entries shows in the order of actions, so that
  // equal events lead to equal actions.
  absl::btree_map<endpoint, held_flow> held_;
  /// Packets of unconfirmed flows.
  absl::flat_hash_map<endpoint, packet_buffer> unconfirmed_;
  /// Handovers to be acknowledged once the flow is confirmed.
  absl::flat_hash_map<endpoint, packet_header> unacknowledged_;
  absl::flat_hash_map<endpoint, flow_redirect> redirects_;
  absl::btree_map<endpoint, pending_flow> pending_;
  absl::btree_map<endpoint, outgoing_flow> outgoing_;
  absl::flat_hash_map<endpoint, flow_tombstone> tombstones_;

  struct awaiting_packet {
    packet item;
    absl::Time deadline;
  };
  /// Packets that belong to a newer view.
  std::deque<awaiting_packet> awaiting_view_;
  uint64_t pulled_version_ = 0;
  absl::Time next_pull_ = absl::InfinitePast();
  absl::Time next_sync_ = absl::InfinitePast();
  uint32_t sync_attempts_ = 0;
  std::size_t sync_position_ = 0;
  absl::Time next_load_ = absl::InfinitePast();
  absl::Time next_expiry_ = absl::InfinitePast();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_FLOW_CORE_H_
