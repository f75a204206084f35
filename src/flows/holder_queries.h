#ifndef CARDAMOMROUTE_FLOWS_HOLDER_QUERIES_H_
#define CARDAMOMROUTE_FLOWS_HOLDER_QUERIES_H_

#include <cstddef>
#include <cstdint>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/ipv4_address.h"
#include "flows/flow_id.h"
#include "flows/flow_listing.h"
#include "inner/flow_datagram.pb.h"

namespace cardamomroute {

class search_outlet;

/// Flows that one query names, so that the answer fits a datagram of 1280
/// bytes, the smallest MTU of IPv6 (RFC 8200, section 5).
inline constexpr int kFlowsPerQuery = 60;

/// How long it is remembered whether an agent lists all its flows.
inline constexpr absl::Duration kListingLife = absl::Seconds(5);

/// What an answer says beside its claims.
enum class list_answer : uint8_t {
  /// Nothing that is new.
  kNothing,
  /// All flows of the agent.
  kListed,
  /// The agent was expected to list all its flows and does not, so that
  /// searches have to name theirs.
  kWantsNames,
};

/// The queries of a balancer's searches. Those of one round to one agent go
/// together. The answer of an agent that lists all its flows serves every
/// search that began before the query was sent. So agents are expected to list,
/// and a query names flows only where the agent is not known to.
class holder_queries {
 public:
  explicit holder_queries(search_outlet* outlet) : outlet_(outlet) {}

  /// Asks the agent for a flow whose search began at `began_at`, with the
  /// queries of this round. Returns the bytes that this adds to what is sent; 0
  /// where another query serves the search as well.
  size_t Ask(const ipv4_address& agent, const flow_id& flow,
             absl::Time began_at, absl::Time now);

  /// The same, and names the flow whatever the agent lists.
  size_t AskByName(const ipv4_address& agent, const flow_id& flow,
                   absl::Time now);

  list_answer OnAnswer(const ipv4_address& agent,
                       const inner::holder_answer& answer);

  /// Whether the agent has listed a flow of this hash; only after an answer
  /// with kListed.
  bool MayHold(const ipv4_address& agent, listed_hash hash) const;

  /// Sends the queries of this round.
  void Send(absl::Time now);

  /// Forgets agents that were not asked for kListingLife.
  void Sweep(absl::Time now);

 private:
  enum class listing : uint8_t { kUnknown, kAll, kNone };

  struct asked_agent {
    listing lists = listing::kUnknown;
    /// When the latest query was sent.
    absl::Time asked_at = absl::InfinitePast();
    bool has_answered = false;
    flow_listing listed;
  };

  void SendTo(const ipv4_address& agent, inner::holder_query* query,
              absl::Time now);

  search_outlet* const outlet_;
  absl::flat_hash_map<ipv4_address, asked_agent> agents_;
  /// Of this round.
  absl::btree_map<ipv4_address, inner::holder_query> queries_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_HOLDER_QUERIES_H_
