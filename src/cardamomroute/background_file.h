#ifndef CARDAMOMROUTE_CARDAMOMROUTE_BACKGROUND_FILE_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_BACKGROUND_FILE_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "base/result.h"

namespace cardamomroute {

namespace control {
class file_system;
}  // namespace control

/// A small file that is read once and then written by a thread of its own, so
/// that nobody waits for the disk. Of several contents that are given while it
/// writes, the last one is written. After a loss of power the file has an
/// earlier content or is missing.
class background_file {
 public:
  /// Starts the thread, which creates the folder where it is missing. `on_read`
  /// is called by the thread, once, with the content; it is empty where there
  /// is no file or it cannot be read. `files` outlives the object.
  background_file(control::file_system* files, std::string folder,
                  const std::string& name,
                  std::function<void(std::string)> on_read);
  background_file(const background_file&) = delete;
  background_file& operator=(const background_file&) = delete;
  /// Writes what was given last, and waits for it.
  ~background_file();

  /// The content from now on; a failure is logged, and the next content is
  /// tried as well.
  void Write(std::string content);

 private:
  void Run(const std::function<void(std::string)>& on_read);
  std::optional<std::string> WaitForContent();
  result<void> Store(const std::string& content);

  control::file_system* const files_;
  const std::string folder_;
  const std::string path_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<std::string> content_ ABSL_GUARDED_BY(mutex_);
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_BACKGROUND_FILE_H_
