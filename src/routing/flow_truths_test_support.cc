#include "routing/flow_truths_test_support.h"

namespace cardamomroute {

void flow_truths::OnDeliver(const flow_key& flow, target_id holder, bool is_new,
                            uint64_t serial, flow_state* state) {
  const auto [place, is_first] = truths_.try_emplace(flow);
  flow_truth& truth = place->second;
  const bool may_begin = is_first || truth.is_doomed;
  if (is_new && may_begin) {
    state->clear();
    truth = flow_truth{};
    truth.holder = holder;
  } else if (!is_new && truth.is_doomed) {
    truth.is_doomed = false;
    truth.holder = holder;
    truth.log = *state;
  }
  if (truth.holder != holder || truth.is_in_transit || truth.log != *state) {
    ++counts_->broken;
    truth.holder = holder;
    truth.is_in_transit = false;
    truth.log = *state;
  }
  state->push_back(serial);
  truth.log.push_back(serial);
}

void flow_truths::OnExport(const flow_key& flow, target_id holder) {
  const auto truth = truths_.find(flow);
  if (truth != truths_.end() && truth->second.holder == holder) {
    truth->second.is_in_transit = true;
  }
}

void flow_truths::OnImport(const flow_key& flow, target_id holder,
                           const flow_state& state) {
  const auto found = truths_.find(flow);
  if (found == truths_.end() || !found->second.is_in_transit) {
    return;
  }
  flow_truth& truth = found->second;
  counts_->broken += truth.log != state ? 1 : 0;
  truth.holder = holder;
  truth.is_in_transit = false;
  truth.is_doomed = false;
}

void flow_truths::OnAbandon(const flow_key& flow, target_id holder) {
  const auto truth = truths_.find(flow);
  if (truth != truths_.end() && truth->second.holder == holder &&
      !truth->second.is_doomed) {
    ++counts_->broken;
  }
}

void flow_truths::OnCrash(target_id holder) {
  for (auto& [flow, truth] : truths_) {
    if (truth.holder == holder && !truth.is_doomed) {
      truth.is_doomed = true;
      ++counts_->lost_by_crash;
    }
  }
}

target_id flow_truths::HolderOf(const flow_key& flow) const {
  const auto truth = truths_.find(flow);
  const bool is_known = truth != truths_.end() && !truth->second.is_in_transit;
  return is_known ? truth->second.holder : 0;
}

}  // namespace cardamomroute
