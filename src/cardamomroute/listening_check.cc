#include "cardamomroute/listening_check.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "cardamomroute/event_loop.h"
#include "cardamomroute/socket_address.h"

namespace cardamomroute {
namespace {

listening_state FromError(int failure) {
  switch (failure) {
    case 0:
      return listening_state::kListens;
    case ECONNREFUSED:
      return listening_state::kRefuses;
    default:
      return listening_state::kUnknown;
  }
}

}  // namespace

listening_check::listening_check(event_loop* loop, handler handle)
    : loop_(loop), handle_(std::move(handle)) {}

listening_check::~listening_check() {
  if (fd_ >= 0) {
    loop_->Unwatch(fd_);
    close(fd_);
  }
}

void listening_check::Begin(const endpoint& address, absl::Time now) {
  if (fd_ >= 0) {
    return;
  }
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) {
    handle_(listening_state::kUnknown);
    return;
  }
  deadline_ = now + kListeningPatience;
  loop_->Watch(fd_, [this] { OnConnected(); });
  const sockaddr_in to = ToIpv4SocketAddress(address);
  if (connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0) {
    Finish(listening_state::kListens);
  } else if (errno != EINPROGRESS) {
    Finish(FromError(errno));
  } else {
    loop_->AwaitWritable(fd_, [this] { OnConnected(); });
  }
}

void listening_check::OnConnected() {
  int failure = 0;
  socklen_t length = sizeof(failure);
  if (getsockopt(fd_, SOL_SOCKET, SO_ERROR, &failure, &length) != 0) {
    failure = errno;
  }
  Finish(FromError(failure));
}

void listening_check::Finish(listening_state found) {
  loop_->Unwatch(fd_);
  close(fd_);
  fd_ = -1;
  deadline_ = absl::InfiniteFuture();
  handle_(found);
}

absl::Time listening_check::Tick(absl::Time now) {
  if (now >= deadline_) {
    Finish(listening_state::kUnknown);
  }
  return deadline_;
}

}  // namespace cardamomroute
