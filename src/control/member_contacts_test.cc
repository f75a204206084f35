#include "control/member_contacts.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace cardamomroute::control {
namespace {

using named_addresses = google::protobuf::RepeatedPtrField<std::string>;

const absl::Time kNow = absl::FromUnixSeconds(1000);

named_addresses Named(const std::vector<std::string>& addresses) {
  return {addresses.begin(), addresses.end()};
}

BOOST_AUTO_TEST_CASE(ContactsAreThoseNamedLately) {
  member_contacts contacts;
  BOOST_TEST(contacts.OnNamed(Named({"b:1", "a:1"}), kNow));
  BOOST_TEST(!contacts.OnNamed(Named({"a:1"}), kNow + absl::Seconds(1)));
  const std::vector<std::string> both = {"a:1", "b:1"};
  BOOST_TEST(contacts.All(kNow) == both, boost::test_tools::per_element());
  const std::vector<std::string> later =
      contacts.All(kNow + kMemberContactLife);
  BOOST_REQUIRE(later.size() == 1U);
  BOOST_TEST(later.front() == "a:1");
}

/// Whatever others name, the list stays short, and those known are kept.
BOOST_AUTO_TEST_CASE(ContactsAreBounded) {
  member_contacts contacts;
  contacts.OnNamed(Named({"first:1"}), kNow);
  for (int number = 0; number < 100; ++number) {
    contacts.OnNamed(Named({absl::StrCat("other:", number)}), kNow);
  }
  const std::vector<std::string> all = contacts.All(kNow);
  BOOST_TEST(all.size() == kMaxMemberContacts);
  BOOST_TEST(all.front() == "first:1");
}

}  // namespace
}  // namespace cardamomroute::control
