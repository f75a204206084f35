#include "directory/directory_follower.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/metric_recorder.h"

namespace cardamomroute {
namespace {

std::string NameAt(const inner::directory_page& page, uint32_t place) {
  return place < static_cast<uint32_t>(page.names_size())
             ? page.names(static_cast<int>(place))
             : std::string();
}

}  // namespace

directory_follower::directory_follower(std::vector<ipv4_address> seeds,
                                       uint64_t seed, metric_recorder* recorder)
    : recorder_(recorder), contacts_(std::move(seeds)), next_poll_(seed | 1) {}

void directory_follower::Refresh(absl::Time wanted_as_of) {
  if (wanted_as_of <= wanted_as_of_) {
    return;
  }
  wanted_as_of_ = wanted_as_of;
  for (const auto& [address, asked] : members_) {
    next_ = std::min(next_, DueAt(asked));
  }
}

absl::Time directory_follower::DueAt(const member& asked) const {
  const bool is_under_way = asked.first_poll != 0;
  if (!asked.answers || is_under_way ||
      asked.answer_asked_at >= wanted_as_of_) {
    return asked.due;
  }
  return std::min(asked.due, asked.answer_asked_at + kRefreshInterval);
}

std::vector<due_poll> directory_follower::Due(absl::Time now) {
  std::vector<due_poll> due;
  if (now < next_) {
    return due;
  }
  // Members that are not contacted any more have no say.
  if (KeepContacts(contacts_.All(now), &members_)) {
    list_changed_ = true;
  }
  const absl::Duration timeout =
      IsComplete() ? kPollTimeout : kFirstPollTimeout;
  next_ = now + timeout;
  for (auto& [address, asked] : members_) {
    if (asked.answers && now >= asked.heard_at + kMemberSay) {
      asked.answers = false;
      list_changed_ = true;
      log_line(log_level::kWarn, "control_member_lost")
          .With("member", ToString(ToEndpoint(address)))
          .With("silent_ms", absl::ToInt64Milliseconds(now - asked.heard_at))
          .With("late_answers", asked.late_answers);
    }
    if (const absl::Time due_at = DueAt(asked); now < due_at) {
      next_ = std::min(next_, due_at);
      continue;
    }
    asked.poll = next_poll_ += 2;
    if (asked.first_poll == 0) {
      asked.first_poll = asked.poll;
      asked.asked_at = now;
    }
    asked.due = now + timeout;
    due_poll& sent = due.emplace_back();
    sent.to = address;
    sent.poll.set_poll(asked.poll);
    sent.poll.set_member_run(asked.run);
    sent.poll.set_directory_version(asked.version);
    sent.poll.set_configuration_version(routes_.version);
    sent.poll.set_partial_version(partial_version_);
    sent.poll.set_partial_bytes(static_cast<uint32_t>(partial_.size()));
  }
  return due;
}

void directory_follower::OnPage(const ipv4_address& from,
                                const inner::directory_page& page,
                                absl::Time now) {
  const auto found = members_.find(from);
  if (found == members_.end()) {
    return;
  }
  member& teller = found->second;
  // Polls that were repeated meanwhile asked for the same, so that a late
  // answer is as good.
  if (teller.first_poll == 0 || page.poll() < teller.first_poll ||
      page.poll() > teller.poll) {
    return;
  }
  if (page.poll() != teller.poll) {
    ++teller.late_answers;
    recorder_->Add(metric::kControlAnswersLate);
  }
  recorder_->Record(metric::kControlAnswerTime, now - teller.asked_at);
  teller.first_poll = 0;
  teller.poll = 0;
  teller.heard_at = now;
  teller.answer_asked_at = teller.asked_at;
  if (!teller.answers) {
    teller.answers = true;
    list_changed_ = true;
    log_line(log_level::kInfo, "control_member_answers")
        .With("member", ToString(ToEndpoint(from)))
        .With("configuration", page.configuration_version());
  }
  contacts_.OnNamed(page.members(), now);
  TakeUpstreams(page, &teller);
  const bool more = TakeRoutes(page, now) || page.more();
  const absl::Duration pause =
      IsComplete() && SettledAsOf() > absl::InfinitePast() ? kPollInterval
                                                           : kFirstPollTimeout;
  teller.due = more ? now : now + pause;
  next_ = std::min(next_, DueAt(teller));
}

void directory_follower::TakeUpstreams(const inner::directory_page& page,
                                       member* teller) {
  if (page.from_start()) {
    teller->upstreams.clear();
    list_changed_ = true;
  }
  teller->run = page.member_run();
  teller->version = page.directory_version();
  for (const inner::upstream_record& record : page.upstreams()) {
    const inner::announcement& announced = record.announced();
    const ipv4_address agent{announced.ip(),
                             static_cast<uint16_t>(announced.port())};
    if (record.gone()) {
      teller->upstreams.erase(agent);
    } else {
      inner::upstream_record& known = teller->upstreams[agent];
      known = record;
      known.mutable_announced()->set_service(NameAt(page, record.service()));
      known.mutable_announced()->set_zone(NameAt(page, record.zone()));
    }
    list_changed_ = true;
  }
  teller->listed = !page.more();
  teller->age = absl::Milliseconds(page.member_age_ms());
  has_list_ = has_list_ || (teller->listed && teller->age >= kListAge);
}

// True where more of them is to be asked for at once. A version of which a part
// is here is finished before a newer one is begun, so that each transfer ends
// however fast changes come.
bool directory_follower::TakeRoutes(const inner::directory_page& page,
                                    absl::Time now) {
  if (page.configuration_version() <= routes_.version) {
    return false;
  }
  if (page.configuration_version() > partial_version_ &&
      page.routes_offset() == 0 && !IsPartInProgress(now)) {
    partial_version_ = page.configuration_version();
    partial_.clear();
  }
  if (page.configuration_version() != partial_version_ ||
      page.routes_offset() != partial_.size()) {
    return page.configuration_version() >= partial_version_;
  }
  partial_ += page.routes();
  partial_expires_at_ = now + kPartialRoutesTimeout;
  if (partial_.size() < page.routes_total()) {
    return true;
  }
  inner::route_list list;
  if (!list.ParseFromString(partial_)) {
    log_line(log_level::kError, "routes_unreadable")
        .With("version", partial_version_);
    partial_version_ = routes_.version;
    partial_.clear();
    return false;
  }
  routes_ = {partial_version_, std::move(list)};
  routes_changed_ = true;
  partial_.clear();
  return page.newest_configuration_version() > routes_.version;
}

absl::Time directory_follower::SettledAsOf() const {
  size_t tellers = 0;
  bool is_settled = false;
  absl::Time oldest = absl::InfiniteFuture();
  for (const auto& [address, teller] : members_) {
    if (!teller.answers || !teller.listed || teller.age < kSettledAgeOfTwo) {
      continue;
    }
    ++tellers;
    is_settled = is_settled || tellers >= 2 || teller.age >= kSettledAge;
    oldest = std::min(oldest, teller.answer_asked_at);
  }
  return is_settled ? oldest : absl::InfinitePast();
}

const followed_routes* directory_follower::TakeNewRoutes() {
  return std::exchange(routes_changed_, false) ? &routes_ : nullptr;
}

std::optional<std::vector<known_upstream>>
directory_follower::TakeNewUpstreams() {
  if (!std::exchange(list_changed_, false)) {
    return std::nullopt;
  }
  std::vector<known_upstream> merged = Merge();
  if (merged == upstreams_) {
    return std::nullopt;
  }
  upstreams_ = merged;
  return merged;
}

// The latest announcement that any member has; silent where no member that
// answers has heard it lately.
std::vector<known_upstream> directory_follower::Merge() const {
  struct best {
    const inner::announcement* announced = nullptr;
    bool heard = false;
  };
  const bool any_answers =
      std::any_of(members_.begin(), members_.end(),
                  [](const auto& entry) { return entry.second.answers; });
  absl::btree_map<ipv4_address, best> latest;
  for (const auto& [address, teller] : members_) {
    if (any_answers && !teller.answers) {
      continue;
    }
    for (const auto& [agent, record] : teller.upstreams) {
      best& known = latest[agent];
      const inner::announcement& told = record.announced();
      const bool is_later =
          known.announced == nullptr || (!known.heard && !record.silent()) ||
          (known.heard == !record.silent() &&
           std::make_pair(told.incarnation(), told.sequence()) >
               std::make_pair(known.announced->incarnation(),
                              known.announced->sequence()));
      if (is_later) {
        known.announced = &told;
      }
      known.heard = known.heard || !record.silent();
    }
  }
  std::vector<known_upstream> merged;
  merged.reserve(latest.size());
  for (const auto& [agent, known] : latest) {
    known_upstream& item = merged.emplace_back();
    item.agent = agent;
    item.service = known.announced->service();
    item.zone = known.announced->zone();
    item.state = known.announced->state() <=
                         static_cast<uint32_t>(upstream_state::kEnded)
                     ? static_cast<upstream_state>(known.announced->state())
                     : upstream_state::kAbsent;
    item.slots = std::max<uint32_t>(known.announced->slots(), 1);
    item.silent = !known.heard;
  }
  return merged;
}

}  // namespace cardamomroute
