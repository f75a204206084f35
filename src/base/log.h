#ifndef CARDAMOMROUTE_BASE_LOG_H_
#define CARDAMOMROUTE_BASE_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

#include "base/result.h"

namespace cardamomroute {

struct log_settings;

/// How much a log line matters.
enum class log_level : uint8_t { kTrace, kDebug, kInfo, kWarn, kError };

/// Starts logging as set. Until this is called, nothing is logged. May be
/// called again to change the settings. Fails with kIoFailed when the file
/// cannot be written, and kValueOutOfRange for an unknown level.
result<void> ConfigureLogging(const log_settings& wanted);

/// Writes what is still queued and ends logging.
void StopLogging();

/// True when lines of this level are written. Takes one atomic read.
bool IsLogged(log_level level);

/// Lines that may wait for the thread that writes them. Past that, lines are
/// dropped, so that a slow disk never stops traffic; the next line that is
/// written after that is preceded by one that says how many.
constexpr uint32_t kQueuedLines = 65536;

/// One line of the log: an event and its fields, in the order given, as
/// key=value or JSON by setting. The line is handed over when the object is
/// destroyed. When its level is off, nothing is formatted.
class log_line {
 public:
  /// `event` names the kind of line, for example "placement".
  log_line(log_level level, std::string_view event);
  log_line(const log_line&) = delete;
  log_line& operator=(const log_line&) = delete;
  ~log_line();

  log_line& With(std::string_view key, std::string_view value) {
    if (on_) {
      AddText(key, value);
    }
    return *this;
  }

  log_line& With(std::string_view key, const char* value) {
    return With(key, std::string_view(value));
  }

  /// Numbers and truth values.
  template <class T, class = std::enable_if_t<std::is_arithmetic_v<T>>>
  log_line& With(std::string_view key, T value) {
    if (!on_) {
      return *this;
    }
    if constexpr (std::is_same_v<T, bool>) {
      AddWord(key, value ? "true" : "false");
    } else if constexpr (std::is_floating_point_v<T>) {
      AddFraction(key, static_cast<double>(value));
    } else if constexpr (std::is_signed_v<T>) {
      AddSigned(key, static_cast<int64_t>(value));
    } else {
      AddUnsigned(key, static_cast<uint64_t>(value));
    }
    return *this;
  }

 private:
  void AddText(std::string_view key, std::string_view value);
  void AddWord(std::string_view key, std::string_view word);
  void AddFraction(std::string_view key, double value);
  void AddSigned(std::string_view key, int64_t value);
  void AddUnsigned(std::string_view key, uint64_t value);

  log_level level_;
  bool on_;
  bool json_ = false;
  std::string fields_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_LOG_H_
