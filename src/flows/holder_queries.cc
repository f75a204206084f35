#include "flows/holder_queries.h"

#include <algorithm>
#include <cstdint>

#include "flows/holder_search.h"
#include "flows/search_outlet.h"

namespace cardamomroute {
namespace {

// What a query says of one flow.
constexpr size_t kNameBytes = 2 * sizeof(uint64_t);

// Heads of a datagram: IP, UDP, those of the message, and when it was sent.
constexpr size_t kQueryHeadBytes = 53;

}  // namespace

size_t holder_queries::Ask(const ipv4_address& agent, const flow_id& flow,
                           absl::Time began_at, absl::Time now) {
  const auto found = agents_.find(agent);
  const asked_agent asked =
      found != agents_.end() ? found->second : asked_agent();
  if (asked.lists == listing::kNone) {
    return AskByName(agent, flow, now);
  }
  const bool is_answer_under_way = !asked.has_answered &&
                                   asked.asked_at >= began_at &&
                                   now < asked.asked_at + kSearchPatience;
  if (is_answer_under_way || queries_.contains(agent)) {
    return 0;
  }
  if (asked.lists == listing::kUnknown) {
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

bool holder_queries::OnAnswer(const ipv4_address& agent,
                              const inner::holder_answer& answer) {
  const auto asked = agents_.find(agent);
  if (asked == agents_.end() || !answer.has_asked_at()) {
    return false;
  }
  const bool was_expected = asked->second.lists != listing::kNone;
  asked->second.lists = answer.lists_all() ? listing::kAll : listing::kNone;
  asked->second.has_answered =
      answer.asked_at() ==
      static_cast<uint64_t>(absl::ToUnixNanos(asked->second.asked_at));
  return was_expected && !answer.lists_all();
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
