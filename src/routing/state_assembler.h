#ifndef CARDAMOMROUTE_ROUTING_STATE_ASSEMBLER_H_
#define CARDAMOMROUTE_ROUTING_STATE_ASSEMBLER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "routing/packet_header.h"
#include "routing/state_pieces.h"

namespace cardamomroute {

/// Puts together the states of flows that arrive in pieces, in any order and
/// with repeats. Bounded in memory: further states wait for their turn, their
/// senders repeat. A state of which nothing comes any more is forgotten.
class state_assembler {
 public:
  /// Time from one piece of a state to the next, at most.
  static constexpr absl::Duration kPatience = absl::Seconds(10);

  /// Keeps at most `bound` bytes, at least kMaxStateBytes.
  explicit state_assembler(std::size_t bound) : bound_(bound) {}

  /// Takes a piece from a kHandover message. True when it is kept, or was
  /// before; false when there is no room or the message contradicts itself or
  /// an earlier one.
  bool Take(const packet_header& header, std::string piece, absl::Time now);

  /// What is here of the state that `header` names.
  held_pieces Held(const packet_header& header) const;

  /// The state, once it is whole; then it is no longer here.
  std::optional<std::string> TakeWhole(const packet_header& header);

  /// Forgets what has waited for too long.
  void Expire(absl::Time now);

  /// Room taken, in bytes.
  std::size_t reserved_bytes() const { return reserved_; }

 private:
  /// Sender and its number of the handover.
  using state_id = std::pair<target_id, uint64_t>;
  struct assembly {
    uint64_t number = 0;
    flow_key flow;
    uint64_t generation = 0;
    std::vector<std::optional<std::string>> pieces;
    uint32_t first_missing = 0;
    absl::Time deadline;
  };

  static state_id IdOf(const packet_header& header);
  assembly* FindOrBegin(const packet_header& header);
  void Release(const assembly& entry);

  std::size_t bound_;
  std::size_t reserved_ = 0;
  uint64_t last_number_ = 0;
  absl::btree_map<state_id, assembly> assemblies_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_STATE_ASSEMBLER_H_
