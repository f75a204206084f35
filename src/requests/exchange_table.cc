#include "requests/exchange_table.h"

#include "requests/sorted_ids.h"

namespace cardamomroute {

upstream_exchange* exchange_table::Add(const upstream_exchange& exchange) {
  const uint64_t id = exchange.id;
  by_token_[{exchange.leg, exchange.token}] = id;
  by_message_id_[{exchange.leg, exchange.message_id}] = id;
  ++counts_[exchange.leg];
  return &exchanges_.emplace(id, exchange).first->second;
}

upstream_exchange* exchange_table::Find(uint64_t id) {
  const auto it = exchanges_.find(id);
  return it == exchanges_.end() ? nullptr : &it->second;
}

upstream_exchange* exchange_table::FindByToken(leg_id leg,
                                               const std::string& token) {
  const auto it = by_token_.find({leg, token});
  return it == by_token_.end() ? nullptr : Find(it->second);
}

upstream_exchange* exchange_table::FindByMessageId(leg_id leg,
                                                   uint16_t message_id) {
  const auto it = by_message_id_.find({leg, message_id});
  return it == by_message_id_.end() ? nullptr : Find(it->second);
}

void exchange_table::Erase(uint64_t id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) {
    return;
  }
  const upstream_exchange& exchange = it->second;
  const auto token = by_token_.find({exchange.leg, exchange.token});
  if (token != by_token_.end() && token->second == id) {
    by_token_.erase(token);
  }
  const auto message = by_message_id_.find({exchange.leg, exchange.message_id});
  if (message != by_message_id_.end() && message->second == id) {
    by_message_id_.erase(message);
  }
  const auto count = counts_.find(exchange.leg);
  if (--count->second == 0) {
    counts_.erase(count);
  }
  exchanges_.erase(it);
}

size_t exchange_table::CountOn(leg_id leg) const {
  const auto it = counts_.find(leg);
  return it == counts_.end() ? 0 : it->second;
}

std::vector<uint64_t> exchange_table::IdsOn(leg_id leg) const {
  return SortedIdsIf(exchanges_, [leg](const upstream_exchange& exchange) {
    return leg == 0 || exchange.leg == leg;
  });
}

}  // namespace cardamomroute
