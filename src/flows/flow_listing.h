#ifndef CARDAMOMROUTE_FLOWS_FLOW_LISTING_H_
#define CARDAMOMROUTE_FLOWS_FLOW_LISTING_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "flows/flow_id.h"
#include "inner/flow_datagram.pb.h"

namespace cardamomroute {

/// Hashes of an agent's flows that are kept at most before the agent is asked
/// for the whole list again. Flows that have ended stay listed until then.
inline constexpr size_t kMostKeptHashes = 2048;

/// The flows that an agent has listed, as its balancer knows them. Each answer
/// adds those that the agent has taken since an earlier one.
class flow_listing {
 public:
  /// Asks for the flows that are not listed yet.
  void AskForNew(inner::holder_query* query) const;

  /// Adds what the answer lists. Returns false where the answer does not
  /// continue what is known; then it says nothing of flows it does not list.
  bool Take(const inner::holder_answer& answer);

  /// False where the agent's upstream did not hold the flow when the agent gave
  /// the answer that was taken last.
  bool MayHold(listed_hash hash) const;

 private:
  uint32_t run_ = 0;
  uint64_t listed_up_to_ = 0;
  /// Sorted.
  std::vector<listed_hash> hashes_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_FLOW_LISTING_H_
