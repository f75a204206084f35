#include "cardamomroute/event_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <utility>

#include "cardamomroute/steady_time.h"

namespace cardamomroute {
namespace {

constexpr int kLongestWaitMs = 1000;
constexpr int kEventsPerRound = 128;

}  // namespace

event_loop::event_loop()
    : epoll_fd_(epoll_create1(EPOLL_CLOEXEC)),
      wake_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  Watch(wake_fd_, [this] {
    uint64_t count = 0;
    [[maybe_unused]] const ssize_t got = read(wake_fd_, &count, sizeof(count));
  });
}

event_loop::~event_loop() {
  close(wake_fd_);
  close(epoll_fd_);
}

void event_loop::Watch(int fd, std::function<void()> on_readable) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = fd;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
  readers_[fd] = std::move(on_readable);
}

void event_loop::Unwatch(int fd) {
  epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
  readers_.erase(fd);
  writers_.erase(fd);
}

void event_loop::AwaitWritable(int fd, std::function<void()> on_writable) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT;
  event.data.fd = fd;
  epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, fd, &event);
  writers_[fd] = std::move(on_writable);
}

void event_loop::HandleWritable(int fd) {
  const auto writer = writers_.find(fd);
  if (writer == writers_.end()) {
    return;
  }
  const std::function<void()> handle = std::move(writer->second);
  writers_.erase(writer);
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = fd;
  epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, fd, &event);
  handle();
}

void event_loop::OnTick(std::function<absl::Time()> on_tick) {
  on_tick_ = std::move(on_tick);
}

void event_loop::Run() {
  absl::Time deadline = absl::InfinitePast();
  while (!stopped_.load(std::memory_order_relaxed)) {
    HandleRound(deadline);
    deadline = on_tick_ ? on_tick_() : absl::InfiniteFuture();
  }
}

void event_loop::HandleRound(absl::Time deadline) {
  std::array<epoll_event, kEventsPerRound> events;
  const int wait_ms = MillisecondsUntil(deadline, SteadyNow(), kLongestWaitMs);
  const int count =
      epoll_wait(epoll_fd_, events.data(), kEventsPerRound, wait_ms);
  for (int i = 0; i < count; ++i) {
    if ((events.at(i).events & EPOLLOUT) != 0) {
      HandleWritable(events.at(i).data.fd);
    }
    if ((events.at(i).events & ~EPOLLOUT) == 0) {
      continue;
    }
    // A handler may take away readers whose events are still in the list.
    const auto reader = readers_.find(events.at(i).data.fd);
    if (reader != readers_.end()) {
      const std::function<void()> handle = reader->second;
      handle();
    }
  }
}

void event_loop::Stop() {
  stopped_.store(true, std::memory_order_relaxed);
  Wake();
}

void event_loop::Wake() {
  const uint64_t one = 1;
  [[maybe_unused]] const ssize_t put = write(wake_fd_, &one, sizeof(one));
}

}  // namespace cardamomroute
