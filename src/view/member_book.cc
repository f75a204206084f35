#include "view/member_book.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cardamomroute {
namespace {

constexpr uint64_t kDigestSeed = 0x6d656d6265720001ULL;

}  // namespace

uint64_t DigestOf(const std::vector<uint64_t>& ids) {
  uint64_t digest = kDigestSeed;
  for (const uint64_t id : ids) {
    digest = XXH64(&id, sizeof(id), digest);
  }
  return digest;
}

void member_book::OnMembers(const endpoint& child, std::vector<uint64_t> ids,
                            absl::Time now) {
  const uint64_t digest = DigestOf(ids);
  children_[child] = {digest, std::move(ids), now + kMemberSilence};
}

bool member_book::OnDigest(const endpoint& child, uint64_t digest,
                           absl::Time now) {
  const auto known = children_.find(child);
  if (known == children_.end() || known->second.digest != digest) {
    return false;
  }
  known->second.expires = now + kMemberSilence;
  return true;
}

std::vector<uint64_t> member_book::Members(absl::Time now) {
  std::vector<uint64_t> all;
  for (auto child = children_.begin(); child != children_.end();) {
    if (now >= child->second.expires) {
      child = children_.erase(child);
      continue;
    }
    all.insert(all.end(), child->second.ids.begin(), child->second.ids.end());
    child = std::next(child);
  }
  std::sort(all.begin(), all.end());
  all.erase(std::unique(all.begin(), all.end()), all.end());
  return all;
}

}  // namespace cardamomroute
