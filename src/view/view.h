#ifndef CARDAMOMROUTE_VIEW_VIEW_H_
#define CARDAMOMROUTE_VIEW_VIEW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint.h"

namespace cardamomroute {

/// Identifies a service for as long as its name stays in the text; never
/// given to another service. 0 is no service.
using service_id = uint32_t;

/// Identifies one incarnation of a target: an agent that restarts announces
/// itself anew and gets another id. Never reused. 0 is no target.
using target_id = uint64_t;

/// Identifies a control VM's disk. Never reused. 0 is no member.
using member_id = uint64_t;

/// How far a target is in its life.
enum class target_state : uint8_t {
  /// Takes flows.
  kServing,
  /// Takes no new work; still finishes and hands over what it holds.
  kDraining,
};

/// One upstream with the agent beside it.
struct target {
  target_id id = 0;
  service_id service = 0;
  std::string zone;
  /// Where its agent takes packets from balancers and other agents.
  endpoint agent;
  target_state state = target_state::kServing;
  /// Requests that the upstream can run at the same time.
  uint32_t slots = 1;
  /// View version at which it took its present state; 0 when unknown. Set by
  /// StampChanges.
  uint64_t since_version = 0;

  friend bool operator==(const target& a, const target& b) {
    return a.id == b.id && a.service == b.service && a.zone == b.zone &&
           a.agent == b.agent && a.state == b.state && a.slots == b.slots &&
           a.since_version == b.since_version;
  }
  friend bool operator!=(const target& a, const target& b) { return !(a == b); }
};

/// How the packets of a service are carried.
enum class service_protocol : uint8_t {
  /// Opaque datagrams, whole flows.
  kDatagram,
  /// Requests after RFC 7252.
  kCoap,
};

/// How urgent a kind of call is; in the order in which work is taken up.
enum class call_class : uint8_t {
  kCritical,
  kUrgent,
  kOrdinary,
};

/// One kind of call of a service.
struct call_kind {
  std::string name;
  /// CoAP method name: GET, POST, PUT, DELETE, FETCH, PATCH or iPATCH.
  std::string method;
  /// Uri-Path with a leading slash; every path below it is meant too.
  std::string path;
  call_class urgency = call_class::kOrdinary;
  bool idempotent = false;
  /// From arrival to the last moment at which an answer is of use.
  uint32_t timeout_ms = 0;

  friend bool operator==(const call_kind& a, const call_kind& b) {
    return a.name == b.name && a.method == b.method && a.path == b.path &&
           a.urgency == b.urgency && a.idempotent == b.idempotent &&
           a.timeout_ms == b.timeout_ms;
  }
  friend bool operator!=(const call_kind& a, const call_kind& b) {
    return !(a == b);
  }
};

/// One service as in force.
struct service {
  service_id id = 0;
  std::string name;
  /// Where callers reach it; one service an address.
  endpoint address;
  service_protocol protocol = service_protocol::kDatagram;
  std::vector<call_kind> calls;
  std::vector<service_id> depends_on;
  /// View version at which a target of it last came, changed its state or
  /// went; 0 when unknown. Set by StampChanges.
  uint64_t epoch = 0;
  /// The epoch before that one; 0 when unknown.
  uint64_t previous_epoch = 0;

  friend bool operator==(const service& a, const service& b) {
    return a.id == b.id && a.name == b.name && a.address == b.address &&
           a.protocol == b.protocol && a.calls == b.calls &&
           a.depends_on == b.depends_on && a.epoch == b.epoch &&
           a.previous_epoch == b.previous_epoch;
  }
  friend bool operator!=(const service& a, const service& b) {
    return !(a == b);
  }
};

/// A balancer that is in the rotation or leaving it.
struct balancer {
  uint64_t id = 0;
  std::string zone;
  endpoint inner;

  friend bool operator==(const balancer& a, const balancer& b) {
    return a.id == b.id && a.zone == b.zone && a.inner == b.inner;
  }
  friend bool operator!=(const balancer& a, const balancer& b) {
    return !(a == b);
  }
};

/// Everything that routing depends on, as of one version. Versions are
/// indexes of the replicated log: they only rise, and equal versions mean
/// equal views.
struct view {
  uint64_t version = 0;
  /// Sorted by id.
  std::vector<service> services;
  /// Sorted by id.
  std::vector<target> targets;
  /// Sorted by id.
  std::vector<balancer> balancers;

  /// The service with this id, or null.
  const service* FindService(service_id id) const;
  /// The service at this address, or null.
  const service* FindServiceAt(const endpoint& address) const;
  /// The target with this id, or null.
  const target* FindTarget(target_id id) const;

  friend bool operator==(const view& a, const view& b) {
    return a.version == b.version && a.services == b.services &&
           a.targets == b.targets && a.balancers == b.balancers;
  }
  friend bool operator!=(const view& a, const view& b) { return !(a == b); }
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_VIEW_VIEW_H_
