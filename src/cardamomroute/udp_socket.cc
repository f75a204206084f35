#include "cardamomroute/udp_socket.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <string>
#include <utility>

#include "cardamomroute/datagram_batch.h"
#include "cardamomroute/socket_address.h"

namespace cardamomroute {
namespace {

// Room in the kernel for bursts, bytes.
constexpr int kSocketBufferBytes = 4 << 20;

int OpenSocket(sa_family_t family) {
  const int fd = socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return fd;
  }
  if (family == AF_INET6) {
    const int off = 0;
    setsockopt(fd, IPPROTO_IPV6, IPV6_V6ONLY, &off, sizeof(off));
  }
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  return fd;
}

/// Calls bind, connect or sendto with the address as the socket has it.
template <typename Call>
auto WithAddress(sa_family_t family, const endpoint& value, const Call& call) {
  if (family == AF_INET) {
    const sockaddr_in address = ToIpv4SocketAddress(value);
    return call(reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  }
  const sockaddr_in6 address = ToSocketAddress(value);
  return call(reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

}  // namespace

udp_socket::udp_socket(sa_family_t family)
    : fd_(OpenSocket(family)), family_(family) {}

udp_socket::udp_socket(udp_socket&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)),
      family_(other.family_),
      refused_(other.refused_) {}

udp_socket& udp_socket::operator=(udp_socket&& other) noexcept {
  std::swap(fd_, other.fd_);
  std::swap(family_, other.family_);
  std::swap(refused_, other.refused_);
  return *this;
}

udp_socket::~udp_socket() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

result<udp_socket> udp_socket::Bind(const endpoint& local, bool shared_port) {
  udp_socket opened(FamilyOf(local));
  if (opened.fd_ < 0) {
    return SocketError("socket", local);
  }
  const int on = 1;
  if (shared_port) {
    setsockopt(opened.fd_, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
  }
  const auto bind_to = [&](const sockaddr* address, socklen_t length) {
    return bind(opened.fd_, address, length);
  };
  if (WithAddress(opened.family_, local, bind_to) != 0) {
    return SocketError("bind", local);
  }
  return opened;
}

result<udp_socket> udp_socket::Connect(const endpoint& remote) {
  udp_socket opened(FamilyOf(remote));
  if (opened.fd_ < 0) {
    return SocketError("socket", remote);
  }
  const auto connect_to = [&](const sockaddr* address, socklen_t length) {
    return connect(opened.fd_, address, length);
  };
  if (WithAddress(opened.family_, remote, connect_to) != 0) {
    return SocketError("connect", remote);
  }
  return opened;
}

endpoint udp_socket::Local() const {
  sockaddr_in6 address{};
  sockaddr_in narrow{};
  const bool is_ipv4 = family_ == AF_INET;
  socklen_t length = is_ipv4 ? sizeof(narrow) : sizeof(address);
  getsockname(fd_,
              is_ipv4 ? reinterpret_cast<sockaddr*>(&narrow)
                      : reinterpret_cast<sockaddr*>(&address),
              &length);
  return is_ipv4 ? FromSocketAddress(narrow) : FromSocketAddress(address);
}

size_t udp_socket::Receive(datagram_batch* batch) {
  batch->PrepareReceive(family_);
  const int received =
      recvmmsg(fd_, batch->messages_.data(),
               static_cast<unsigned>(batch->messages_.size()), 0, nullptr);
  if (received < 0 && errno == ECONNREFUSED) {
    refused_ = true;
  }
  batch->FinishReceive(family_,
                       received > 0 ? static_cast<size_t>(received) : 0);
  return batch->size();
}

size_t udp_socket::Send(datagram_batch* batch) {
  batch->PrepareSend(family_);
  size_t done = 0;
  size_t sent = 0;
  while (done < batch->size()) {
    const int taken = sendmmsg(fd_, batch->messages_.data() + done,
                               static_cast<unsigned>(batch->size() - done), 0);
    if (taken > 0) {
      done += static_cast<size_t>(taken);
      sent += static_cast<size_t>(taken);
    } else {
      // The first of the rest was refused; the others may still go.
      ++done;
    }
  }
  batch->Clear();
  return sent;
}

bool udp_socket::SendTo(const endpoint& remote,
                        absl::Span<const uint8_t> bytes) {
  const auto send_to = [&](const sockaddr* address, socklen_t length) {
    return sendto(fd_, bytes.data(), bytes.size(), 0, address, length);
  };
  const ssize_t sent = WithAddress(family_, remote, send_to);
  return sent == static_cast<ssize_t>(bytes.size());
}

bool udp_socket::Send(absl::Span<const uint8_t> bytes) {
  const ssize_t sent = send(fd_, bytes.data(), bytes.size(), 0);
  if (sent < 0 && errno == ECONNREFUSED) {
    refused_ = true;
  }
  return sent == static_cast<ssize_t>(bytes.size());
}

bool udp_socket::TakeRefused() { return std::exchange(refused_, false); }

}  // namespace cardamomroute
