#ifndef CARDAMOMROUTE_ROUTING_PACKET_BUFFER_H_
#define CARDAMOMROUTE_ROUTING_PACKET_BUFFER_H_

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "routing/packet_header.h"

namespace cardamomroute {

/// A datagram: header and payload.
struct packet {
  packet_header header;
  std::string payload;
};

/// Packets of one flow that wait for a decision, in the order of arrival.
class packet_buffer {
 public:
  static constexpr std::size_t kMaxPackets = 4;

  /// False, and `item` is left alone, when the buffer is full.
  bool Push(packet* item) {
    if (packets_.size() >= kMaxPackets) {
      return false;
    }
    packets_.push_back(std::move(*item));
    return true;
  }
  std::vector<packet> TakeAll() { return std::exchange(packets_, {}); }
  bool empty() const { return packets_.empty(); }

 private:
  std::vector<packet> packets_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_PACKET_BUFFER_H_
