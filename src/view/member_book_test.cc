#include "view/member_book.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <vector>

#include "inner/node.pb.h"
#include "view/subtree_codec.h"

namespace cardamomroute {
namespace {

endpoint ChildAddress(uint16_t number) {
  endpoint address;
  address.port = static_cast<uint16_t>(1 + number);
  return address;
}

// Children that send their ids when they have changed, and are asked for them.
RC_BOOST_PROP(MembersAreThoseOfTheChildrenHeardLately, ()) {
  struct child_past {
    std::vector<uint64_t> ids;
    absl::Time heard = absl::InfinitePast();
  };
  member_book book;
  std::map<uint16_t, child_past> children;
  absl::Time now = absl::FromUnixSeconds(1000);
  for (int step = 0; step < 60; ++step) {
    now += absl::Milliseconds(*rc::gen::inRange(1, 400));
    const auto number = *rc::gen::inRange<uint16_t>(0, 5);
    child_past& child = children[number];
    const bool changes = *rc::gen::inRange(0, 3) == 0;
    if (changes) {
      const auto drawn = *rc::gen::container<std::vector<uint64_t>>(
          rc::gen::inRange<uint64_t>(1, 30));
      const std::set<uint64_t> ids(drawn.begin(), drawn.end());
      child.ids.assign(ids.begin(), ids.end());
    }
    if (!book.OnDigest(ChildAddress(number), DigestOf(child.ids), now)) {
      inner::subtree_report sent;
      WriteMembers(child.ids, &sent);
      RC_ASSERT(ReadMembers(sent) == child.ids);
      book.OnMembers(ChildAddress(number), ReadMembers(sent), now);
    }
    child.heard = now;
    std::set<uint64_t> expected;
    for (const auto& [other, past] : children) {
      if (now < past.heard + kMemberSilence) {
        expected.insert(past.ids.begin(), past.ids.end());
      }
    }
    const std::vector<uint64_t> members = book.Members(now);
    RC_ASSERT(members ==
              std::vector<uint64_t>(expected.begin(), expected.end()));
  }
}

}  // namespace
}  // namespace cardamomroute
