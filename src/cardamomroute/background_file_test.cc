#include "cardamomroute/background_file.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>  // labels the test for the thread sanitizer

#include "control/file_system_test_support.h"

namespace cardamomroute {
namespace {

/// A file on a fake disk that its thread has read.
struct fixture {
  void Open() {
    std::promise<std::string> found;
    file = std::make_unique<background_file>(
        &disk, "data", "upstreams",
        [&](std::string content) { found.set_value(std::move(content)); });
    read = found.get_future().get();
  }

  control::fake_file_system disk;
  std::unique_ptr<background_file> file;
  std::string read = "not read";
};

BOOST_FIXTURE_TEST_CASE(AMissingFileIsEmpty, fixture) {
  Open();
  BOOST_TEST(read.empty());
}

BOOST_FIXTURE_TEST_CASE(TheLastContentIsThereAtTheNextStart, fixture) {
  Open();
  for (int i = 0; i < 100; ++i) {
    file->Write(std::to_string(i));
  }
  file.reset();
  Open();
  BOOST_TEST(read == "99");
}

// A process that is killed while it writes leaves a part of the next content.
BOOST_FIXTURE_TEST_CASE(WhatACrashHasLeftIsPassedOver, fixture) {
  Open();
  file->Write("first");
  file.reset();
  {
    auto left = disk.OpenForAppend("data/upstreams.next");
    BOOST_REQUIRE(left.has_value());
    BOOST_REQUIRE(left.value()->Append("sec").has_value());
  }
  Open();
  BOOST_TEST(read == "first");
  file->Write("third");
  file.reset();
  Open();
  BOOST_TEST(read == "third");
}

// A full disk keeps the old content, and is tried again.
BOOST_FIXTURE_TEST_CASE(AFullDiskKeepsTheOldContent, fixture) {
  Open();
  file->Write("first");
  file.reset();
  disk.SetCapacity(5);
  Open();
  file->Write("second");
  file.reset();
  Open();
  BOOST_TEST(read == "first");
  file.reset();
  disk.SetCapacity({});
  Open();
  file->Write("third");
  file.reset();
  Open();
  BOOST_TEST(read == "third");
}

// Power is lost at any moment: one of the contents, or none.
BOOST_AUTO_TEST_CASE(APowerLossLeavesAWholeContent) {
  for (uint32_t seed = 0; seed < 60; ++seed) {
    fixture site;
    site.Open();
    site.disk.LosePowerAfter(seed % 12);
    site.file->Write("content-1");
    site.file.reset();
    site.disk.Restart(seed);
    site.Open();
    BOOST_TEST((site.read.empty() || site.read == "content-1"));
  }
}

}  // namespace
}  // namespace cardamomroute
