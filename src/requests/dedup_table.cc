#include "requests/dedup_table.h"

#include "requests/protocol_times.h"

namespace cardamomroute {

run_record* dedup_table::Find(const std::string& echo) {
  const auto it = records_.find(echo);
  return it == records_.end() ? nullptr : &it->second;
}

run_record* dedup_table::Add(run_record record) {
  const std::string echo = record.echo;
  by_expiry_.emplace(record.expires_at, echo);
  return &records_.insert_or_assign(echo, std::move(record)).first->second;
}

void dedup_table::ExtendExpiry(run_record* record, absl::Time expires_at) {
  if (expires_at <= record->expires_at) {
    return;
  }
  by_expiry_.erase({record->expires_at, record->echo});
  record->expires_at = expires_at;
  by_expiry_.emplace(expires_at, record->echo);
}

void dedup_table::Expire(absl::Time now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    run_record* record = Find(by_expiry_.begin()->second);
    if (!record->answered) {
      ExtendExpiry(record, now + kExchangeLifetime);
      continue;
    }
    by_expiry_.erase(by_expiry_.begin());
    records_.erase(record->echo);
  }
}

std::vector<run_record*> dedup_table::FindByFlow(const flow_key& flow,
                                                 uint64_t flow_hash) {
  std::vector<run_record*> found;
  for (auto& [echo, record] : records_) {
    if (record.issued_to == flow_hash || record.flow == flow) {
      found.push_back(&record);
    }
  }
  return found;
}

}  // namespace cardamomroute
