#ifndef CARDAMOMROUTE_DIRECTORY_DIRECTORY_FOLLOWER_H_
#define CARDAMOMROUTE_DIRECTORY_DIRECTORY_FOLLOWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "base/ipv4_address.h"
#include "directory/announcer.h"
#include "directory/control_contacts.h"
#include "directory/known_upstream.h"
#include "inner/configuration.pb.h"
#include "inner/directory.pb.h"

namespace cardamomroute {

class metric_recorder;

/// How often a balancer asks each member of the control group.
inline constexpr absl::Duration kPollInterval = absl::Milliseconds(250);

/// When an unanswered poll is repeated.
inline constexpr absl::Duration kPollTimeout = absl::Milliseconds(300);

/// The same while the balancer has not got all that it needs.
inline constexpr absl::Duration kFirstPollTimeout = absl::Milliseconds(50);

/// The least time between two polls of a member that answers.
inline constexpr absl::Duration kRefreshInterval = absl::Milliseconds(25);

/// A member whose process is younger than that may not have heard of all
/// agents: they announce themselves anew within two intervals at the start.
inline constexpr absl::Duration kListAge = absl::Milliseconds(120);

/// The same where an agent that is missing would do harm: they were answered
/// before and announce themselves at the usual interval, and what is lost is
/// repeated; kAnnouncementInterval and three times kAnnouncementTimeout.
inline constexpr absl::Duration kSettledAge = absl::Milliseconds(350);

/// The same where two members say so: an announcement goes to each of them, and
/// only one that both have lost twice would be missing.
inline constexpr absl::Duration kSettledAgeOfTwo = absl::Milliseconds(300);

/// A member that has not answered for this long has no say about who is
/// silent, unless no other one answers either.
inline constexpr absl::Duration kMemberSay = absl::Seconds(2);

/// Routes of which no further piece came for this long are given up for newer
/// ones: no member that answers has them any more.
inline constexpr absl::Duration kPartialRoutesTimeout = absl::Milliseconds(500);

/// A poll and the member that it goes to.
struct due_poll {
  ipv4_address to;
  inner::directory_poll poll;
};

/// The routes in force, as far as a balancer knows.
struct followed_routes {
  /// The operator's number; 0 before the first.
  uint64_t version = 0;
  inner::route_list list;
};

/// What a balancer knows of upstreams and routes, put together from what the
/// members of the control group say. Routes only go forward: each member says
/// what has been committed, so the highest version is the newest.
class directory_follower {
 public:
  /// `seed` makes its polls differ from those of other processes; `recorder`
  /// has the metrics of a balancer.
  directory_follower(std::vector<ipv4_address> seeds, uint64_t seed,
                     metric_recorder* recorder);

  void OnSeeds(std::vector<ipv4_address> seeds) {
    contacts_.OnSeeds(std::move(seeds));
  }

  /// Members that were last asked before `wanted_as_of` are to be asked soon,
  /// not only after kPollInterval.
  void Refresh(absl::Time wanted_as_of);

  std::vector<due_poll> Due(absl::Time now);
  /// When Due has something, unless an answer comes.
  absl::Time NextDeadline() const { return next_; }

  /// An answer of a member; one that was not asked for is ignored.
  void OnPage(const ipv4_address& from, const inner::directory_page& page,
              absl::Time now);

  /// Null while they have not changed since the last call.
  const followed_routes* TakeNewRoutes();

  /// The upstreams, sorted by agent; nothing while they are as they were at the
  /// last call.
  std::optional<std::vector<known_upstream>> TakeNewUpstreams();

  /// True once it knows routes and a member's whole list of upstreams.
  bool IsComplete() const { return routes_.version != 0 && has_list_; }

  /// The list of upstreams lacks none whose agent went on at that time: each
  /// member that answers has been asked since, as an announcement may have
  /// reached one of them only. Infinitely long ago where none may say so.
  absl::Time SettledAsOf() const;

  uint64_t routes_version() const { return routes_.version; }

 private:
  struct member {
    uint64_t run = 0;
    uint64_t version = 0;
    /// Of the last poll, and of the first one since an answer was taken; 0
    /// where none is under way. All of them ask for the same.
    uint64_t poll = 0;
    uint64_t first_poll = 0;
    /// When `first_poll` was sent, and the first poll of the last answer.
    absl::Time asked_at = absl::InfinitePast();
    absl::Time answer_asked_at = absl::InfinitePast();
    absl::Time due = absl::InfinitePast();
    absl::Time heard_at = absl::InfinitePast();
    bool answers = false;
    /// Answers that came after another poll was sent.
    uint32_t late_answers = 0;
    /// Of its process at its last answer.
    absl::Duration age;
    /// All of its list is here.
    bool listed = false;
    absl::btree_map<ipv4_address, inner::upstream_record> upstreams;
  };

  absl::Time DueAt(const member& asked) const;
  void TakeUpstreams(const inner::directory_page& page, member* teller);
  bool TakeRoutes(const inner::directory_page& page, absl::Time now);
  bool IsPartInProgress(absl::Time now) const {
    return !partial_.empty() && now < partial_expires_at_;
  }
  std::vector<known_upstream> Merge() const;

  metric_recorder* const recorder_;
  control_contacts contacts_;
  uint64_t next_poll_;
  absl::Time wanted_as_of_ = absl::InfinitePast();
  absl::Time next_ = absl::InfinitePast();
  absl::btree_map<ipv4_address, member> members_;
  bool has_list_ = false;
  bool list_changed_ = false;
  std::vector<known_upstream> upstreams_;

  followed_routes routes_;
  bool routes_changed_ = false;
  /// The beginning of the routes of a version that is newer.
  uint64_t partial_version_ = 0;
  std::string partial_;
  /// When they are given up unless another piece comes.
  absl::Time partial_expires_at_ = absl::InfinitePast();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_DIRECTORY_DIRECTORY_FOLLOWER_H_
