#include "flows/holder_queries.h"

#include <algorithm>
#include <cstdint>

#include "flows/holder_search.h"
#include "flows/search_outlet.h"

namespace cardamomroute {
namespace {

// What a query says of one flow.
constexpr size_t kNameBytes = 2 * sizeof(uint64_t);

// Heads of a datagram: IP, UDP, those of the message, when it was sent, and
// what is listed.
constexpr size_t kQueryHeadBytes = 61;

}  // namespace

size_t holder_queries::Ask(const ipv4_address& agent, const flow_id& flow,
                           absl::Time began_at, absl::Time now) {
  const auto found = agents_.find(agent);
  const bool is_known = found != agents_.end();
  const listing lists = is_known ? found->second.lists : listing::kUnknown;
  if (lists == listing::kNone) {
    return AskByName(agent, flow, now);
  }
  const bool is_answer_under_way =
      is_known && !found->second.has_answered &&
      found->second.asked_at >= began_at &&
      now < found->second.asked_at + kSearchPatience;
  if (is_answer_under_way || queries_.contains(agent)) {
    return 0;
  }
  if (lists == listing::kUnknown) {
    return AskByName(agent, flow, now);
  }
  queries_[agent];
  return kQueryHeadBytes;
}

size_t holder_queries::AskByName(const ipv4_address& agent, const flow_id& flow,
                                 absl::Time now) {
  const auto [query, is_new] = queries_.try_emplace(agent);
  AddFlow(flow, query->second.mutable_flows());
  if (query->second.flows().callers_size() >= kFlowsPerQuery) {
    SendTo(agent, &query->second, now);
    queries_.erase(query);
  }
  return kNameBytes + (is_new ? kQueryHeadBytes : 0);
}

list_answer holder_queries::OnAnswer(const ipv4_address& agent,
                                     const inner::holder_answer& answer) {
  const auto found = agents_.find(agent);
  if (found == agents_.end() || !answer.has_asked_at()) {
    return list_answer::kNothing;
  }
  asked_agent& asked = found->second;
  asked.has_answered = answer.asked_at() ==
                       static_cast<uint64_t>(absl::ToUnixNanos(asked.asked_at));
  if (answer.lists_all()) {
    asked.lists = listing::kAll;
    return asked.listed.Take(answer) ? list_answer::kListed
                                     : list_answer::kNothing;
  }
  const bool was_expected = asked.lists != listing::kNone;
  asked.lists = listing::kNone;
  asked.listed = flow_listing();
  return was_expected ? list_answer::kWantsNames : list_answer::kNothing;
}

bool holder_queries::MayHold(const ipv4_address& agent,
                             listed_hash hash) const {
  return agents_.at(agent).listed.MayHold(hash);
}

void holder_queries::Send(absl::Time now) {
  for (auto& [agent, query] : queries_) {
    SendTo(agent, &query, now);
  }
  queries_.clear();
}

void holder_queries::SendTo(const ipv4_address& agent,
                            inner::holder_query* query, absl::Time now) {
  asked_agent& asked = agents_[agent];
  asked.asked_at = now;
  asked.has_answered = false;
  query->set_asked_at(static_cast<uint64_t>(absl::ToUnixNanos(now)));
  asked.listed.AskForNew(query);
  outlet_->Ask(agent, *query);
}

void holder_queries::Sweep(absl::Time now) {
  for (auto asked = agents_.begin(); asked != agents_.end();) {
    const auto present = asked++;
    if (now >= present->second.asked_at + kListingLife) {
      agents_.erase(present);
    }
  }
}

}  // namespace cardamomroute
