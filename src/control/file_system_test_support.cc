#include "control/file_system_test_support.h"

#include <algorithm>
#include <utility>

namespace cardamomroute::control {
namespace {

constexpr size_t kSectorBytes = 512;

error PowerLossError(const std::string& path) {
  return {error_kind::kIoFailed, path, "no power"};
}

// Returns a possible content of the file after a power loss: the unsynced part
// may be truncated, and each of its sectors may be zeroed. A file whose synced
// part has changed keeps either its current or its durable content.
std::string TornContent(const fake_inode& inode, std::mt19937* random) {
  const std::string& content = inode.content;
  const size_t synced = inode.durable.size();
  if (content.compare(0, synced, inode.durable) != 0) {
    return (*random)() % 2 == 0 ? content : inode.durable;
  }
  std::string torn =
      content.substr(0, synced + (*random)() % (content.size() - synced + 1));
  const bool zeroes_sectors = (*random)() % 2 == 0;
  for (size_t at = synced; zeroes_sectors && at < torn.size();) {
    const size_t end =
        std::min(torn.size(), (at / kSectorBytes + 1) * kSectorBytes);
    if ((*random)() % 2 == 0) {
      std::fill(torn.begin() + at, torn.begin() + end, '\0');
    }
    at = end;
  }
  return torn;
}

}  // namespace

class fake_file : public file {
 public:
  fake_file(fake_file_system* files, std::string path,
            std::shared_ptr<fake_inode> inode)
      : files_(files), path_(std::move(path)), inode_(std::move(inode)) {}

  result<void> Append(std::string_view bytes) override {
    return files_->AppendTo(path_, inode_.get(), bytes);
  }
  result<void> Sync() override {
    return files_->SyncInode(path_, inode_.get());
  }

 private:
  fake_file_system* files_;
  std::string path_;
  std::shared_ptr<fake_inode> inode_;
};

class fake_lock : public file_lock {
 public:
  fake_lock(fake_file_system* files, std::string path)
      : files_(files), path_(std::move(path)) {}
  ~fake_lock() override { files_->locked_paths_.erase(path_); }

 private:
  fake_file_system* files_;
  std::string path_;
};

result<void> fake_file_system::BeginChange(const std::string& path) {
  if (changes_until_power_loss_ && *changes_until_power_loss_ == 0) {
    power_lost_ = true;
  }
  if (power_lost_) {
    return PowerLossError(path);
  }
  if (changes_until_power_loss_) {
    --*changes_until_power_loss_;
  }
  ++changes_;
  return boost::outcome_v2::success();
}

void fake_file_system::RecordDirectory() {
  directory_history_.push_back(names_);
}

uint64_t fake_file_system::UsedBytes() const {
  uint64_t used = 0;
  for (const auto& [path, inode] : names_) {
    used += inode->content.size();
  }
  return used;
}

result<void> fake_file_system::AppendTo(const std::string& path,
                                        fake_inode* inode,
                                        std::string_view bytes) {
  const bool had_power = !power_lost_;
  result<void> changed = BeginChange(path);
  if (!changed) {
    // The append during which power is lost leaves its bytes unsynced.
    inode->content.append(had_power ? bytes : std::string_view());
    return changed;
  }
  const uint64_t used = UsedBytes();
  const uint64_t free_bytes =
      capacity_bytes_ ? *capacity_bytes_ - std::min(*capacity_bytes_, used)
                      : bytes.size();
  inode->content.append(bytes.substr(0, free_bytes));
  if (free_bytes < bytes.size()) {
    return error{error_kind::kDiskFull, path, "no space"};
  }
  return boost::outcome_v2::success();
}

result<void> fake_file_system::SyncInode(const std::string& path,
                                         fake_inode* inode) {
  BOOST_OUTCOME_TRYV(BeginChange(path));
  if (syncs_until_failure_ && *syncs_until_failure_ == 0) {
    syncs_until_failure_.reset();
    const size_t kept = std::min(inode->durable.size(), inode->content.size());
    std::fill(inode->content.begin() + kept, inode->content.end(), '\0');
    return error{error_kind::kIoFailed, path, "fsync failed"};
  }
  if (syncs_until_failure_) {
    --*syncs_until_failure_;
  }
  inode->durable = inode->content;
  return boost::outcome_v2::success();
}

result<std::unique_ptr<file>> fake_file_system::OpenForAppend(
    const std::string& path) {
  if (names_.count(path) == 0) {
    BOOST_OUTCOME_TRYV(BeginChange(path));
    names_[path] = std::make_shared<fake_inode>();
    RecordDirectory();
  }
  return std::make_unique<fake_file>(this, path, names_[path]);
}

result<std::string> fake_file_system::Read(const std::string& path) {
  const auto found = names_.find(path);
  if (found == names_.end()) {
    return error{error_kind::kFileUnreadable, path, "no such file"};
  }
  return found->second->content;
}

result<void> fake_file_system::Truncate(const std::string& path,
                                        uint64_t size) {
  BOOST_OUTCOME_TRYV(BeginChange(path));
  names_.at(path)->content.resize(size);
  return boost::outcome_v2::success();
}

result<void> fake_file_system::Rename(const std::string& from,
                                      const std::string& to) {
  BOOST_OUTCOME_TRYV(BeginChange(to));
  names_[to] = names_.at(from);
  names_.erase(from);
  RecordDirectory();
  return boost::outcome_v2::success();
}

result<void> fake_file_system::Remove(const std::string& path) {
  BOOST_OUTCOME_TRYV(BeginChange(path));
  names_.erase(path);
  RecordDirectory();
  return boost::outcome_v2::success();
}

result<void> fake_file_system::CreateFolder(const std::string& path) {
  return BeginChange(path);
}

result<void> fake_file_system::SyncFolder(const std::string& path) {
  BOOST_OUTCOME_TRYV(BeginChange(path));
  directory_history_ = {names_};
  return boost::outcome_v2::success();
}

result<std::vector<std::string>> fake_file_system::List(
    const std::string& folder) {
  std::vector<std::string> names;
  for (const auto& [path, inode] : names_) {
    names.push_back(path.substr(folder.size() + 1));
  }
  return names;
}

result<std::unique_ptr<file_lock>> fake_file_system::Lock(
    const std::string& path) {
  if (!locked_paths_.insert(path).second) {
    return error{error_kind::kFolderLocked, path, "locked"};
  }
  return std::make_unique<fake_lock>(this, path);
}

void fake_file_system::Restart(uint32_t seed) {
  std::mt19937 random(seed);
  names_ = directory_history_[random() % directory_history_.size()];
  // Inodes are shared between the directories in the history, so the torn
  // content goes to a new inode.
  for (auto& [path, inode] : names_) {
    const std::string found = TornContent(*inode, &random);
    inode = std::make_shared<fake_inode>(fake_inode{found, found});
  }
  directory_history_ = {names_};
  locked_paths_.clear();
  changes_until_power_loss_.reset();
  syncs_until_failure_.reset();
  capacity_bytes_.reset();
  power_lost_ = false;
}

}  // namespace cardamomroute::control
