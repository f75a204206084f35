#include "control/file_system_posix.h"

#include <stdlib.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <string>

#include "control/log_store.h"

namespace cardamomroute::control {
namespace {

// Creates a temporary folder and removes it when destroyed.
struct temporary_folder {
  temporary_folder() {
    std::string pattern =
        std::filesystem::temp_directory_path() / "cardamomroute-XXXXXX";
    path = ::mkdtemp(pattern.data());
  }
  ~temporary_folder() { std::filesystem::remove_all(path); }

  std::string path;
};

BOOST_AUTO_TEST_CASE(ReopenedStoreReadsItsStateBackFromDisk) {
  const temporary_folder folder;
  const std::string data = folder.path + "/above/data";
  const stored_entry second = {2, 1, std::string(100000, 'b')};
  posix_file_system files;
  for (uint64_t start = 1; start <= 3; ++start) {
    auto store = log_store::Open(&files, data, 17 + start).value();
    const stored_state found = store->TakeRecovered();
    BOOST_TEST(found.member == 18U);
    BOOST_TEST(found.starts == start);
    if (start == 1) {
      BOOST_REQUIRE(store->Save(hard_state{1, 18}, {{1, 1, "a"}, second}));
      BOOST_REQUIRE(store->SaveSnapshot({1, 1, "state"}, {second}));
      continue;
    }
    BOOST_TEST((found.hard == hard_state{1, 18}));
    BOOST_REQUIRE(found.snapshot.has_value());
    BOOST_TEST((*found.snapshot == stored_snapshot{1, 1, "state"}));
    BOOST_REQUIRE(found.entries.size() == 1);
    BOOST_TEST((found.entries.front() == second));
  }
}

BOOST_AUTO_TEST_CASE(AFolderInUseIsLocked) {
  const temporary_folder folder;
  posix_file_system files;
  const auto first = log_store::Open(&files, folder.path, 1);
  const auto second = log_store::Open(&files, folder.path, 1);
  BOOST_REQUIRE(!second);
  BOOST_TEST((second.error().kind == error_kind::kFolderLocked));
}

BOOST_AUTO_TEST_CASE(AMissingFileIsUnreadable) {
  const temporary_folder folder;
  const auto content = posix_file_system().Read(folder.path + "/none");
  BOOST_REQUIRE(!content);
  BOOST_TEST((content.error().kind == error_kind::kFileUnreadable));
}

}  // namespace
}  // namespace cardamomroute::control
