#include "control/submission_history.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cardamomroute::control {
namespace {

void SaveRefusal(const error& refusal, inner::submission_record* record) {
  record->set_code(std::string(CodeOf(refusal.kind)));
  record->set_place(refusal.place);
  record->set_detail(refusal.detail);
}

error ReadRefusal(const inner::submission_record& record) {
  const auto match = std::find_if(kErrorTable.begin(), kErrorTable.end(),
                                  [&](const error_row& candidate) {
                                    return record.code() == candidate.code;
                                  });
  // A code unknown to this release still means that the text was refused.
  const error_kind kind =
      match != kErrorTable.end() ? match->kind : error_kind::kVersionConflict;
  return {kind, record.place(), record.detail()};
}

}  // namespace

submission_history::content_hash submission_history::HashContent(
    const inner::submit_text& submission) {
  inner::submit_text content;
  content.set_text(submission.text());
  content.set_base_version(submission.base_version());
  content.set_base_digest(submission.base_digest());
  const std::string bytes = content.SerializeAsString();
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.low64, hash.high64};
}

const submission_outcome* submission_history::Find(
    const std::string& id) const {
  const auto found = by_id_.find(id);
  return found != by_id_.end() ? &found->second.outcome : nullptr;
}

result<const submission_outcome*> submission_history::Recall(
    const inner::submit_text& submission) const {
  const auto found = by_id_.find(submission.submission_id());
  if (found == by_id_.end()) {
    return nullptr;
  }
  const content_hash& stored = found->second.content;
  const content_hash submitted = HashContent(submission);
  if (submitted.low != stored.low || submitted.high != stored.high) {
    return error{error_kind::kSubmissionReused, submission.submission_id(),
                 "this submission id came with another text or base before"};
  }
  return &found->second.outcome;
}

void submission_history::Remember(const inner::submit_text& submission,
                                  const submission_outcome& outcome) {
  if (!submission.submission_id().empty()) {
    Add(submission.submission_id(), {HashContent(submission), outcome});
  }
}

void submission_history::Add(const std::string& id, stored_outcome entry) {
  by_id_[id] = std::move(entry);
  insertion_order_.push_back(id);
  if (insertion_order_.size() > kMaxRememberedSubmissions) {
    by_id_.erase(insertion_order_.front());
    insertion_order_.pop_front();
  }
}

void submission_history::ForgetRefusals() {
  std::deque<std::string> accepted;
  for (std::string& id : insertion_order_) {
    if (by_id_.at(id).outcome.Accepted()) {
      accepted.push_back(std::move(id));
    } else {
      by_id_.erase(id);
    }
  }
  insertion_order_ = std::move(accepted);
}

void submission_history::Save(inner::state_snapshot* snapshot) const {
  for (const std::string& id : insertion_order_) {
    const stored_outcome& entry = by_id_.at(id);
    inner::submission_record* record = snapshot->add_submissions();
    record->set_submission_id(id);
    record->set_content_low(entry.content.low);
    record->set_content_high(entry.content.high);
    record->set_accepted(entry.outcome.Accepted());
    record->set_version(entry.outcome.version);
    record->set_digest(entry.outcome.digest);
    if (entry.outcome.refusal) {
      SaveRefusal(*entry.outcome.refusal, record);
    }
  }
}

void submission_history::Restore(const inner::state_snapshot& snapshot) {
  by_id_.clear();
  insertion_order_.clear();
  for (const inner::submission_record& record : snapshot.submissions()) {
    stored_outcome entry;
    entry.content = {record.content_low(), record.content_high()};
    entry.outcome.version = record.version();
    entry.outcome.digest = record.digest();
    if (!record.accepted()) {
      entry.outcome.refusal = ReadRefusal(record);
    }
    Add(record.submission_id(), std::move(entry));
  }
}

}  // namespace cardamomroute::control
