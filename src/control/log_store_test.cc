#include "control/log_store.h"

#include <absl/strings/str_format.h>
#include <rapidcheck/boost_test.h>
#include <xxhash.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>

#include "control/file_system_test_support.h"

namespace cardamomroute::control {
namespace {

constexpr char kFolder[] = "data";
constexpr member_id kMember = 0x1234;

std::unique_ptr<log_store> MustOpen(fake_file_system* files) {
  auto opened = log_store::Open(files, kFolder, kMember);
  if (!opened) {
    RC_FAIL(Describe(opened.error()));
  }
  return std::move(opened).value();
}

// Reference model: the state that the store must hold after a series of calls.
struct model {
  hard_state hard;
  std::optional<stored_snapshot> snapshot;
  std::vector<stored_entry> entries;

  uint64_t LastIndex() const {
    return (snapshot ? snapshot->index : 0) + entries.size();
  }
  void Put(const stored_entry& entry) {
    entries.resize(entries.size() - (LastIndex() + 1 - entry.index));
    entries.push_back(entry);
  }
};

// Arguments of one call to Save or, if `snapshot` is set, to SaveSnapshot.
struct store_call {
  std::optional<hard_state> hard;
  std::vector<stored_entry> entries;
  std::optional<stored_snapshot> snapshot;
};

store_call RandomCall(const model& state) {
  store_call call;
  const uint64_t term = state.hard.term + *rc::gen::inRange(0, 2);
  const uint64_t first = state.snapshot ? state.snapshot->index + 1 : 1;
  const uint64_t end = state.LastIndex() + 1;
  if (first < end && *rc::gen::inRange(0, 5) == 0) {
    const uint64_t at = *rc::gen::inRange(first, end);
    call.snapshot = {at, state.entries[at - first].term, "taken"};
    call.entries.assign(state.entries.begin() + (at - first + 1),
                        state.entries.end());
    return call;
  }
  if (*rc::gen::inRange(0, 8) == 0) {
    // Installed by a leader whose log diverged from this one.
    call.snapshot = {*rc::gen::inRange(first, end + 3), term + 1, "installed"};
    return call;
  }
  call.hard = {term, *rc::gen::inRange<member_id>(0, 3)};
  uint64_t index = *rc::gen::inRange(first, end + 1);
  const int count = *rc::gen::inRange(0, 4);
  for (int i = 0; i < count; ++i) {
    const size_t size = *rc::gen::inRange(0, 900);
    call.entries.push_back(
        {index++, term, std::string(size, static_cast<char>('a' + i))});
  }
  return call;
}

result<void> Run(const store_call& call, log_store* store) {
  return call.snapshot ? store->SaveSnapshot(*call.snapshot, call.entries)
                       : store->Save(call.hard, call.entries);
}

void Run(const store_call& call, model* state) {
  state->hard = call.hard.value_or(state->hard);
  if (call.snapshot) {
    state->snapshot = call.snapshot;
    state->entries = call.entries;
    return;
  }
  for (const stored_entry& entry : call.entries) {
    state->Put(entry);
  }
}

bool Matches(const stored_state& found, const model& expected) {
  return found.member == kMember && found.hard == expected.hard &&
         found.snapshot == expected.snapshot &&
         found.entries == expected.entries;
}

// True if `found` equals `acknowledged`, or that state after the interrupted
// call was applied in part. The records of one call are written in order.
bool IsPossible(const stored_state& found, const model& acknowledged,
                const store_call& interrupted) {
  if (Matches(found, acknowledged)) {
    return true;
  }
  model state = acknowledged;
  store_call part = interrupted;
  part.entries.clear();
  if (interrupted.snapshot) {
    Run(interrupted, &state);
    return Matches(found, state);
  }
  for (size_t count = 0; count <= interrupted.entries.size(); ++count) {
    state = acknowledged;
    part.entries.assign(interrupted.entries.begin(),
                        interrupted.entries.begin() + count);
    Run(part, &state);
    if (Matches(found, state)) {
      return true;
    }
  }
  return false;
}

// Power is lost repeatedly and at any write, also during recovery.
RC_BOOST_PROP(AcknowledgedWritesSurvivePowerLossAtAnyWrite, ()) {
  fake_file_system files;
  model acknowledged;
  const int power_losses = *rc::gen::inRange(1, 6);
  for (int loss = 0; loss < power_losses; ++loss) {
    files.LosePowerAfter(*rc::gen::inRange(0, 40));
    store_call interrupted;
    {
      auto opened = log_store::Open(&files, kFolder, kMember);
      while (opened && !files.PowerLost()) {
        const store_call call = RandomCall(acknowledged);
        if (Run(call, opened.value().get())) {
          Run(call, &acknowledged);
        } else {
          interrupted = call;
        }
      }
      const bool lost_power = files.PowerLost();
      RC_ASSERT(lost_power);
    }
    files.Restart(*rc::gen::arbitrary<uint32_t>());
    stored_state found = MustOpen(&files)->TakeRecovered();
    RC_ASSERT(IsPossible(found, acknowledged, interrupted));
    acknowledged = {found.hard, found.snapshot, found.entries};
  }
}

std::string LogPath(const fake_file_system& files) {
  std::string last;
  for (const auto& [path, inode] : files.Names()) {
    last = path.find("/log-") != std::string::npos ? path : last;
  }
  return last;
}

// A successful call, and the expected state and log size after it.
struct completed_call {
  store_call call;
  model state;
  uint64_t log_bytes = 0;
};

// Makes a few calls on a new store and returns them. The first element is the
// state before any call.
std::vector<completed_call> Fill(fake_file_system* files, bool with_snapshots) {
  auto store = MustOpen(files);
  std::vector<completed_call> completed = {{{}, {}, store->LogBytes()}};
  const int calls = *rc::gen::inRange(1, 5);
  for (int i = 0; i < calls; ++i) {
    completed_call next = {RandomCall(completed.back().state),
                           completed.back().state, 0};
    if (next.call.snapshot && !with_snapshots) {
      continue;
    }
    RC_ASSERT(Run(next.call, store.get()).has_value());
    Run(next.call, &next.state);
    next.log_bytes = store->LogBytes();
    completed.push_back(next);
  }
  return completed;
}

RC_BOOST_PROP(LogTruncatedAtAnyByteKeepsAllEarlierWrites, ()) {
  fake_file_system files;
  const std::vector<completed_call> completed = Fill(&files, false);
  const std::string path = LogPath(files);
  const std::string full_content = files.Names()[path]->content;
  for (size_t i = 1; i < completed.size(); ++i) {
    const completed_call& before = completed[i - 1];
    for (uint64_t cut = before.log_bytes; cut < completed[i].log_bytes; ++cut) {
      const std::string prefix = full_content.substr(0, cut);
      files.Names()[path] =
          std::make_shared<fake_inode>(fake_inode{prefix, prefix});
      const stored_state found = MustOpen(&files)->TakeRecovered();
      RC_ASSERT(IsPossible(found, before.state, completed[i].call));
      RC_ASSERT(MustOpen(&files)->TakeRecovered().truncated_bytes == 0U);
    }
  }
}

RC_BOOST_PROP(FlippedBitIsReportedAsCorruption, ()) {
  fake_file_system files;
  Fill(&files, true);
  const int chosen = *rc::gen::inRange<int>(0, files.Names().size());
  auto file = files.Names().begin();
  std::advance(file, chosen);
  std::string& content = file->second->content;
  RC_PRE(!content.empty());
  const size_t at = *rc::gen::inRange<size_t>(0, content.size());
  content[at] ^= static_cast<char>(1 << *rc::gen::inRange(0, 8));
  const auto opened = log_store::Open(&files, kFolder, kMember);
  RC_ASSERT(!opened.has_value());
  RC_ASSERT(opened.error().kind == error_kind::kDataCorrupt);
  RC_ASSERT(opened.error().place.find(file->first + ":") == 0U);
  RC_ASSERT(opened.error().detail.find("empty it") != std::string::npos);
}

RC_BOOST_PROP(ZeroedSectorBeforeALaterRecordIsCorruption, ()) {
  fake_file_system files;
  auto store = MustOpen(&files);
  const int count = *rc::gen::inRange(2, 6);
  uint64_t last_record = 0;
  for (uint64_t index = 1; index <= static_cast<uint64_t>(count); ++index) {
    const std::string bytes(*rc::gen::inRange(600, 1500), 'x');
    last_record = store->LogBytes();
    RC_ASSERT(store->Save(std::nullopt, {{index, 1, bytes}}).has_value());
  }
  store.reset();
  std::string& content = files.Names()[LogPath(files)]->content;
  const size_t sector = *rc::gen::inRange<size_t>(0, last_record / 512);
  std::fill_n(content.begin() + sector * 512, 512, '\0');
  const auto opened = log_store::Open(&files, kFolder, kMember);
  RC_ASSERT(!opened.has_value());
  RC_ASSERT(opened.error().kind == error_kind::kDataCorrupt);
}

RC_BOOST_PROP(NoWriteSucceedsAfterAFailedSync, ()) {
  fake_file_system files;
  model acknowledged;
  store_call interrupted;
  {
    auto store = MustOpen(&files);
    files.FailSyncAfter(*rc::gen::inRange(0, 6));
    bool failed = false;
    for (int i = 0; i < 12; ++i) {
      const store_call call = RandomCall(acknowledged);
      const result<void> status = Run(call, store.get());
      const bool succeeded_after_failure = failed && status.has_value();
      RC_ASSERT(!succeeded_after_failure);
      if (status) {
        Run(call, &acknowledged);
      } else if (!failed) {
        RC_ASSERT(status.error().kind == error_kind::kIoFailed);
        RC_ASSERT(store->Poisoned());
        failed = true;
        interrupted = call;
      }
    }
  }
  files.Restart(*rc::gen::arbitrary<uint32_t>());
  RC_ASSERT(
      IsPossible(MustOpen(&files)->TakeRecovered(), acknowledged, interrupted));
}

RC_BOOST_PROP(FullDiskChangesNothingAndWritesResumeOnceSpaceIsFree, ()) {
  fake_file_system files;
  model acknowledged;
  auto store = MustOpen(&files);
  files.SetCapacity(*rc::gen::inRange(600, 6000));
  for (int i = 0; i < 20; ++i) {
    const store_call call = RandomCall(acknowledged);
    const result<void> status = Run(call, store.get());
    if (status) {
      Run(call, &acknowledged);
    } else {
      RC_ASSERT(status.error().kind == error_kind::kDiskFull);
      RC_ASSERT(!store->Poisoned());
    }
    if (i == 15) {
      files.SetCapacity(std::nullopt);
    }
    const bool fails_only_when_full = i <= 15 || status.has_value();
    RC_ASSERT(fails_only_when_full);
  }
  store.reset();
  files.Restart(*rc::gen::arbitrary<uint32_t>());
  RC_ASSERT(Matches(MustOpen(&files)->TakeRecovered(), acknowledged));
}

RC_BOOST_PROP(AbandonIsAtomicAcrossPowerLoss, (uint32_t seed)) {
  fake_file_system files;
  bool abandoned = false;
  {
    const auto store = MustOpen(&files);
    RC_ASSERT(store->Save(hard_state{3, 1}, {{1, 2, "text"}}).has_value());
    files.LosePowerAfter(*rc::gen::inRange<uint64_t>(0, 12));
    abandoned = store->Abandon().has_value();
  }
  files.Restart(seed);
  const auto opened = log_store::Open(&files, kFolder, kMember + 1);
  RC_ASSERT(opened.has_value());
  const stored_state state = opened.value()->TakeRecovered();
  const bool is_former = state.member == kMember;
  RC_ASSERT(state.entries.size() == (is_former ? 1U : 0U));
  RC_ASSERT(state.starts == (is_former ? 2U : 1U));
  if (abandoned) {
    RC_ASSERT(!is_former);
  }
}

BOOST_AUTO_TEST_CASE(SnapshotsBoundTheSizeOfTheFolder) {
  fake_file_system files;
  auto store = log_store::Open(&files, kFolder, kMember).value();
  for (uint64_t index = 1; index <= 1000; ++index) {
    BOOST_REQUIRE(store->Save(std::nullopt, {{index, 1, "entry"}}).has_value());
    if (index % 100 == 0) {
      const stored_snapshot snapshot = {index, 1, "state"};
      BOOST_REQUIRE(store->SaveSnapshot(snapshot, {}).has_value());
      BOOST_TEST(files.Names().size() == 3);
      BOOST_TEST(store->LogBytes() < 256);
    }
  }
}

// A power loss may drop the last, unacknowledged commit index. The recovered
// one is never below the last acknowledged and never above the last attempted.
RC_BOOST_PROP(CommitIndexSurvivesPowerLoss, (uint32_t seed)) {
  fake_file_system files;
  uint64_t acknowledged = 0;
  uint64_t attempted = 0;
  {
    const auto store = MustOpen(&files);
    RC_ASSERT(
        store->Save(hard_state{3, 1}, {{1, 2, "a"}, {2, 3, "b"}}).has_value());
    files.LosePowerAfter(*rc::gen::inRange<uint64_t>(0, 8));
    for (uint64_t index = 1; index <= 2; ++index) {
      attempted = index;
      if (!store->SaveCommitted(index)) {
        break;
      }
      acknowledged = index;
    }
  }
  files.Restart(seed);
  const stored_state state = MustOpen(&files)->TakeRecovered();
  RC_ASSERT(state.committed >= acknowledged);
  RC_ASSERT(state.committed <= attempted);
  RC_ASSERT(state.entries.size() == 2U);
}

BOOST_AUTO_TEST_CASE(OpenFailsWhileTheFolderIsLocked) {
  fake_file_system files;
  const auto first = log_store::Open(&files, kFolder, kMember);
  const auto second = log_store::Open(&files, kFolder, kMember);
  BOOST_REQUIRE(!second.has_value());
  BOOST_TEST((second.error().kind == error_kind::kFolderLocked));
}

BOOST_AUTO_TEST_CASE(StateWithoutItsIdentityOrLogIsRefused) {
  for (const char* name : {"data/identity", "data/log-0000000000000001"}) {
    fake_file_system files;
    auto store = log_store::Open(&files, kFolder, kMember).value();
    BOOST_REQUIRE(store->Save(hard_state{3, 7}, {}).has_value());
    store.reset();
    BOOST_REQUIRE(files.Remove(name).has_value());
    const auto opened = log_store::Open(&files, kFolder, kMember);
    BOOST_REQUIRE(!opened.has_value());
    BOOST_TEST((opened.error().kind == error_kind::kDataCorrupt));
  }
}

BOOST_AUTO_TEST_CASE(AFolderOfAnotherFormatIsRefused) {
  fake_file_system files;
  log_store::Open(&files, kFolder, kMember).value().reset();
  std::string& text = files.Names()["data/identity"]->content;
  text = "cardamomroute data folder, format 2\nmember 0000000000001234\n";
  const uint64_t checksum = XXH3_64bits(text.data(), text.size());
  text += absl::StrFormat("checksum %016x\n", checksum);
  const auto opened = log_store::Open(&files, kFolder, kMember);
  BOOST_REQUIRE(!opened.has_value());
  BOOST_TEST((opened.error().kind == error_kind::kDataFormat));
}

}  // namespace
}  // namespace cardamomroute::control
