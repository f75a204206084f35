#include "cardamomroute/local_outlet.h"

#include "cardamomroute/local_control.h"

namespace cardamomroute {

void local_outlet::SendToPeer(const std::string& address,
                              const inner::control_request& request) {
  next_->SendToPeer(address, request);
}

// Identities that ZeroMQ gives begin with a zero byte.
void local_outlet::Answer(const std::string& client,
                          const inner::control_answer& answer) {
  if (local_ != nullptr && client == kLocalClient) {
    local_->Answer(answer.operation());
  } else {
    next_->Answer(client, answer);
  }
}

}  // namespace cardamomroute
