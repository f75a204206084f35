#ifndef CARDAMOMROUTE_FLOWS_HOLDER_SEARCH_H_
#define CARDAMOMROUTE_FLOWS_HOLDER_SEARCH_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "base/ipv4_address.h"
#include "flows/search_candidate.h"
#include "flows/search_step.h"

namespace cardamomroute {

/// Agents that are asked at once in the beginning; each further round is twice
/// as large. Two rounds cover the upstreams that a flow is placed among.
inline constexpr size_t kFirstAsked = 4;

/// Once so many were asked, upstreams whose agents cannot tell are tried before
/// others are asked: one and a half times kPlacementCandidates, as upstreams
/// may have come since the placement.
inline constexpr size_t kLikelyHolders = 12;

/// An agent that has not answered for so long is not awaited any more; a late
/// answer counts. Callers repeat a packet after 200 ms.
inline constexpr absl::Duration kSearchPatience = absl::Milliseconds(100);

/// How long a search that may not try its likely holders asks no others: by
/// then kAnnouncementLease is over, and control says which agents have gone.
inline constexpr absl::Duration kHoldBack = absl::Seconds(2);

/// An upstream that has not handed back a packet for so long is presumed to
/// hold its flow: it does so at once, but links may be full.
inline constexpr absl::Duration kTryPatience = absl::Milliseconds(400);

/// When agents that are silent are asked again; each time after twice as long.
/// Agents that are killed are back within about a second.
inline constexpr absl::Duration kReaskInterval = absl::Milliseconds(300);

/// Upstreams that are tried at once in the beginning, where every agent has
/// answered and the holder is among them. Each further round is twice as large,
/// up to the most: packets that are sent at once wait for one another on thin
/// links.
inline constexpr size_t kFirstTried = 2;
inline constexpr size_t kMostTriedAtOnce = 8;

/// Upstreams that are tried at most where a silent agent, or one that is not
/// known yet, may be the holder's.
/// The platform counts a flow as broken where three packets reach other
/// upstreams and none its own.
inline constexpr size_t kMostStrays = 2;

/// The search for the agent whose upstream holds a flow. Agents are asked
/// first, which costs little and reaches no upstream. Only where some cannot
/// tell does a packet go to their upstreams.
class holder_search {
 public:
  explicit holder_search(absl::Time now) : began_at_(now) {}

  /// All agents that may be the holder's, the most likely one first. What those
  /// that stay have said is kept. `are_all`: none is missing.
  void OnCandidates(const std::vector<search_candidate>& candidates,
                    bool are_all);

  /// The caller has sent another packet. Silent agents are asked again soon.
  void OnPacket();

  void OnDenied(const ipv4_address& agent) { Note(agent, claim::kDenied); }
  void OnUncertain(const ipv4_address& agent) {
    Note(agent, claim::kUncertain);
  }
  /// The agent is asked for the flow now, out of turn. Returns false where it
  /// is no candidate or has said something that stands.
  bool OnAsked(const ipv4_address& agent, absl::Time now);
  /// The agent answers, but was not asked for the flow after all.
  void OnNotAsked(const ipv4_address& agent);
  /// The flow was presumed to be there, and the agent is silent.
  void OnSilent(const ipv4_address& agent);

  /// False where Next has nothing before its deadline.
  bool CanGoOn() const;

  /// Every candidate denies the flow.
  bool AllDeny() const {
    return !agents_.empty() && CountOf(claim::kDenied) == agents_.size();
  }

  /// All were asked, and only those that are silent can still say something.
  bool WaitsForSilent() const {
    return CountOf(claim::kSilent) > 0 && CountOf(claim::kSilent) +
                                                  CountOf(claim::kDenied) +
                                                  CountOf(claim::kUncertain) ==
                                              agents_.size();
  }

  /// What to do now. `has_packet`: there is one to try upstreams with.
  search_step Next(bool has_packet, absl::Time now);

  /// When Next has something, unless an agent answers or the candidates change.
  absl::Time NextDeadline() const { return next_; }

  /// When its upstream was given a packet; infinitely long ago if never.
  absl::Time TriedAt(const ipv4_address& agent) const;
  absl::Time began_at() const { return began_at_; }
  size_t asked() const { return asked_; }
  size_t denied() const { return CountOf(claim::kDenied); }
  size_t silent() const { return CountOf(claim::kSilent); }
  size_t tries() const { return tries_; }

 private:
  enum class claim : uint8_t {
    kNotAsked,
    /// Its answer is awaited.
    kAwaited,
    kSilent,
    kUncertain,
    /// A packet is at its upstream.
    kTried,
    kDenied,
  };
  static constexpr size_t kClaims = static_cast<size_t>(claim::kDenied) + 1;

  struct asked_agent {
    search_candidate candidate;
    claim said = claim::kNotAsked;
    absl::Time asked_at = absl::InfinitePast();
    absl::Time tried_at = absl::InfinitePast();
    /// It was asked again after it was tried.
    bool was_asked_again = false;
  };

  /// Null where it is no candidate.
  const asked_agent* Find(const ipv4_address& agent) const;
  asked_agent* Find(const ipv4_address& agent);
  void Note(const ipv4_address& agent, claim said);
  void Set(asked_agent* asked, claim said);
  size_t CountOf(claim said) const {
    return counts_.at(static_cast<size_t>(said));
  }
  /// There may be agents that control hears, but that do not answer.
  bool MayBeSilent() const;
  size_t TriesAllowed(bool may_be_silent) const;
  void ExpireAwaited(absl::Time now, search_step* step);
  bool IsHeldBack(bool has_packet, absl::Time now);
  void AskMore(absl::Time now, search_step* step);
  void AskAgain(absl::Time now, search_step* step);
  void Presume(absl::Time now, search_step* step);
  void TryUncertain(absl::Time now, search_step* step);

  absl::Time began_at_;
  bool are_all_ = false;
  /// In the order of the candidates.
  std::vector<asked_agent> agents_;
  /// Of `agents_`, by what they said.
  std::array<size_t, kClaims> counts_{};
  /// Agents that were asked.
  size_t asked_ = 0;
  size_t next_tried_ = kFirstTried;
  size_t tries_ = 0;
  /// When silent agents were asked last, and are asked again.
  absl::Time silent_asked_at_ = absl::InfinitePast();
  absl::Time ask_again_at_ = absl::InfiniteFuture();
  /// Until then only likely holders are asked; infinitely long ago where that
  /// was never needed.
  absl::Time held_back_until_ = absl::InfinitePast();
  absl::Time next_ = absl::InfinitePast();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_HOLDER_SEARCH_H_
