#include "cardamomroute/control_shell.h"

#include <sodium.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>
#include <zmq.hpp>

#include "base/log.h"
#include "base/random_word.h"
#include "cardamomroute/control_member.h"
#include "cardamomroute/control_peers.h"
#include "cardamomroute/local_control.h"
#include "cardamomroute/local_outlet.h"
#include "cardamomroute/steady_time.h"
#include "cardamomroute/submission_worker.h"
#include "control/file_system_posix.h"

namespace cardamomroute {
namespace {

namespace outcome = boost::outcome_v2;

// Longest wait before the stop flag is looked at.
constexpr int kLongestWaitMs = 50;

// Requests taken before the disk is written, so that they share a sync.
constexpr int kRequestsPerRound = 256;

// Longest time for handing the leadership and the vote away.
constexpr absl::Duration kTransferTimeout = absl::Seconds(2);

result<void> Listen(const endpoint& address, zmq::socket_t* listening) {
  listening->set(zmq::sockopt::linger, 0);
  listening->set(zmq::sockopt::ipv6, true);
  // A node that connects anew under an old connection's name takes it over.
  listening->set(zmq::sockopt::router_handover, true);
  try {
    listening->bind("tcp://" + ToString(address));
  } catch (const zmq::error_t& failure) {
    return error{error_kind::kIoFailed, ToString(address), failure.what()};
  }
  return outcome::success();
}

}  // namespace

control_shell::control_shell(const settings& configured, local_control* local)
    : settings_(configured), local_(local) {}

result<void> control_shell::Run() {
  if (sodium_init() < 0) {
    return error{error_kind::kIoFailed, "", "no source of random numbers"};
  }
  zmq::context_t context(1);
  zmq::socket_t listening(context, zmq::socket_type::router);
  BOOST_OUTCOME_TRYV(Listen(settings_.control.listen, &listening));
  control_peers peers(&context, &listening);
  local_outlet outlet(&peers, local_);
  submission_worker worker;
  result<void> served = ServeFolder(&listening, &outlet, &worker);
  while (!served && served.error().kind == error_kind::kDiskIdentity) {
    // The old copy has been given up; the VM comes back as another member.
    served = ServeFolder(&listening, &outlet, &worker);
  }
  if (!served) {
    log_line(log_level::kError, "control_failed")
        .With("reason", Describe(served.error()));
  }
  return served;
}

result<void> control_shell::ServeFolder(zmq::socket_t* listening,
                                        local_outlet* outlet,
                                        submission_worker* worker) {
  control::posix_file_system files;
  BOOST_OUTCOME_TRY(member, control_member::Open(settings_, &files, outlet,
                                                 worker, RandomNonZero(),
                                                 RandomNonZero(), SteadyNow()));
  return Serve(listening, worker, member.get());
}

result<void> control_shell::Serve(zmq::socket_t* listening,
                                  submission_worker* worker,
                                  control_member* member) {
  while (!IsDone(member, SteadyNow())) {
    const int wait_ms =
        MillisecondsUntil(member->NextDeadline(), SteadyNow(), kLongestWaitMs);
    std::vector<zmq::pollitem_t> items = {
        {listening->handle(), 0, ZMQ_POLLIN, 0},
        {nullptr, worker->fd(), ZMQ_POLLIN, 0}};
    if (local_ != nullptr) {
      items.push_back({nullptr, local_->fd(), ZMQ_POLLIN, 0});
    }
    try {
      zmq::poll(items.data(), items.size(), std::chrono::milliseconds(wait_ms));
    } catch (const zmq::error_t&) {
      continue;  // A signal.
    }
    TakeRequests(listening, member);
    for (checked_submission& checked : worker->TakeChecked()) {
      member->OnChecked(std::move(checked), SteadyNow());
    }
    TakeLocalRequests(member);
    BOOST_OUTCOME_TRYV(member->Advance(SteadyNow()));
    Publish(*member);
  }
  return outcome::success();
}

void control_shell::TakeRequests(zmq::socket_t* listening,
                                 control_member* member) {
  for (int taken = 0; taken < kRequestsPerRound; ++taken) {
    zmq::message_t client;
    zmq::message_t body;
    if (!listening->recv(client, zmq::recv_flags::dontwait)) {
      return;
    }
    if (!client.more() || !listening->recv(body, zmq::recv_flags::dontwait)) {
      continue;
    }
    while (body.more() && listening->recv(body, zmq::recv_flags::dontwait)) {
    }
    inner::control_request request;
    if (request.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
      member->OnRequest(client.to_string(), request, SteadyNow());
    }
  }
}

void control_shell::TakeLocalRequests(control_member* member) {
  if (local_ == nullptr) {
    return;
  }
  inner::control_request request;
  for (inner::operator_request& operation : local_->TakeRequests()) {
    *request.mutable_operation() = std::move(operation);
    member->OnRequest(kLocalClient, request, SteadyNow());
  }
}

void control_shell::Publish(const control_member& member) {
  if (local_ != nullptr) {
    local_->Publish(member.State().Configuration(),
                    member.Membership().ToRecord().members(),
                    member.Measured());
  }
}

bool control_shell::IsDone(control_member* member, absl::Time now) {
  if (!stopped_.load()) {
    return false;
  }
  if (end_at_ == absl::InfiniteFuture()) {
    end_at_ = now + kTransferTimeout;
    member->BeginStop(now);
  }
  return member->IsStopped(now) || now >= end_at_;
}

}  // namespace cardamomroute
