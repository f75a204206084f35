#ifndef CARDAMOMROUTE_VIEW_RELAY_TREE_H_
#define CARDAMOMROUTE_VIEW_RELAY_TREE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/endpoint.h"

namespace cardamomroute {

struct view;

/// Most children that a node serves.
inline constexpr std::size_t kRelayFanOut = 32;

/// Where each node pulls views from: a tree with control as its root,
/// computed alike by all nodes from one view. A node's level comes from the
/// hash of its address and from the number of nodes rounded up to a power of
/// two, and its parents from rendezvous hashing over the level above, so that
/// a node that joins or leaves moves only its own children. Parents have half
/// of kRelayFanOut children on average; the bound itself is kept by child_book.
///
/// Where there are balancers enough, only they relay and all agents are the
/// last level. The balancers and the number of targets are all that such a
/// tree depends on, so an agent with a filtered view computes it too.
class relay_tree {
 public:
  /// `max_direct_nodes`: most children of control; half of them are its
  /// children on average, and where there are no more nodes than that, all.
  relay_tree(const view& whole, std::vector<endpoint> control,
             std::size_t max_direct_nodes);

  /// The same from a filtered view and the number of targets in the whole one.
  /// Levels and parents are of use only where AgentsRelay is false.
  relay_tree(const view& filtered, std::vector<endpoint> control,
             std::size_t max_direct_nodes, std::size_t targets);

  /// 0 for control VMs, 1 for nodes that pull from them, and so on. Nodes
  /// that are not in the view have a level too.
  std::size_t LevelOf(const endpoint& node) const;

  /// Where `node` should pull from, in order of preference: some of the level
  /// above, then fewer of each level further up, then all control VMs.
  std::vector<endpoint> ParentsOf(const endpoint& node) const;

  std::size_t levels() const { return levels_.size(); }

  /// True where every node pulls from control.
  bool IsDirect() const { return levels_.size() <= 2; }

  /// True where agents are relays too, for which they need the whole view.
  bool AgentsRelay() const { return agents_relay_; }

 private:
  void AddLevels(std::size_t nodes, std::size_t max_direct_nodes);
  std::size_t HashedLevelOf(const endpoint& node) const;
  bool AddBalancers(const view& current, std::size_t max_direct_nodes,
                    std::size_t targets);
  void AddAll(const view& current, std::size_t max_direct_nodes,
              std::size_t nodes);

  /// `levels_[0]` are the control VMs.
  std::vector<std::vector<endpoint>> levels_;
  /// Nodes whose hash is below the limit are of this level or one above.
  std::vector<uint64_t> hash_limits_;
  bool agents_relay_ = false;
  /// The level of all but balancers that are in the view; 0: by their hash.
  std::size_t agent_level_ = 0;
  std::vector<endpoint> balancers_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_VIEW_RELAY_TREE_H_
