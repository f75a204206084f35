#include "flows/flow_listing.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cardamomroute {

void flow_listing::AskForNew(inner::holder_query* query) const {
  query->set_list_run(run_);
  query->set_listed_up_to(hashes_.size() > kMostKeptHashes ? 0 : listed_up_to_);
}

// Answers may overtake one another. One that lists less than is known adds
// nothing, but what is known answers for its time as well.
bool flow_listing::Take(const inner::holder_answer& answer) {
  const bool is_same_run = answer.list_run() == run_;
  const bool is_whole = answer.listed_after() == 0;
  if (!is_whole && (!is_same_run || answer.listed_after() > listed_up_to_)) {
    return false;
  }
  if (is_same_run && answer.listed_up_to() < listed_up_to_) {
    return true;
  }
  std::vector<listed_hash> added = HashesOf(answer.listed());
  std::sort(added.begin(), added.end());
  if (is_whole) {
    hashes_ = std::move(added);
  } else {
    std::vector<listed_hash> merged;
    merged.reserve(hashes_.size() + added.size());
    std::set_union(hashes_.begin(), hashes_.end(), added.begin(), added.end(),
                   std::back_inserter(merged));
    hashes_ = std::move(merged);
  }
  run_ = answer.list_run();
  listed_up_to_ = answer.listed_up_to();
  return true;
}

bool flow_listing::MayHold(listed_hash hash) const {
  return std::binary_search(hashes_.begin(), hashes_.end(), hash);
}

}  // namespace cardamomroute
