#include "cardamomroute/datagram_batch.h"

#include "cardamomroute/socket_address.h"
#include "inner/packet_codec.h"

namespace cardamomroute {

datagram_batch::datagram_batch(size_t capacity)
    : buffers_(capacity),
      lengths_(capacity),
      addresses_(capacity),
      vectors_(capacity),
      messages_(capacity) {
  for (size_t i = 0; i < capacity; ++i) {
    messages_[i] = {};
    messages_[i].msg_hdr.msg_iov = &vectors_[i];
    messages_[i].msg_hdr.msg_iovlen = 1;
  }
}

absl::Span<const uint8_t> datagram_batch::Bytes(size_t index) const {
  return {buffers_[index].data(), lengths_[index]};
}

endpoint datagram_batch::Remote(size_t index) const {
  return FromSocketAddress(addresses_[index]);
}

std::vector<uint8_t>* datagram_batch::Add(const endpoint& remote) {
  addresses_[used_] = ToSocketAddress(remote);
  return &buffers_[used_++];
}

void datagram_batch::PrepareReceive() {
  used_ = 0;
  for (size_t i = 0; i < messages_.size(); ++i) {
    buffers_[i].resize(inner::kLargestDatagram);
    vectors_[i] = {buffers_[i].data(), buffers_[i].size()};
    messages_[i].msg_hdr.msg_name = &addresses_[i];
    messages_[i].msg_hdr.msg_namelen = sizeof(addresses_[i]);
  }
}

void datagram_batch::FinishReceive(size_t received) {
  used_ = received;
  for (size_t i = 0; i < received; ++i) {
    lengths_[i] = messages_[i].msg_len;
  }
}

void datagram_batch::PrepareSend() {
  for (size_t i = 0; i < used_; ++i) {
    vectors_[i] = {buffers_[i].data(), buffers_[i].size()};
    messages_[i].msg_hdr.msg_name = &addresses_[i];
    messages_[i].msg_hdr.msg_namelen = sizeof(addresses_[i]);
  }
}

}  // namespace cardamomroute
