#ifndef CARDAMOMROUTE_FLOWS_FLOW_SEARCHES_H_
#define CARDAMOMROUTE_FLOWS_FLOW_SEARCHES_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "base/ipv4_address.h"
#include "flows/flow_id.h"
#include "flows/held_packet.h"
#include "flows/holder_queries.h"
#include "flows/holder_search.h"
#include "flows/search_budget.h"
#include "inner/flow_datagram.pb.h"

namespace cardamomroute {

class metric_recorder;
class search_outlet;

/// Searches at most. A packet of a further flow is dropped, and its caller
/// repeats it.
inline constexpr size_t kMaxSearches = 1024;

/// Packets that wait for the end of a search at most, each up to 1232 bytes,
/// and of one flow. A caller has 16 under way and repeats those that are lost.
inline constexpr size_t kMaxSearchedPackets = 512;
inline constexpr size_t kPacketsPerSearch = 4;

/// How long a search is remembered after its caller's last packet, so that it
/// is not made again. It goes on by itself for kHeldPacketLife.
inline constexpr absl::Duration kSearchLife = absl::Seconds(5);

/// What searches may send, and their answers bring, as a share of the link: the
/// rest is for packets whose way is known.
inline constexpr double kSearchShareOfLink = 0.4;

/// The same on the widest links, in bytes a second: processors are slower.
inline constexpr double kMostSearchBytes = 1'000'000;

/// A link of 2 Mbit/s, in bytes a second, where nothing else is known.
inline constexpr double kThinLinkBytes = 250'000;

/// A balancer's searches for flows that it does not know, and the packets that
/// wait for their end.
class flow_searches {
 public:
  /// `recorder` has the metrics of a balancer; `link_bytes` is what its link
  /// carries a second in each direction.
  flow_searches(search_outlet* outlet, metric_recorder* recorder,
                double link_bytes = kThinLinkBytes);

  /// A packet of a flow that is not known: begins or goes on with its search.
  void OnPacket(const flow_id& flow, const flow_packet& head,
                absl::Span<const uint8_t> bytes, absl::Time now);

  /// The same with a packet that an agent has handed back.
  void OnHandedBack(const ipv4_address& agent, const flow_id& flow,
                    const flow_packet& head, absl::Span<const uint8_t> bytes,
                    absl::Time now);

  /// An agent's claims, one a flow, and the list of all its flows.
  void OnAnswer(const ipv4_address& agent, const inner::holder_answer& answer,
                absl::Time now);

  /// The agent holds the flow for certain.
  void OnHolder(const ipv4_address& agent, const flow_id& flow, absl::Time now);

  /// The flow is a new one, or its route was removed.
  void Forget(const flow_id& flow);

  /// Where the flow is only presumed to be, asks the agent again. `presumed`
  /// has just got a packet of it.
  void Confirm(const flow_id& flow, const ipv4_address& presumed,
               absl::Time now);

  /// Other upstreams or routes are known.
  void OnListChanged();

  /// At this time the upstreams were all that there are; infinitely long ago
  /// where some may be missing.
  void OnSettled(absl::Time as_of, absl::Time now);
  bool IsSettled() const { return settled_as_of_ > absl::InfinitePast(); }

  /// Every agent that is known denies a flow, so a list of upstreams that is
  /// asked for at this time or later ends its search; infinitely long ago where
  /// there is no such flow.
  absl::Time ListWantedAsOf() const { return list_wanted_as_of_; }

  /// Goes on with what is due, and sends the queries of this round.
  void Tick(absl::Time now);
  absl::Time NextDeadline() const { return next_; }

  size_t size() const { return searches_.size(); }

 private:
  struct flow_search {
    explicit flow_search(absl::Time now) : holder(now) {}

    /// By itself, without a further packet.
    bool GoesOn(absl::Time now) const {
      return now < last_at + kHeldPacketLife;
    }

    holder_search holder;
    /// Of its flow, as agents list it.
    listed_hash hash = 0;
    std::vector<held_packet> packets;
    flow_packet last;
    absl::Time last_at;
    /// Of the upstreams that its candidates are from.
    uint64_t list_version = 0;
    /// Names of the flow and packets.
    size_t bytes_sent = 0;
    /// All agents that are known deny its flow, and more may be.
    bool awaits_list = false;
    /// It has waited for silent agents.
    bool has_waited = false;
    /// When it goes on by itself.
    absl::Time due = absl::InfiniteFuture();
    /// Where the flow is presumed to be; a zero address while it is not.
    ipv4_address presumed;
    /// When the presumption ends, unless that agent answers.
    absl::Time confirm_by = absl::InfiniteFuture();
  };
  using search_map = absl::flat_hash_map<flow_id, flow_search>;

  flow_search* AddPacket(const flow_id& flow, const flow_packet& head,
                         absl::Span<const uint8_t> bytes, absl::Time now);
  void OnClaims(const ipv4_address& agent, const inner::holder_answer& answer,
                absl::Time now);
  void OnListing(const ipv4_address& agent, const inner::holder_answer& answer,
                 absl::Time now);
  void NameFlowsTo(const ipv4_address& agent, absl::Time now);
  void OnDenied(const ipv4_address& agent, const flow_id& flow);
  void AskByName(const ipv4_address& agent, const flow_id& flow,
                 absl::Time now);
  void CountSent(size_t bytes);
  void GoOn(const flow_id& flow, absl::Time now);
  void DropUnconfirmed(const flow_id& flow, absl::Time now);
  void ForgetPresumption(const flow_id& flow, flow_search* search);
  void Step(const flow_id& flow, absl::Time now);
  void Ask(const ipv4_address& agent, const flow_id& flow, flow_search* search,
           absl::Time now);
  void Try(const ipv4_address& agent, flow_search* search);
  void Conclude(const flow_id& flow, const ipv4_address& agent, bool is_certain,
                absl::Time now);
  static std::vector<held_packet> NotYetAt(const ipv4_address& agent,
                                           const flow_search& search,
                                           bool is_certain);
  void EndNowhere(const flow_id& flow, absl::Time now);
  void DropPackets(flow_search* search);
  void DropOldPackets(flow_search* search, absl::Time now);
  void StepAllDue(absl::Time now);
  void Sweep(absl::Time now);

  search_outlet* const outlet_;
  metric_recorder* const recorder_;
  search_map searches_;
  search_budget budget_;
  /// A search waits for the budget, so that others wait for their turn.
  bool budget_is_short_ = false;
  size_t held_packets_ = 0;
  absl::Time settled_as_of_ = absl::InfinitePast();
  absl::Time list_wanted_as_of_ = absl::InfinitePast();
  holder_queries queries_;
  uint64_t list_version_ = 1;
  /// Searches go on, whatever their deadline.
  bool all_due_ = false;
  absl::Time next_ = absl::InfiniteFuture();
  absl::Time next_sweep_ = absl::InfinitePast();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_FLOW_SEARCHES_H_
