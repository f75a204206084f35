#ifndef CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_FOUNDING_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_FOUNDING_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.h"
#include "inner/node.pb.h"

namespace cardamomroute {

/// Decides how a control VM whose folder holds no group gets into one. The
/// first VM of the settings' list founds the group once it has heard from all
/// others that they have none either; these receive the group's state from it.
/// A VM that comes later, or with a new disk, waits to be added as a standby.
class control_founding {
 public:
  /// `self` is this VM's record. Without `peers` it founds a group alone.
  control_founding(inner::member_record self, const control_settings& settings);

  /// A VM without a group, as it says itself.
  void OnHello(const inner::member_record& sender);

  /// The membership to found the group with, once this VM may do so.
  std::optional<inner::membership_record> Membership() const;

 private:
  bool IsFounder() const;
  bool IsListed(const std::string& name) const;

  const inner::member_record self_;
  const bool standby_;
  std::vector<std::string> names_;
  /// VMs without a group, by name.
  std::map<std::string, inner::member_record> heard_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_FOUNDING_H_
