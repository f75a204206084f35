#ifndef CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_OUTLET_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_OUTLET_H_

#include <string>

#include "inner/node.pb.h"

namespace cardamomroute {

/// Where a control member's messages go. Each may be lost on the way.
class control_outlet {
 public:
  virtual ~control_outlet() = default;

  /// To the control VM at `address` (IP:PORT).
  virtual void SendToPeer(const std::string& address,
                          const inner::control_request& request) = 0;

  /// To the node or operator that asked under this identity.
  virtual void Answer(const std::string& client,
                      const inner::control_answer& answer) = 0;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_OUTLET_H_
