#ifndef CARDAMOMROUTE_CARDAMOMROUTE_FABRIC_EDGE_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_FABRIC_EDGE_H_

#include <cstdint>
#include <functional>

#include "absl/types/span.h"
#include "base/endpoint.h"
#include "base/result.h"

namespace cardamomroute {

struct view_change;

/// How a balancer's traffic thread exchanges datagrams with callers. One kind
/// for each edge_mode.
class fabric_edge {
 public:
  /// Takes a datagram that `caller` sent to `service`.
  using receiver =
      std::function<void(const endpoint& service, const endpoint& caller,
                         absl::Span<const uint8_t> payload)>;

  virtual ~fabric_edge() = default;

  /// Opens what does not depend on the view. Fails with kIoFailed.
  virtual result<void> Open() = 0;

  /// Services came or went.
  virtual void OnChange(const view_change& change) = 0;

  /// Queues a datagram from the service's address to a caller.
  virtual void Send(const endpoint& service, const endpoint& caller,
                    absl::Span<const uint8_t> payload) = 0;

  /// Sends what is queued.
  virtual void Flush() = 0;

  /// Where the fabric delivers datagrams; zero in direct mode.
  virtual endpoint address() const = 0;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_FABRIC_EDGE_H_
