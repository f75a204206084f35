#include "routing/registrar.h"

#include <algorithm>
#include <utility>

#include "routing/retry_backoff.h"

namespace cardamomroute {
namespace {

/// Keeps a batch below the size of one datagram.
constexpr std::size_t kMaxFlowsPerBatch = 32;
constexpr std::size_t kMaxBatchesPerCall = 64;

}  // namespace

void registrar::Queue(target_id home, packet_kind kind,
                      const flow_record& flow) {
  ++pending_by_home_[home];
  const auto open = std::find_if(
      queued_.begin(), queued_.end(), [&](const registration_batch& batch) {
        return batch.home == home && batch.kind == kind &&
               batch.flows.size() < kMaxFlowsPerBatch;
      });
  if (open != queued_.end()) {
    open->flows.push_back(flow);
    return;
  }
  registration_batch batch;
  batch.home = home;
  batch.kind = kind;
  batch.flows.push_back(flow);
  queued_.push_back(std::move(batch));
}

std::vector<registration_batch> registrar::TakeDue(absl::Time now) {
  std::vector<registration_batch> due;
  RetryBatches(now, &due);
  StartBatches(now, &due);
  return due;
}

void registrar::RetryBatches(absl::Time now,
                             std::vector<registration_batch>* due) {
  for (auto& [sequence, sent] : in_flight_) {
    if (due->size() >= kMaxBatchesPerCall) {
      return;
    }
    if (now >= sent.retry_at) {
      sent.retry_at = RetryAt(now, ++sent.attempts);
      due->push_back(sent.batch);
    }
  }
}

void registrar::StartBatches(absl::Time now,
                             std::vector<registration_batch>* due) {
  while (!queued_.empty() && due->size() < kMaxBatchesPerCall) {
    sent_batch sent;
    sent.batch = std::move(queued_.front());
    queued_.pop_front();
    sent.batch.sequence = ++last_sequence_;
    sent.retry_at = RetryAt(now, 0);
    due->push_back(sent.batch);
    in_flight_.emplace(sent.batch.sequence, std::move(sent));
  }
}

registration_batch registrar::OnDone(target_id home, uint64_t sequence) {
  const auto found = in_flight_.find(sequence);
  if (found == in_flight_.end() || found->second.batch.home != home) {
    return {};
  }
  registration_batch batch = std::move(found->second.batch);
  in_flight_.erase(found);
  const auto pending = pending_by_home_.find(home);
  pending->second -= batch.flows.size();
  if (pending->second == 0) {
    pending_by_home_.erase(pending);
  }
  return batch;
}

void registrar::DropHome(target_id home) {
  if (pending_by_home_.erase(home) == 0) {
    return;
  }
  queued_.erase(std::remove_if(queued_.begin(), queued_.end(),
                               [&](const registration_batch& batch) {
                                 return batch.home == home;
                               }),
                queued_.end());
  for (auto sent = in_flight_.begin(); sent != in_flight_.end();) {
    sent = sent->second.batch.home == home ? in_flight_.erase(sent)
                                           : std::next(sent);
  }
}

bool registrar::HasPending(target_id home) const {
  return pending_by_home_.contains(home);
}

}  // namespace cardamomroute
