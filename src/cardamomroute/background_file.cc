#include "cardamomroute/background_file.h"

#include <memory>
#include <utility>

#include "base/log.h"
#include "control/file_system.h"

namespace cardamomroute {
namespace {

// Not the suffix of the temporary files that log_store removes.
constexpr char kNextSuffix[] = ".next";

void LogFailure(const result<void>& outcome) {
  if (!outcome) {
    log_line(log_level::kWarn, "file_not_written")
        .With("reason", Describe(outcome.error()));
  }
}

}  // namespace

background_file::background_file(control::file_system* files,
                                 std::string folder, const std::string& name,
                                 std::function<void(std::string)> on_read)
    : files_(files),
      folder_(std::move(folder)),
      path_(folder_ + "/" + name),
      thread_([this, on_read = std::move(on_read)] { Run(on_read); }) {}

background_file::~background_file() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

void background_file::Write(std::string content) {
  {
    const std::lock_guard lock(mutex_);
    content_ = std::move(content);
  }
  changed_.notify_one();
}

void background_file::Run(const std::function<void(std::string)>& on_read) {
  LogFailure(files_->CreateFolder(folder_));
  auto read = files_->Read(path_);
  on_read(read ? std::move(read).value() : "");
  while (const auto content = WaitForContent()) {
    LogFailure(Store(*content));
  }
}

// Nothing once the thread is to end.
std::optional<std::string> background_file::WaitForContent() {
  std::unique_lock lock(mutex_);
  while (!content_ && !stopped_) {
    changed_.wait(lock);
  }
  return std::exchange(content_, std::nullopt);
}

// A crash leaves either the old or the new content.
result<void> background_file::Store(const std::string& content) {
  const std::string next = path_ + kNextSuffix;
  // What a crash has left of it.
  (void)files_->Remove(next);
  BOOST_OUTCOME_TRY(opened, files_->OpenForAppend(next));
  BOOST_OUTCOME_TRYV(opened->Append(content));
  BOOST_OUTCOME_TRYV(opened->Sync());
  return files_->Rename(next, path_);
}

}  // namespace cardamomroute
