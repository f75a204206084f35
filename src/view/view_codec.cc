#include "view/view_codec.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "view/balancer_groups.h"

namespace cardamomroute {
namespace {

inner::call_record Encode(const call_kind& call) {
  inner::call_record record;
  record.set_name(call.name);
  record.set_method(call.method);
  record.set_path(call.path);
  record.set_urgency(static_cast<uint32_t>(call.urgency));
  record.set_idempotent(call.idempotent);
  record.set_timeout_ms(call.timeout_ms);
  return record;
}

inner::service_record Encode(const service& item) {
  inner::service_record record;
  record.set_id(item.id);
  record.set_name(item.name);
  record.set_address(ToString(item.address));
  record.set_protocol(static_cast<uint32_t>(item.protocol));
  for (const call_kind& call : item.calls) {
    *record.add_calls() = Encode(call);
  }
  record.mutable_depends_on()->Add(item.depends_on.begin(),
                                   item.depends_on.end());
  record.set_epoch(item.epoch);
  record.set_previous_epoch(item.previous_epoch);
  return record;
}

inner::target_record Encode(const target& item) {
  inner::target_record record;
  record.set_id(item.id);
  record.set_service(item.service);
  record.set_zone(item.zone);
  record.set_agent(ToString(item.agent));
  record.set_state(static_cast<uint32_t>(item.state));
  record.set_slots(item.slots);
  record.set_since_version(item.since_version);
  return record;
}

inner::balancer_record Encode(const balancer& item) {
  inner::balancer_record record;
  record.set_id(item.id);
  record.set_zone(item.zone);
  record.set_inner(ToString(item.inner));
  return record;
}

error Malformed(const char* place) {
  return error{error_kind::kMalformedMessage, place, ""};
}

result<service> Decode(const inner::service_record& record) {
  if (record.protocol() > static_cast<uint32_t>(service_protocol::kCoap)) {
    return Malformed("service.protocol");
  }
  service item;
  item.id = record.id();
  item.name = record.name();
  BOOST_OUTCOME_TRY(address, ParseEndpoint(record.address()));
  item.address = address;
  item.protocol = static_cast<service_protocol>(record.protocol());
  for (const inner::call_record& call_record : record.calls()) {
    BOOST_OUTCOME_TRY(call, DecodeCall(call_record));
    item.calls.push_back(std::move(call));
  }
  item.depends_on.assign(record.depends_on().begin(),
                         record.depends_on().end());
  item.epoch = record.epoch();
  item.previous_epoch = record.previous_epoch();
  return item;
}

result<target> Decode(const inner::target_record& record) {
  if (record.state() > static_cast<uint32_t>(target_state::kDraining)) {
    return Malformed("target.state");
  }
  target item;
  item.id = record.id();
  item.service = record.service();
  item.zone = record.zone();
  BOOST_OUTCOME_TRY(agent, ParseEndpoint(record.agent()));
  item.agent = agent;
  item.state = static_cast<target_state>(record.state());
  item.slots = record.slots();
  item.since_version = record.since_version();
  return item;
}

result<balancer> Decode(const inner::balancer_record& record) {
  balancer item;
  item.id = record.id();
  item.zone = record.zone();
  BOOST_OUTCOME_TRY(inner, ParseEndpoint(record.inner()));
  item.inner = inner;
  return item;
}

uint64_t IdOf(const service& item) { return item.id; }
uint64_t IdOf(const target& item) { return item.id; }
uint64_t IdOf(const balancer& item) { return item.id; }
uint64_t IdOf(uint64_t id) { return id; }

/// True when ids are not 0 and strictly rise.
template <typename Items>
bool IsStrictlyRising(const Items& items) {
  uint64_t last = 0;
  for (const auto& item : items) {
    if (IdOf(item) <= last) {
      return false;
    }
    last = IdOf(item);
  }
  return true;
}

template <typename Item, typename Records>
result<void> DecodeList(const Records& records, std::vector<Item>* items) {
  items->reserve(records.size());
  for (const auto& record : records) {
    auto item = Decode(record);
    if (!item) {
      return Malformed("delta");
    }
    items->push_back(std::move(item).value());
  }
  if (!IsStrictlyRising(*items)) {
    return Malformed("delta ids");
  }
  return boost::outcome_v2::success();
}

template <typename Id, typename Records>
result<void> DecodeRemoved(const Records& records, std::vector<Id>* ids) {
  ids->assign(records.begin(), records.end());
  if (!IsStrictlyRising(*ids)) {
    return Malformed("delta removed ids");
  }
  return boost::outcome_v2::success();
}

result<void> DecodeLostZones(const inner::view_delta& delta,
                             std::vector<lost_zone>* zones) {
  uint64_t last = delta.from_version();
  for (const inner::lost_zone_record& record : delta.lost_zones()) {
    const bool in_order = delta.from_version() != 0 &&
                          record.version() >= last &&
                          record.version() <= delta.to_version();
    if (!in_order) {
      return Malformed("delta lost zones");
    }
    last = record.version();
    zones->push_back({record.version(), record.zone(), record.below_id()});
  }
  return boost::outcome_v2::success();
}

/// Calls `changed` with each item of `to` that is new or different, and
/// `removed` with each id that only `from` has.
template <typename Item, typename Changed, typename Removed>
void Compare(const std::vector<Item>& from, const std::vector<Item>& to,
             Changed changed, Removed removed) {
  auto old_item = from.begin();
  for (const Item& item : to) {
    while (old_item != from.end() && old_item->id < item.id) {
      removed(old_item->id);
      ++old_item;
    }
    const bool known = old_item != from.end() && old_item->id == item.id;
    if (!known || *old_item != item) {
      changed(item);
    }
    if (known) {
      ++old_item;
    }
  }
  for (; old_item != from.end(); ++old_item) {
    removed(old_item->id);
  }
}

template <typename Item, typename Id>
void RemoveItems(const std::vector<Id>& removed, std::vector<Item>* items) {
  if (removed.empty()) {
    return;
  }
  const auto is_removed = [&](const Item& item) {
    return std::binary_search(removed.begin(), removed.end(), item.id);
  };
  items->erase(std::remove_if(items->begin(), items->end(), is_removed),
               items->end());
}

/// Replaces items in place; only new ones move what lies behind them.
template <typename Item>
void MergeItems(std::vector<Item> changes, std::vector<Item>* items) {
  const auto by_id = [](const Item& a, const Item& b) { return a.id < b.id; };
  const std::size_t old_size = items->size();
  for (Item& change : changes) {
    const auto end = items->begin() + static_cast<std::ptrdiff_t>(old_size);
    const auto place = std::lower_bound(items->begin(), end, change, by_id);
    if (place != end && place->id == change.id) {
      *place = std::move(change);
    } else {
      items->push_back(std::move(change));
    }
  }
  std::inplace_merge(items->begin(),
                     items->begin() + static_cast<std::ptrdiff_t>(old_size),
                     items->end(), by_id);
}

bool IsSameServingTarget(const target& a, const target& b) {
  return a.service == b.service && a.state == b.state;
}

}  // namespace

result<call_kind> DecodeCall(const inner::call_record& record) {
  if (record.urgency() > static_cast<uint32_t>(call_class::kOrdinary)) {
    return Malformed("call.urgency");
  }
  call_kind call;
  call.name = record.name();
  call.method = record.method();
  call.path = record.path();
  call.urgency = static_cast<call_class>(record.urgency());
  call.idempotent = record.idempotent();
  call.timeout_ms = record.timeout_ms();
  return call;
}

inner::view_delta MakeDelta(const view& from, const view& to) {
  inner::view_delta delta;
  delta.set_from_version(from.version);
  delta.set_to_version(to.version);
  Compare(
      from.services, to.services,
      [&](const service& item) { *delta.add_services() = Encode(item); },
      [&](service_id id) { delta.add_removed_services(id); });
  Compare(
      from.targets, to.targets,
      [&](const target& item) { *delta.add_targets() = Encode(item); },
      [&](target_id id) { delta.add_removed_targets(id); });
  Compare(
      from.balancers, to.balancers,
      [&](const balancer& item) { *delta.add_balancers() = Encode(item); },
      [&](uint64_t id) { delta.add_removed_balancers(id); });
  return delta;
}

result<view_change> DecodeDelta(const inner::view_delta& delta) {
  if (delta.to_version() < delta.from_version()) {
    return Malformed("delta versions");
  }
  view_change change;
  change.from_version = delta.from_version();
  change.to_version = delta.to_version();
  BOOST_OUTCOME_TRYV(DecodeList(delta.services(), &change.services));
  BOOST_OUTCOME_TRYV(DecodeList(delta.targets(), &change.targets));
  BOOST_OUTCOME_TRYV(DecodeList(delta.balancers(), &change.balancers));
  BOOST_OUTCOME_TRYV(AddGroupedBalancers(delta, &change.balancers));
  BOOST_OUTCOME_TRYV(
      DecodeRemoved(delta.removed_services(), &change.removed_services));
  BOOST_OUTCOME_TRYV(
      DecodeRemoved(delta.removed_targets(), &change.removed_targets));
  BOOST_OUTCOME_TRYV(
      DecodeRemoved(delta.removed_balancers(), &change.removed_balancers));
  BOOST_OUTCOME_TRYV(DecodeLostZones(delta, &change.lost_zones));
  return change;
}

result<void> ApplyChange(view* current, view_change change) {
  const bool whole = change.from_version == 0;
  if (change.to_version < current->version ||
      (!whole && change.from_version != current->version)) {
    return error{error_kind::kStaleView, "view delta", ""};
  }
  if (change.to_version == current->version && current->version != 0) {
    return boost::outcome_v2::success();
  }
  if (whole) {
    *current = view{};
  }
  ExpandLostZones(*current, &change);
  RemoveItems(change.removed_services, &current->services);
  RemoveItems(change.removed_targets, &current->targets);
  RemoveItems(change.removed_balancers, &current->balancers);
  MergeItems(std::move(change.services), &current->services);
  MergeItems(std::move(change.targets), &current->targets);
  MergeItems(std::move(change.balancers), &current->balancers);
  current->version = change.to_version;
  return boost::outcome_v2::success();
}

result<view> ApplyDelta(const view& base, const inner::view_delta& delta) {
  BOOST_OUTCOME_TRY(change, DecodeDelta(delta));
  view next = base;
  BOOST_OUTCOME_TRYV(ApplyChange(&next, std::move(change)));
  return next;
}

void StampChanges(const view& before, view* after) {
  absl::flat_hash_set<service_id> changed;
  auto old_target = before.targets.begin();
  const auto note_removed = [&](const target& item) {
    changed.insert(item.service);
  };
  for (target& item : after->targets) {
    while (old_target != before.targets.end() && old_target->id < item.id) {
      note_removed(*old_target++);
    }
    const bool known =
        old_target != before.targets.end() && old_target->id == item.id;
    if (known && IsSameServingTarget(*old_target, item)) {
      item.since_version = old_target->since_version;
    } else {
      item.since_version = after->version;
      changed.insert(item.service);
    }
    old_target += known ? 1 : 0;
  }
  std::for_each(old_target, before.targets.end(), note_removed);
  for (service& item : after->services) {
    const service* old_service = before.FindService(item.id);
    item.epoch = old_service != nullptr ? old_service->epoch : after->version;
    item.previous_epoch =
        old_service != nullptr ? old_service->previous_epoch : 0;
    if (old_service != nullptr && changed.contains(item.id)) {
      item.previous_epoch = item.epoch;
      item.epoch = after->version;
    }
  }
}

}  // namespace cardamomroute
