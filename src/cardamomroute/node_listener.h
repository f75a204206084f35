#ifndef CARDAMOMROUTE_CARDAMOMROUTE_NODE_LISTENER_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_NODE_LISTENER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/endpoint.h"
#include "base/result.h"
#include "inner/node.pb.h"

namespace zmq {
class context_t;
class message_t;
class socket_t;
}  // namespace zmq

namespace cardamomroute {

/// Answers requests that other processes send to a balancer or agent at its
/// inner address by TCP. Belongs to one thread.
class node_listener {
 public:
  /// The answer to a request of one kind; an error is sent as an
  /// operator_answer with its code.
  using handler = std::function<result<inner::control_answer>(
      const inner::control_request&)>;

  /// `context` outlives the listener.
  explicit node_listener(zmq::context_t* context);
  node_listener(const node_listener&) = delete;
  node_listener& operator=(const node_listener&) = delete;
  ~node_listener();

  /// Requests of other kinds are answered with kMalformedMessage. Before the
  /// first TakeRequests only.
  void Handle(inner::control_request::BodyCase kind, handler answer);

  /// Fails with kIoFailed when it cannot listen there.
  result<void> Open(const endpoint& address);

  /// Where it listens, once open.
  endpoint Address() const;

  /// What zmq::poll takes, once open; readable while requests wait.
  void* PollHandle() const;

  /// Answers the requests that wait, a bounded number of them; never blocks.
  /// Answers that cannot go out at once are dropped.
  void TakeRequests();

 private:
  bool TakeOne();
  result<inner::control_answer> AnswerTo(const zmq::message_t& body) const;

  std::unique_ptr<zmq::socket_t> socket_;
  std::map<inner::control_request::BodyCase, handler> handlers_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_NODE_LISTENER_H_
