#include "cardamomroute/node_client.h"

#include <chrono>
#include <utility>
#include <zmq.hpp>

#include "cardamomroute/node_mailbox.h"
#include "cardamomroute/node_report.h"
#include "cardamomroute/steady_time.h"

namespace cardamomroute {
namespace {

// Longest wait of one poll.
constexpr int kLongestWaitMs = 1000;

// Requests without an answer after which a connection is opened anew.
constexpr uint32_t kMaxUnanswered = 2;

zmq::pollitem_t PollItem(zmq::socket_t& socket) {
  return {socket.handle(), 0, ZMQ_POLLIN, 0};
}

}  // namespace

node_client::node_client(std::vector<endpoint> control,
                         inner::pull_request announcement,
                         std::vector<node_mailbox*> mailboxes,
                         std::vector<const metrics*> measured)
    : mailboxes_(std::move(mailboxes)),
      measured_(std::move(measured)),
      node_(std::move(control), std::move(announcement)),
      context_(std::make_unique<zmq::context_t>(1)),
      listener_(context_.get()) {
  listener_.Handle(inner::control_request::kOperation,
                   [this](const inner::control_request& request) {
                     return AnswerOperation(
                         request.operation(), node_.Announcement(),
                         node_.view_version(), node_.IsWhole(), measured_);
                   });
  listener_.Handle(inner::control_request::kPull,
                   [this](const inner::control_request& request)
                       -> result<inner::control_answer> {
                     inner::control_answer answer;
                     *answer.mutable_pull() =
                         node_.OnPull(request.pull(), SteadyNow());
                     return answer;
                   });
}

node_client::~node_client() { Stop(); }

result<void> node_client::Open(const endpoint& inner) {
  return listener_.Open(inner);
}

void node_client::Start() {
  thread_ = std::thread([this] { Run(); });
}

void node_client::Leave() {
  leaving_.store(true);
  wake_.Raise();
}

void node_client::AnnounceAnew(uint64_t incarnation) {
  incarnation_.store(incarnation);
  wake_.Raise();
}

void node_client::PullNow() {
  pull_now_.store(true);
  wake_.Raise();
}

void node_client::Stop() {
  stopped_.store(true);
  wake_.Raise();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void node_client::Run() {
  while (!stopped_.load()) {
    TakeOrders();
    SendDue();
    Wait();
    TakePullAnswers();
    TakeAnnouncementAnswers();
    listener_.TakeRequests();
  }
  parent_.socket.reset();
  direct_.socket.reset();
}

void node_client::TakeOrders() {
  const absl::Time now = SteadyNow();
  if (leaving_.exchange(false)) {
    node_.Leave(now);
  }
  if (const uint64_t incarnation = incarnation_.exchange(0)) {
    node_.AnnounceAnew(incarnation, now);
  }
  if (pull_now_.exchange(false)) {
    node_.PullSoon();
  }
}

void node_client::SendDue() {
  const absl::Time now = SteadyNow();
  if (const auto pull = node_.NextPull(now)) {
    Send(*pull, &parent_);
  }
  if (const auto announcement = node_.NextAnnouncement(now)) {
    Send(*announcement, &direct_);
  }
  if (!node_.MustAnnounce()) {
    direct_ = connection();
  }
}

void node_client::Send(const relay_pull& pull, connection* link) {
  if (link->socket == nullptr || link->to != pull.to ||
      link->unanswered >= kMaxUnanswered) {
    link->to = pull.to;
    link->unanswered = 0;
    link->socket =
        std::make_unique<zmq::socket_t>(*context_, zmq::socket_type::dealer);
    link->socket->set(zmq::sockopt::linger, 0);
    link->socket->set(zmq::sockopt::ipv6, true);
    link->socket->connect("tcp://" + ToString(pull.to));
  }
  inner::control_request request;
  *request.mutable_pull() = pull.request;
  ++link->unanswered;
  link->socket->send(zmq::buffer(request.SerializeAsString()),
                     zmq::send_flags::dontwait);
}

void node_client::Wait() {
  std::vector<zmq::pollitem_t> items = {
      {nullptr, wake_.fd(), ZMQ_POLLIN, 0},
      {listener_.PollHandle(), 0, ZMQ_POLLIN, 0}};
  for (const connection* link : {&parent_, &direct_}) {
    if (link->socket != nullptr) {
      items.push_back(PollItem(*link->socket));
    }
  }
  const int wait_ms =
      MillisecondsUntil(node_.NextDeadline(), SteadyNow(), kLongestWaitMs);
  try {
    zmq::poll(items.data(), items.size(), std::chrono::milliseconds(wait_ms));
  } catch (const zmq::error_t&) {
    // A signal.
  }
  wake_.Clear();
}

void node_client::TakePullAnswers() {
  while (const auto answer = NextAnswer(&parent_)) {
    PassOn(node_.OnAnswer(*answer, SteadyNow()));
  }
}

void node_client::TakeAnnouncementAnswers() {
  while (const auto answer = NextAnswer(&direct_)) {
    PassOn(node_.OnAnnouncementAnswer(*answer));
  }
}

std::optional<inner::pull_answer> node_client::NextAnswer(connection* link) {
  zmq::message_t message;
  while (link->socket != nullptr &&
         link->socket->recv(message, zmq::recv_flags::dontwait)) {
    inner::control_answer answer;
    if (answer.ParseFromArray(message.data(),
                              static_cast<int>(message.size())) &&
        answer.has_pull()) {
      link->unanswered = 0;
      return std::move(*answer.mutable_pull());
    }
  }
  return std::nullopt;
}

void node_client::PassOn(const std::optional<node_event>& event) {
  if (!event) {
    return;
  }
  for (node_mailbox* mailbox : mailboxes_) {
    mailbox->Put(*event);
  }
}

}  // namespace cardamomroute
