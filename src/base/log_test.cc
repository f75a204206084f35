#include "base/log.h"

#include <fcntl.h>
#include <rapidcheck/boost_test.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "base/log_format.h"
#include "base/settings.h"

namespace cardamomroute {
namespace {

namespace fs = std::filesystem;

/// A folder that is removed with the object.
class temporary_folder {
 public:
  temporary_folder() {
    std::string pattern = (fs::temp_directory_path() / "log-XXXXXX").string();
    path_ = mkdtemp(pattern.data());
  }
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;
  ~temporary_folder() { fs::remove_all(path_); }

  const fs::path& Path() const { return path_; }

 private:
  fs::path path_;
};

std::vector<std::string> LinesOf(const fs::path& file) {
  std::ifstream stream(file);
  std::vector<std::string> lines;
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

void WritePlacement() {
  log_line(log_level::kInfo, "placement")
      .With("service", "trade desk")
      .With("target", 7)
      .With("share", 0.5)
      .With("kept", true);
  log_line(log_level::kDebug, "too-detailed").With("number", 0);
}

BOOST_AUTO_TEST_CASE(OneLineAnEventInEitherStyle) {
  const temporary_folder folder;
  log_settings wanted;
  wanted.file = folder.Path() / "text.log";
  BOOST_REQUIRE(ConfigureLogging(wanted).has_value());
  WritePlacement();
  wanted.json = true;
  wanted.file = folder.Path() / "json.log";
  BOOST_REQUIRE(ConfigureLogging(wanted).has_value());
  WritePlacement();
  StopLogging();
  WritePlacement();

  const auto text = LinesOf(folder.Path() / "text.log");
  BOOST_REQUIRE(text.size() == 1U);
  BOOST_TEST(text[0].substr(text[0].find(" level=")) ==
             " level=INFO event=placement service=\"trade desk\" target=7 "
             "share=0.5 kept=true");
  const auto json = LinesOf(folder.Path() / "json.log");
  BOOST_REQUIRE(json.size() == 1U);
  const auto parsed = nlohmann::json::parse(json[0]);
  BOOST_TEST(parsed["event"] == "placement");
  BOOST_TEST(parsed["service"] == "trade desk");
  BOOST_TEST(parsed["target"] == 7);
  BOOST_TEST(parsed["kept"] == true);
}

BOOST_AUTO_TEST_CASE(RotatesAndKeepsNoMoreFilesThanSet) {
  const temporary_folder folder;
  log_settings wanted;
  wanted.file = folder.Path() / "rotated.log";
  wanted.rotate_bytes = 200 << 10;
  wanted.kept_files = 2;
  BOOST_REQUIRE(ConfigureLogging(wanted).has_value());
  const std::string filler(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    log_line(log_level::kInfo, "filler").With("text", filler);
  }
  StopLogging();
  size_t files = 0;
  for (const fs::directory_entry& file :
       fs::directory_iterator(folder.Path())) {
    ++files;
    BOOST_TEST(file.file_size() <= wanted.rotate_bytes + 2 * filler.size());
  }
  BOOST_TEST(files == 3U);
}

std::string ReadToEnd(int descriptor) {
  std::string text;
  std::vector<char> buffer(1 << 16);
  ssize_t got = 0;
  while ((got = read(descriptor, buffer.data(), buffer.size())) > 0) {
    text.append(buffer.data(), static_cast<size_t>(got));
  }
  return text;
}

size_t Occurrences(const std::string& text, const std::string& searched) {
  size_t count = 0;
  for (size_t at = text.find(searched); at != std::string::npos;
       at = text.find(searched, at + 1)) {
    ++count;
  }
  return count;
}

BOOST_AUTO_TEST_CASE(AStalledFileStopsNoWriterAndLostLinesAreCounted) {
  constexpr size_t kLines = kQueuedLines + 10000;
  const temporary_folder folder;
  log_settings wanted;
  wanted.file = folder.Path() / "pipe";
  BOOST_REQUIRE(mkfifo(wanted.file.c_str(), S_IRUSR | S_IWUSR) == 0);
  const int pipe = open(wanted.file.c_str(), O_RDONLY | O_NONBLOCK);
  BOOST_REQUIRE(ConfigureLogging(wanted).has_value());
  for (size_t i = 0; i < kLines; ++i) {
    log_line(log_level::kInfo, "counted").With("number", i);
  }
  fcntl(pipe, F_SETFL, 0);
  std::string text;
  std::thread reading([&] { text = ReadToEnd(pipe); });
  StopLogging();
  wanted.file = folder.Path() / "after.log";
  BOOST_REQUIRE(ConfigureLogging(wanted).has_value());
  log_line(log_level::kInfo, "after").With("number", 0);
  StopLogging();
  reading.join();
  close(pipe);

  const size_t written = Occurrences(text, "event=counted");
  BOOST_TEST(written >= kQueuedLines);
  BOOST_TEST(written < kLines);
  const auto after = LinesOf(folder.Path() / "after.log");
  BOOST_REQUIRE(after.size() == 2U);
  BOOST_TEST(after[0].substr(after[0].find(" level=")) ==
             " level=ERROR event=log-lines-dropped count=" +
                 std::to_string(kLines - written));
}

BOOST_AUTO_TEST_CASE(SaysWhatItCannotDo) {
  log_settings wanted;
  wanted.file = "/no-such-folder/a.log";
  BOOST_TEST((ConfigureLogging(wanted).error().kind == error_kind::kIoFailed));
  wanted.level = "LOUD";
  BOOST_TEST(
      (ConfigureLogging(wanted).error().kind == error_kind::kValueOutOfRange));
}

RC_BOOST_PROP(AnyValueStaysOneFieldOfOneLine, (const std::string& value)) {
  std::string json;
  internal::AppendText(json, true, "a", value);
  internal::AppendText(json, true, "b", "end");
  const auto parsed = nlohmann::json::parse("{" + json + "}");
  RC_ASSERT(parsed.size() == 2U);
  std::string text;
  internal::AppendText(text, false, "a", value);
  RC_ASSERT(text.find('\n') == std::string::npos);
  const std::string written = text.substr(2);
  if (written[0] == '"') {
    RC_ASSERT(nlohmann::json::parse(written).is_string());
  } else {
    RC_ASSERT(written == value);
    RC_ASSERT(written.find_first_of(" =\"") == std::string::npos);
  }
}

}  // namespace
}  // namespace cardamomroute
