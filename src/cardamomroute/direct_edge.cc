#include "cardamomroute/direct_edge.h"

#include <utility>

#include "base/log.h"
#include "cardamomroute/event_loop.h"
#include "view/view_change.h"

namespace cardamomroute {
namespace {

constexpr size_t kBatch = 64;

}  // namespace

direct_edge::direct_edge(bool shared_ports, event_loop* loop,
                         receiver on_datagram)
    : shared_ports_(shared_ports),
      loop_(loop),
      on_datagram_(std::move(on_datagram)),
      received_(kBatch) {}

direct_edge::~direct_edge() { CloseAll(); }

result<void> direct_edge::Open() { return boost::outcome_v2::success(); }

void direct_edge::OnChange(const view_change& change) {
  if (change.from_version == 0) {
    CloseAll();
  }
  for (const service_id id : change.removed_services) {
    CloseService(id);
  }
  for (const service& item : change.services) {
    const auto known = services_.find(item.id);
    if (known != services_.end() && known->second.address == item.address) {
      continue;
    }
    CloseService(item.id);
    OpenService(item.id, item.address);
  }
}

void direct_edge::OpenService(service_id id, const endpoint& address) {
  auto opened = udp_socket::Bind(address, shared_ports_);
  if (opened.has_error()) {
    log_line(log_level::kError, "service-address")
        .With("service", id)
        .With("error", Describe(opened.error()));
    return;
  }
  service_socket& added = services_[id];
  added = {address, std::move(opened).value()};
  by_address_[address] = &added.socket;
  loop_->Watch(added.socket.fd(), [this, id] { Receive(id); });
}

void direct_edge::CloseService(service_id id) {
  const auto known = services_.find(id);
  if (known == services_.end()) {
    return;
  }
  loop_->Unwatch(known->second.socket.fd());
  by_address_.erase(known->second.address);
  services_.erase(known);
}

void direct_edge::CloseAll() {
  for (const auto& [id, known] : services_) {
    loop_->Unwatch(known.socket.fd());
  }
  by_address_.clear();
  services_.clear();
}

void direct_edge::Receive(service_id id) {
  service_socket& service = services_.at(id);
  service.socket.Receive(&received_);
  for (size_t i = 0; i < received_.size(); ++i) {
    on_datagram_(service.address, received_.Remote(i), received_.Bytes(i));
  }
}

void direct_edge::Send(const endpoint& service, const endpoint& caller,
                       absl::Span<const uint8_t> payload) {
  const auto known = by_address_.find(service);
  if (known != by_address_.end()) {
    known->second->SendTo(caller, payload);
  }
}

void direct_edge::Flush() {}

}  // namespace cardamomroute
