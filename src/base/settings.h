#ifndef CARDAMOMROUTE_BASE_SETTINGS_H_
#define CARDAMOMROUTE_BASE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint.h"

namespace cardamomroute {

/// What a process does.
enum class process_role : uint8_t { kControl, kBalancer, kAgent };

/// How the fabric hands the datagrams of callers to a balancer.
enum class edge_mode : uint8_t {
  /// The service addresses are the balancer's own; one socket a port.
  kDirect,
  /// Each datagram carries a PROXY protocol version 2 header with the
  /// caller's and the service's address, in both directions.
  kProxied,
};

/// Where and how much to log.
struct log_settings {
  /// A log4cplus level name: TRACE, DEBUG, INFO, WARN, ERROR.
  std::string level = "INFO";
  /// Lines are JSON objects instead of key=value.
  bool json = false;
  /// Standard error when empty, or standard output.
  std::string file;
  bool standard_output = false;
  /// Size at which the file is rotated.
  uint64_t rotate_bytes = 64 << 20;
  uint32_t kept_files = 4;
};

/// Another control VM.
struct control_peer {
  std::string name;
  endpoint address;
};

/// Settings of a control process.
struct control_settings {
  /// Where nodes, operators and other control VMs reach it (TCP).
  endpoint listen;
  /// Everything that must survive lies here.
  std::string data_folder;
  /// The control VMs that form the first membership, this one included when
  /// it is a voter from the start. Only read when the data folder is empty.
  std::vector<control_peer> peers;
  /// Joins as a standby.
  bool standby = false;
  /// Nodes that the leader serves itself; the others pull through them. Equal
  /// on all control VMs.
  uint32_t max_direct_nodes = 256;
  /// Voters that are kept available, odd; 0: as many as there are peers.
  uint32_t voters = 0;
  /// Whether the VM may come back on a former state of its disk.
  bool guards_old_copies = true;
};

/// Settings of a balancer process.
struct balancer_settings {
  std::vector<endpoint> control;
  /// Where agents send answers (UDP) and nodes pull views (TCP).
  endpoint inner;
  edge_mode edge = edge_mode::kProxied;
  /// Where the fabric delivers datagrams; unused in direct mode.
  endpoint edge_listen;
  /// Where answers to callers go in proxied mode; unused in direct mode.
  endpoint edge_return;
  uint32_t traffic_threads = 1;
};

/// Settings of an agent process.
struct agent_settings {
  std::vector<endpoint> control;
  /// Where balancers and other agents send packets (UDP).
  endpoint inner;
  /// Name of the service in the operators' text.
  std::string service;
  /// The upstream beside it (UDP).
  endpoint upstream;
  /// Requests that the upstream can run at the same time.
  uint32_t slots = 1;
  /// Where the upstream reports its load (CoAP GET); empty: it is not asked.
  std::string report_path;
  /// Number of the CoAP option that tells the upstream a request's deadline;
  /// 0: it is not told.
  uint16_t deadline_option = 0;
};

/// The settings of one process. Only the part of its role is filled.
struct settings {
  process_role role = process_role::kControl;
  std::string name;
  std::string zone;
  log_settings log;
  control_settings control;
  balancer_settings balancer;
  agent_settings agent;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_SETTINGS_H_
