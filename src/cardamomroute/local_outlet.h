#ifndef CARDAMOMROUTE_CARDAMOMROUTE_LOCAL_OUTLET_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_LOCAL_OUTLET_H_

#include <string>

#include "cardamomroute/control_outlet.h"

namespace cardamomroute {

class local_control;

/// The client under whose name requests of the process itself come in.
inline constexpr char kLocalClient[] = "local";

/// Hands answers for the process itself to it, and all else to another outlet.
class local_outlet : public control_outlet {
 public:
  /// `local` may be null; both outlive the outlet.
  local_outlet(control_outlet* next, local_control* local)
      : next_(next), local_(local) {}

  void SendToPeer(const std::string& address,
                  const inner::control_request& request) override;
  void Answer(const std::string& client,
              const inner::control_answer& answer) override;

 private:
  control_outlet* const next_;
  local_control* const local_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_LOCAL_OUTLET_H_
