#ifndef CARDAMOMROUTE_VIEW_SUBTREE_CODEC_H_
#define CARDAMOMROUTE_VIEW_SUBTREE_CODEC_H_

#include <cstdint>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "inner/node.pb.h"
#include "view/child_book.h"

namespace cardamomroute {

/// Lists `ids`, which rise.
void WriteMembers(const std::vector<uint64_t>& ids,
                  inner::subtree_report* subtree);

/// The ids that are listed, rising; those that do not rise are left out.
std::vector<uint64_t> ReadMembers(const inner::subtree_report& subtree);

void WriteCounts(const version_counts& counts, inner::subtree_report* subtree);

/// How many nodes of the subtree that pulls have which version: for a node
/// without children itself.
version_counts ReadCounts(const inner::pull_request& pull);

/// Where the node that announces itself is reached by others. Fails as
/// ParseEndpoint.
result<endpoint> ReadAnnouncedAddress(const inner::pull_request& pull);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_VIEW_SUBTREE_CODEC_H_
