#include "base/log.h"

#include <absl/strings/str_cat.h>
#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <array>
#include <atomic>
#include <cmath>
#include <fstream>
#include <memory>

#include "base/log_budget.h"
#include "base/log_format.h"
#include "base/settings.h"

namespace cardamomroute {
namespace {

/// Above every level: nothing is logged.
constexpr uint8_t kOff = 255;

constexpr const char* kTextPattern =
    "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n";
constexpr const char* kJsonPattern =
    R"({"time":"%D{%Y-%m-%dT%H:%M:%S.%q}Z","level":"%p",%m}%n)";

struct level_row {
  std::string_view name;
  log4cplus::LogLevel value;
};

constexpr std::array<level_row, 5> kLevels = {{
    {"TRACE", log4cplus::TRACE_LOG_LEVEL},
    {"DEBUG", log4cplus::DEBUG_LOG_LEVEL},
    {"INFO", log4cplus::INFO_LOG_LEVEL},
    {"WARN", log4cplus::WARN_LOG_LEVEL},
    {"ERROR", log4cplus::ERROR_LOG_LEVEL},
}};

std::atomic<uint8_t> lowest_level{kOff};
std::atomic<bool> json_lines{false};

/// The logger of all lines; its library starts at the first call.
log4cplus::Logger& Root() {
  static log4cplus::Initializer initializer;
  static log4cplus::Logger root = log4cplus::Logger::getRoot();
  return root;
}

internal::log_budget& Budget() {
  static internal::log_budget budget(kQueuedLines);
  return budget;
}

/// An appender that gives back the budget of each line it has written.
template <class Appender>
class counted_appender : public Appender {
 public:
  using Appender::Appender;
  counted_appender(const counted_appender&) = delete;
  counted_appender& operator=(const counted_appender&) = delete;
  ~counted_appender() override { this->destructorImpl(); }

 protected:
  // The name that log4cplus asks for.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    Appender::append(event);
    Budget().GiveBack();
  }
};

using counted_console = counted_appender<log4cplus::ConsoleAppender>;
using counted_file = counted_appender<log4cplus::RollingFileAppender>;

/// An appender whose thread has ended once it is closed. The library waits for
/// the thread only if it does not say yet that it is at its end, so it could
/// still read the queue that is freed next.
class joined_async_appender : public log4cplus::AsyncAppender {
 public:
  using AsyncAppender::AsyncAppender;
  joined_async_appender(const joined_async_appender&) = delete;
  joined_async_appender& operator=(const joined_async_appender&) = delete;
  ~joined_async_appender() override { destructorImpl(); }

  // The name that log4cplus asks for.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void close() override {
    if (queue_thread) {
      queue->signal_exit();
      queue_thread->join();
      queue_thread = nullptr;
    }
    AsyncAppender::close();
  }
};

log4cplus::SharedAppenderPtr MakeAppender(const log_settings& wanted) {
  log4cplus::SharedAppenderPtr sink;
  if (wanted.file.empty()) {
    sink = new counted_console(!wanted.standard_output, true);
  } else {
    sink = new counted_file(wanted.file,
                            static_cast<long>(wanted.rotate_bytes),  // NOLINT
                            static_cast<int>(wanted.kept_files));
  }
  sink->setLayout(std::make_unique<log4cplus::PatternLayout>(
      wanted.json ? kJsonPattern : kTextPattern));
  return sink;
}

bool CanAppendTo(const std::string& file) {
  return file.empty() || std::ofstream(file, std::ios::app).good();
}

}  // namespace

result<void> ConfigureLogging(const log_settings& wanted) {
  uint8_t level = 0;
  while (level < kLevels.size() && kLevels.at(level).name != wanted.level) {
    ++level;
  }
  if (level == kLevels.size()) {
    return error{error_kind::kValueOutOfRange, wanted.level,
                 "is not a level of logging"};
  }
  if (!CanAppendTo(wanted.file)) {
    return error{error_kind::kIoFailed, wanted.file, "cannot be written"};
  }
  StopLogging();
  log4cplus::Logger& root = Root();
  root.setLogLevel(kLevels.at(level).value);
  root.addAppender(log4cplus::SharedAppenderPtr(
      new joined_async_appender(MakeAppender(wanted), kQueuedLines + 1)));
  json_lines = wanted.json;
  lowest_level = level;
  return boost::outcome_v2::success();
}

void StopLogging() {
  lowest_level = kOff;
  for (const log4cplus::SharedAppenderPtr& appender :
       Root().getAllAppenders()) {
    appender->close();
  }
  Root().removeAllAppenders();
}

bool IsLogged(log_level level) {
  return static_cast<uint8_t>(level) >=
         lowest_level.load(std::memory_order_relaxed);
}

log_line::log_line(log_level level, std::string_view event)
    : level_(level), on_(IsLogged(level)) {
  if (on_) {
    json_ = json_lines.load(std::memory_order_relaxed);
    AddText("event", event);
  }
}

log_line::~log_line() {
  if (!on_ || !Budget().Take()) {
    return;
  }
  const uint64_t dropped = Budget().TakeDropped();
  if (dropped != 0) {
    log_line(log_level::kError, "log-lines-dropped").With("count", dropped);
  }
  Root().log(kLevels.at(static_cast<size_t>(level_)).value, fields_);
}

void log_line::AddText(std::string_view key, std::string_view value) {
  internal::AppendText(fields_, json_, key, value);
}

void log_line::AddWord(std::string_view key, std::string_view word) {
  internal::AppendWord(fields_, json_, key, word);
}

void log_line::AddFraction(std::string_view key, double value) {
  if (std::isfinite(value)) {
    AddWord(key, absl::StrCat(value));
  } else {
    AddText(key, absl::StrCat(value));
  }
}

void log_line::AddSigned(std::string_view key, int64_t value) {
  AddWord(key, absl::StrCat(value));
}

void log_line::AddUnsigned(std::string_view key, uint64_t value) {
  AddWord(key, absl::StrCat(value));
}

}  // namespace cardamomroute
