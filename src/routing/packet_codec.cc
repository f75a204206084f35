#include "routing/packet_codec.h"

#include <algorithm>
#include <limits>
#include <string>

namespace cardamomroute {
namespace {

constexpr std::size_t kIpLength = 16;

void EncodeIp(const endpoint& value, std::string* bytes) {
  bytes->assign(value.ip.begin(), value.ip.end());
}

error Malformed(const char* place) {
  return error{error_kind::kMalformedMessage, place, ""};
}

result<endpoint> DecodeAddress(const std::string& ip, uint32_t port) {
  endpoint value;
  if (port > std::numeric_limits<uint16_t>::max() ||
      (!ip.empty() && ip.size() != kIpLength)) {
    return Malformed("packet address");
  }
  std::copy(ip.begin(), ip.end(), value.ip.begin());
  value.port = static_cast<uint16_t>(port);
  return value;
}

bool IsKnownKind(int kind) {
  return kind != inner::PACKET_KIND_UNSPECIFIED &&
         inner::packet_kind_IsValid(kind);
}

}  // namespace

void EncodeHeader(const packet_header& header, inner::packet_header* message) {
  message->Clear();
  message->set_kind(static_cast<inner::packet_kind>(header.kind));
  EncodeIp(header.flow.caller, message->mutable_caller_ip());
  message->set_caller_port(header.flow.caller.port);
  message->set_service(header.flow.service);
  message->set_view_version(header.view_version);
  message->set_home(header.home);
  message->set_previous_home(header.previous_home);
  message->set_candidate(header.candidate);
  EncodeIp(header.balancer, message->mutable_balancer_ip());
  message->set_balancer_port(header.balancer.port);
  message->set_hops(header.hops);
  message->set_holder(header.holder);
  message->set_sender(header.sender);
  message->set_receiver(header.receiver);
  message->set_generation(header.generation);
  message->set_epoch(header.epoch);
  message->set_sequence(header.sequence);
  message->set_grant(header.grant);
  for (const flow_record& record : header.flows) {
    inner::flow_record* encoded = message->add_flows();
    EncodeIp(record.caller, encoded->mutable_caller_ip());
    encoded->set_caller_port(record.caller.port);
    encoded->set_generation(record.generation);
  }
  message->set_busy_slots(header.busy_slots);
  message->set_slots(header.slots);
  message->set_queued(header.queued);
  message->set_held_flows(header.held_flows);
  message->set_piece(header.piece);
  message->set_pieces(header.pieces);
  message->set_held_pieces(header.held_pieces);
  message->set_assembly(header.assembly);
}

result<packet_header> DecodeHeader(const inner::packet_header& message) {
  if (!IsKnownKind(message.kind())) {
    return Malformed("packet kind");
  }
  packet_header header;
  header.kind = static_cast<packet_kind>(message.kind());
  BOOST_OUTCOME_TRY(caller,
                    DecodeAddress(message.caller_ip(), message.caller_port()));
  header.flow.caller = caller;
  header.flow.service = message.service();
  header.view_version = message.view_version();
  header.home = message.home();
  header.previous_home = message.previous_home();
  header.candidate = message.candidate();
  BOOST_OUTCOME_TRY(
      balancer, DecodeAddress(message.balancer_ip(), message.balancer_port()));
  header.balancer = balancer;
  header.hops = message.hops();
  header.holder = message.holder();
  header.sender = message.sender();
  header.receiver = message.receiver();
  header.generation = message.generation();
  header.epoch = message.epoch();
  header.sequence = message.sequence();
  header.grant = message.grant();
  header.flows.reserve(static_cast<std::size_t>(message.flows_size()));
  for (const inner::flow_record& record : message.flows()) {
    BOOST_OUTCOME_TRY(flow_caller,
                      DecodeAddress(record.caller_ip(), record.caller_port()));
    header.flows.push_back({flow_caller, record.generation()});
  }
  header.busy_slots = message.busy_slots();
  header.slots = message.slots();
  header.queued = message.queued();
  header.held_flows = message.held_flows();
  header.piece = message.piece();
  header.pieces = message.pieces();
  header.held_pieces = message.held_pieces();
  header.assembly = message.assembly();
  return header;
}

}  // namespace cardamomroute
