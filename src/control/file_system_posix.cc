#include "control/file_system_posix.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <system_error>
#include <utility>

namespace cardamomroute::control {
namespace {

constexpr mode_t kFileMode = 0640;
constexpr size_t kReadChunkBytes = 1 << 16;

error PosixError(const std::string& path, const char* call, int error_number) {
  const bool full = error_number == ENOSPC || error_number == EDQUOT;
  const error_kind kind = full ? error_kind::kDiskFull : error_kind::kIoFailed;
  const std::string reason = std::generic_category().message(error_number);
  return {kind, path, std::string(call) + ": " + reason};
}

result<void> CheckStatus(int status, const std::string& path,
                         const char* call) {
  if (status != 0) {
    return PosixError(path, call, errno);
  }
  return boost::outcome_v2::success();
}

/// Owns a file descriptor and closes it when destroyed.
class descriptor {
 public:
  explicit descriptor(int fd) : fd_(fd) {}
  descriptor(descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  descriptor(const descriptor&) = delete;
  descriptor& operator=(const descriptor&) = delete;
  descriptor& operator=(descriptor&&) = delete;
  ~descriptor() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
  }
  int Fd() const { return fd_; }

 private:
  int fd_;
};

result<descriptor> Open(const std::string& path, int flags) {
  int fd = -1;
  do {
    fd = ::open(path.c_str(), flags | O_CLOEXEC, kFileMode);
  } while (fd < 0 && errno == EINTR);
  if (fd < 0) {
    return PosixError(path, "open", errno);
  }
  return descriptor(fd);
}

result<void> OpenAndSync(const std::string& path, int flags) {
  BOOST_OUTCOME_TRY(opened, Open(path, flags));
  return CheckStatus(::fsync(opened.Fd()), path, "fsync");
}

class posix_file : public file {
 public:
  posix_file(std::string path, descriptor opened)
      : path_(std::move(path)), opened_(std::move(opened)) {}

  result<void> Append(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t written = ::write(opened_.Fd(), bytes.data(), bytes.size());
      if (written < 0 && errno != EINTR) {
        return PosixError(path_, "write", errno);
      }
      bytes.remove_prefix(static_cast<size_t>(std::max<ssize_t>(written, 0)));
    }
    return boost::outcome_v2::success();
  }

  result<void> Sync() override {
    return CheckStatus(::fsync(opened_.Fd()), path_, "fsync");
  }

 private:
  std::string path_;
  descriptor opened_;
};

class posix_lock : public file_lock {
 public:
  explicit posix_lock(descriptor opened) : opened_(std::move(opened)) {}

 private:
  descriptor opened_;
};

}  // namespace

result<std::unique_ptr<file>> posix_file_system::OpenForAppend(
    const std::string& path) {
  BOOST_OUTCOME_TRY(opened, Open(path, O_WRONLY | O_APPEND | O_CREAT));
  return std::make_unique<posix_file>(path, std::move(opened));
}

result<std::string> posix_file_system::Read(const std::string& path) {
  auto opened = Open(path, O_RDONLY);
  if (!opened) {
    return error{error_kind::kFileUnreadable, path, opened.error().detail};
  }
  std::string content;
  while (true) {
    const size_t size = content.size();
    content.resize(size + kReadChunkBytes);
    const ssize_t count =
        ::read(opened.value().Fd(), content.data() + size, kReadChunkBytes);
    if (count < 0 && errno != EINTR) {
      const error failure = PosixError(path, "read", errno);
      return error{error_kind::kFileUnreadable, path, failure.detail};
    }
    content.resize(size + static_cast<size_t>(std::max<ssize_t>(count, 0)));
    if (count == 0) {
      return content;
    }
  }
}

result<void> posix_file_system::Truncate(const std::string& path,
                                         uint64_t size) {
  const int status = ::truncate(path.c_str(), static_cast<off_t>(size));
  return CheckStatus(status, path, "truncate");
}

result<void> posix_file_system::Rename(const std::string& from,
                                       const std::string& to) {
  return CheckStatus(::rename(from.c_str(), to.c_str()), to, "rename");
}

result<void> posix_file_system::Remove(const std::string& path) {
  return CheckStatus(::unlink(path.c_str()), path, "unlink");
}

result<void> posix_file_system::CreateFolder(const std::string& path) {
  std::error_code failure;
  std::filesystem::create_directories(path, failure);
  if (failure) {
    return PosixError(path, "mkdir", failure.value());
  }
  const std::string parent =
      std::filesystem::absolute(path).lexically_normal().parent_path();
  return OpenAndSync(parent, O_RDONLY | O_DIRECTORY);
}

result<void> posix_file_system::SyncFolder(const std::string& path) {
  return OpenAndSync(path, O_RDONLY | O_DIRECTORY);
}

result<std::vector<std::string>> posix_file_system::List(
    const std::string& folder) {
  std::error_code failure;
  std::vector<std::string> names;
  std::filesystem::directory_iterator entry(folder, failure);
  const std::filesystem::directory_iterator end;
  while (!failure && entry != end) {
    names.push_back(entry->path().filename());
    entry.increment(failure);
  }
  if (failure) {
    return PosixError(folder, "readdir", failure.value());
  }
  std::sort(names.begin(), names.end());
  return names;
}

result<std::unique_ptr<file_lock>> posix_file_system::Lock(
    const std::string& path) {
  BOOST_OUTCOME_TRY(opened, Open(path, O_RDWR | O_CREAT));
  if (::flock(opened.Fd(), LOCK_EX | LOCK_NB) != 0) {
    if (errno == EWOULDBLOCK) {
      return error{error_kind::kFolderLocked, path,
                   "another process uses this data folder"};
    }
    return PosixError(path, "flock", errno);
  }
  return std::make_unique<posix_lock>(std::move(opened));
}

}  // namespace cardamomroute::control
