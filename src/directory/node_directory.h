#ifndef CARDAMOMROUTE_DIRECTORY_NODE_DIRECTORY_H_
#define CARDAMOMROUTE_DIRECTORY_NODE_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "base/ipv4_address.h"
#include "directory/announcer.h"
#include "inner/configuration.pb.h"
#include "inner/directory.pb.h"

namespace cardamomroute {

/// An agent that was not heard for this long is silent: three announcements
/// and a network delay.
inline constexpr absl::Duration kAnnouncementLease = absl::Milliseconds(1800);

/// A silent agent is gone after this time, the life of a flow: until then its
/// upstream may still hold flows. Balancers are told for as long again.
inline constexpr absl::Duration kSilentLife = absl::Seconds(60);

/// An agent that the member's former process knew is gone unless it announces
/// itself to this one within this time. Processes that are killed together are
/// back within a second.
inline constexpr absl::Duration kFormerAgentLife = absl::Seconds(1);

/// Bytes of upstreams and of routes in one page, so that it fits a datagram of
/// 1280 bytes, the smallest MTU of IPv6 (RFC 8200, section 5). Upstreams get
/// the room of the routes where a balancer has those.
inline constexpr size_t kPageUpstreamBytes = 600;
inline constexpr size_t kPageRoutesBytes = 500;

/// How long routes that were replaced are kept for balancers that have a part
/// of them, after one of these last asked.
inline constexpr absl::Duration kReplacedRoutesLife = absl::Seconds(1);

/// Bytes of replaced routes kept at most.
inline constexpr size_t kMaxReplacedRoutesBytes = 4 << 20;

/// What one member of the control group has heard of agents. It is not stored
/// and not agreed upon: balancers ask several members and take what any of
/// them has heard. So upstreams come and go also while the group has no leader.
class node_directory {
 public:
  /// `run` is another one at each start of the process and not 0.
  node_directory(uint64_t run, absl::Time now) : run_(run), began_at_(now) {}

  /// The members of the group that answers name.
  void OnMembers(const std::vector<ipv4_address>& members);

  inner::announcement_answer OnAnnouncement(
      const inner::announcement& announced, absl::Time now);

  /// What the member's former process knew, as it was read from disk; empty
  /// where there is nothing. The list is not told as whole before, or before
  /// the former agents' time is over.
  void OnFormer(const inner::directory_copy& former, absl::Time now);

  /// OnFormer was called.
  bool knows_former() const { return knows_former_; }

  /// What the member's next process is to know.
  inner::directory_copy Copy() const;

  /// Rises with each change of the list.
  uint64_t version() const { return version_; }

  /// The answer to a poll, with a piece of the routes in force here where the
  /// balancer has an older version. A balancer that has a part of routes that
  /// were replaced lately gets on with those: where changes come faster than
  /// all pieces, it would never have a version whole otherwise.
  inner::directory_page OnPoll(const inner::directory_poll& poll,
                               const inner::configuration_record& in_force,
                               absl::Time now);

  size_t size() const { return records_.size(); }

 private:
  struct record {
    inner::upstream_record upstream;
    absl::Time heard_at;
    /// Version at which it changed last.
    uint64_t version = 0;
  };

  struct kept_routes {
    std::string routes;
    absl::Time expires_at;
  };

  absl::Duration Age(absl::Time now) const;
  void KeepRoutes(const inner::configuration_record& in_force, absl::Time now);
  void DropReplacedRoutes(absl::Time now);
  void AddRoutes(const inner::directory_poll& poll,
                 const inner::configuration_record& in_force, absl::Time now,
                 inner::directory_page* page);
  void NoteSilent(absl::Time now);
  void AddUpstreams(uint64_t have, size_t room,
                    inner::directory_page* page) const;

  uint64_t run_;
  absl::Time began_at_;
  bool knows_former_ = false;
  uint64_t version_ = 1;
  /// Changes up to this version include records that are not kept any more.
  uint64_t forgotten_version_ = 0;
  absl::btree_map<ipv4_address, record> records_;
  google::protobuf::RepeatedPtrField<inner::control_address> members_;
  /// Routes in force when last asked, and those before, by version.
  absl::btree_map<uint64_t, kept_routes> routes_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_DIRECTORY_NODE_DIRECTORY_H_
