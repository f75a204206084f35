#ifndef CARDAMOMROUTE_FLOWS_FLOW_ID_H_
#define CARDAMOMROUTE_FLOWS_FLOW_ID_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ipv4_address.h"
#include "inner/flow_datagram.pb.h"

namespace cardamomroute {

/// Names an opaque flow: the caller's end and the route's address that it
/// talks to.
struct flow_id {
  ipv4_address caller;
  ipv4_address host;

  friend bool operator==(const flow_id& a, const flow_id& b) {
    return a.caller == b.caller && a.host == b.host;
  }
  friend bool operator!=(const flow_id& a, const flow_id& b) {
    return !(a == b);
  }
  template <typename Hash>
  friend Hash AbslHashValue(Hash state, const flow_id& value) {
    return Hash::combine(std::move(state), value.caller, value.host);
  }
};

/// "IP:PORT>IP:PORT", as logs have it.
std::string ToString(const flow_id& flow);

/// The same on every node and in every release.
uint64_t HashOf(const flow_id& flow);

/// The lowest bytes of it, as holder_answer lists flows.
using listed_hash = uint16_t;
inline listed_hash ListedHashOf(const flow_id& flow) {
  return static_cast<listed_hash>(HashOf(flow));
}

/// Adds a flow to `listed` of a holder_answer.
void AddListed(const flow_id& flow, std::string* listed);

/// The hashes in `listed`.
std::vector<listed_hash> HashesOf(std::string_view listed);

/// The weight of an agent for a flow in rendezvous hashing.
uint64_t RendezvousWeight(uint64_t flow_hash, const ipv4_address& agent);

/// Adds a flow to those that a message names.
void AddFlow(const flow_id& flow, inner::flow_names* names);

/// The flows that a message names.
std::vector<flow_id> FlowsOf(const inner::flow_names& names);

/// Stands for a service's name in packets between processes.
uint64_t HashOfService(std::string_view name);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_FLOW_ID_H_
