#include "directory/node_directory.h"

#include <algorithm>
#include <limits>

#include "base/log.h"

namespace cardamomroute {
namespace {

bool IsSame(const inner::announcement& a, const inner::announcement& b) {
  return a.incarnation() == b.incarnation() && a.state() == b.state() &&
         a.slots() == b.slots() && a.service() == b.service() &&
         a.zone() == b.zone() && a.leaving() == b.leaving();
}

/// Puts records into a page, which has each name once.
class page_writer {
 public:
  /// `room` is for records and names, in bytes.
  page_writer(inner::directory_page* page, size_t room)
      : page_(page), room_(room) {}

  /// False where the page has no room for the record; the first one always
  /// has.
  bool Add(const inner::upstream_record& record) {
    const int names_before = page_->names_size();
    inner::upstream_record* added = page_->add_upstreams();
    *added = record;
    inner::announcement* announced = added->mutable_announced();
    added->set_service(PlaceOf(announced->service()));
    added->set_zone(PlaceOf(announced->zone()));
    announced->clear_node();
    announced->clear_service();
    announced->clear_zone();
    bytes_ += added->ByteSizeLong() + kFieldHead;
    if (bytes_ <= room_ || page_->upstreams_size() == 1) {
      return true;
    }
    page_->mutable_upstreams()->RemoveLast();
    while (page_->names_size() > names_before) {
      page_->mutable_names()->RemoveLast();
    }
    return false;
  }

 private:
  // Tag and length of a repeated field.
  static constexpr size_t kFieldHead = 2;

  uint32_t PlaceOf(const std::string& name) {
    const auto found =
        std::find(page_->names().begin(), page_->names().end(), name);
    const auto place = static_cast<uint32_t>(found - page_->names().begin());
    if (found == page_->names().end()) {
      page_->add_names(name);
      bytes_ += name.size() + kFieldHead;
    }
    return place;
  }

  inner::directory_page* const page_;
  const size_t room_;
  size_t bytes_ = 0;
};

// An earlier process at the address, or a message that was overtaken.
bool IsLate(const inner::announcement& announced,
            const inner::announcement& known) {
  return announced.incarnation() < known.incarnation() ||
         (announced.incarnation() == known.incarnation() &&
          announced.sequence() <= known.sequence());
}

}  // namespace

void node_directory::OnMembers(const std::vector<ipv4_address>& members) {
  members_.Clear();
  for (const ipv4_address& member : members) {
    inner::control_address* named = members_.Add();
    named->set_ip(member.ip);
    named->set_port(member.port);
  }
}

inner::announcement_answer node_directory::OnAnnouncement(
    const inner::announcement& announced, absl::Time now) {
  inner::announcement_answer answer;
  answer.set_incarnation(announced.incarnation());
  answer.set_sequence(announced.sequence());
  *answer.mutable_members() = members_;
  record& known =
      records_[{announced.ip(), static_cast<uint16_t>(announced.port())}];
  const bool is_new = known.version == 0;
  // The clock that incarnations come from may have gone back: a process that
  // is heard takes over from one that is silent.
  if (!is_new && !known.upstream.silent() &&
      IsLate(announced, known.upstream.announced())) {
    return answer;
  }
  known.heard_at = now;
  if (is_new || known.upstream.silent() ||
      !IsSame(announced, known.upstream.announced())) {
    known.version = ++version_;
    log_line(log_level::kInfo, "upstream_announced")
        .With("node", announced.node())
        .With("service", announced.service())
        .With("incarnation", announced.incarnation())
        .With("sequence", announced.sequence())
        .With("state", announced.state())
        .With("directory_version", version_);
  }
  *known.upstream.mutable_announced() = announced;
  known.upstream.set_silent(false);
  known.upstream.set_gone(announced.leaving());
  return answer;
}

// They are silent until they announce themselves, so that nobody takes a flow
// for lost that one of them may hold.
void node_directory::OnFormer(const inner::directory_copy& former,
                              absl::Time now) {
  knows_former_ = true;
  if (now >= began_at_ + kFormerAgentLife) {
    return;
  }
  for (const inner::announcement& announced : former.agents()) {
    record& known =
        records_[{announced.ip(), static_cast<uint16_t>(announced.port())}];
    if (known.version != 0) {
      continue;
    }
    known.version = ++version_;
    known.heard_at = began_at_ + kFormerAgentLife - kSilentLife;
    *known.upstream.mutable_announced() = announced;
    known.upstream.set_silent(true);
  }
  log_line(log_level::kInfo, "former_agents")
      .With("read", former.agents_size())
      .With("directory_version", version_);
}

inner::directory_copy node_directory::Copy() const {
  inner::directory_copy copy;
  for (const auto& [address, known] : records_) {
    if (!known.upstream.gone()) {
      *copy.add_agents() = known.upstream.announced();
    }
  }
  return copy;
}

absl::Duration node_directory::Age(absl::Time now) const {
  const absl::Duration age = now - began_at_;
  return knows_former_ || age >= kFormerAgentLife ? age : absl::ZeroDuration();
}

void node_directory::NoteSilent(absl::Time now) {
  for (auto entry = records_.begin(); entry != records_.end();) {
    record& known = entry->second;
    if (!known.upstream.silent() &&
        now >= known.heard_at + kAnnouncementLease) {
      known.upstream.set_silent(true);
      known.version = ++version_;
      log_line(log_level::kInfo, "upstream_silent")
          .With("node", known.upstream.announced().node())
          .With("service", known.upstream.announced().service())
          .With("directory_version", version_);
    }
    if (!known.upstream.gone() && now >= known.heard_at + kSilentLife) {
      known.upstream.set_gone(true);
      known.version = ++version_;
    }
    if (now >= known.heard_at + 2 * kSilentLife) {
      forgotten_version_ = std::max(forgotten_version_, known.version);
      entry = records_.erase(entry);
    } else {
      ++entry;
    }
  }
}

// Oldest changes first, so that a balancer that got a part goes on from there.
void node_directory::AddUpstreams(uint64_t have, size_t room,
                                  inner::directory_page* page) const {
  std::vector<const record*> newer;
  for (const auto& [address, known] : records_) {
    if (known.version > have) {
      newer.push_back(&known);
    }
  }
  std::sort(newer.begin(), newer.end(), [](const record* a, const record* b) {
    return a->version < b->version;
  });
  page_writer writer(page, room);
  for (const record* known : newer) {
    if (!writer.Add(known->upstream)) {
      page->set_more(true);
      return;
    }
    page->set_directory_version(known->version);
  }
  page->set_directory_version(version_);
}

// The version in force stays in any case.
void node_directory::KeepRoutes(const inner::configuration_record& in_force,
                                absl::Time now) {
  const bool is_new =
      routes_.empty() || in_force.version() > routes_.rbegin()->first;
  if (is_new && in_force.version() != 0) {
    if (!routes_.empty()) {
      routes_.rbegin()->second.expires_at = now + kReplacedRoutesLife;
    }
    routes_[in_force.version()] = {in_force.routes(), absl::InfiniteFuture()};
  }
  DropReplacedRoutes(now);
}

void node_directory::DropReplacedRoutes(absl::Time now) {
  size_t bytes = 0;
  for (auto kept = routes_.begin(); kept != routes_.end();) {
    if (now >= kept->second.expires_at) {
      kept = routes_.erase(kept);
      continue;
    }
    bytes += kept->second.routes.size();
    ++kept;
  }
  while (routes_.size() > 1 && bytes > kMaxReplacedRoutesBytes) {
    bytes -= routes_.begin()->second.routes.size();
    routes_.erase(routes_.begin());
  }
}

void node_directory::AddRoutes(const inner::directory_poll& poll,
                               const inner::configuration_record& in_force,
                               absl::Time now, inner::directory_page* page) {
  uint64_t version = in_force.version();
  const std::string* routes = &in_force.routes();
  const auto partial = routes_.find(poll.partial_version());
  if (poll.partial_bytes() != 0 && partial != routes_.end() &&
      poll.configuration_version() < partial->first &&
      partial->first < version) {
    page->set_newest_configuration_version(version);
    version = partial->first;
    routes = &partial->second.routes;
    partial->second.expires_at = now + kReplacedRoutesLife;
  }
  page->set_configuration_version(version);
  const size_t offset =
      poll.partial_version() == version
          ? std::min<size_t>(poll.partial_bytes(), routes->size())
          : 0;
  page->set_routes_offset(static_cast<uint32_t>(offset));
  page->set_routes_total(static_cast<uint32_t>(routes->size()));
  page->set_routes(routes->substr(offset, kPageRoutesBytes));
}

inner::directory_page node_directory::OnPoll(
    const inner::directory_poll& poll,
    const inner::configuration_record& in_force, absl::Time now) {
  NoteSilent(now);
  inner::directory_page page;
  page.set_poll(poll.poll());
  page.set_member_run(run_);
  page.set_member_age_ms(static_cast<uint32_t>(
      std::min<int64_t>(absl::ToInt64Milliseconds(Age(now)),
                        std::numeric_limits<uint32_t>::max())));
  *page.mutable_members() = members_;
  page.set_from_start(poll.member_run() != run_ ||
                      poll.directory_version() < forgotten_version_);
  const bool lacks_routes = poll.configuration_version() < in_force.version();
  AddUpstreams(page.from_start() ? 0 : poll.directory_version(),
               kPageUpstreamBytes + (lacks_routes ? 0 : kPageRoutesBytes),
               &page);
  page.set_configuration_version(in_force.version());
  KeepRoutes(in_force, now);
  if (lacks_routes) {
    AddRoutes(poll, in_force, now, &page);
  }
  return page;
}

}  // namespace cardamomroute
