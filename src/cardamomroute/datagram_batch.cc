#include "cardamomroute/datagram_batch.h"

#include "cardamomroute/socket_address.h"
#include "inner/packet_codec.h"

namespace cardamomroute {

datagram_batch::datagram_batch(size_t capacity, size_t datagram_bytes)
    : datagram_bytes_(datagram_bytes),
      buffers_(capacity),
      lengths_(capacity),
      addresses_(capacity),
      ipv4_addresses_(capacity),
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

void datagram_batch::PointAt(sa_family_t family, size_t index) {
  vectors_[index] = {buffers_[index].data(), buffers_[index].size()};
  msghdr& header = messages_[index].msg_hdr;
  if (family == AF_INET) {
    header.msg_name = &ipv4_addresses_[index];
    header.msg_namelen = sizeof(ipv4_addresses_[index]);
  } else {
    header.msg_name = &addresses_[index];
    header.msg_namelen = sizeof(addresses_[index]);
  }
}

void datagram_batch::PrepareReceive(sa_family_t family) {
  used_ = 0;
  for (size_t i = 0; i < messages_.size(); ++i) {
    buffers_[i].resize(datagram_bytes_);
    PointAt(family, i);
  }
}

void datagram_batch::FinishReceive(sa_family_t family, size_t received) {
  used_ = received;
  for (size_t i = 0; i < received; ++i) {
    lengths_[i] = messages_[i].msg_len;
    if (family == AF_INET) {
      addresses_[i] = ToSocketAddress(FromSocketAddress(ipv4_addresses_[i]));
    }
  }
}

void datagram_batch::PrepareSend(sa_family_t family) {
  for (size_t i = 0; i < used_; ++i) {
    if (family == AF_INET) {
      ipv4_addresses_[i] =
          ToIpv4SocketAddress(FromSocketAddress(addresses_[i]));
    }
    PointAt(family, i);
  }
}

}  // namespace cardamomroute
