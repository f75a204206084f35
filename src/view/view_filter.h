#ifndef CARDAMOMROUTE_VIEW_VIEW_FILTER_H_
#define CARDAMOMROUTE_VIEW_VIEW_FILTER_H_

#include <string>

#include "view/view.h"
#include "view/view_change.h"

namespace cardamomroute {

/// Tells which items of a view the agents of one service need.
class service_filter {
 public:
  /// `present` is the view, whole or filtered. No service and no target passes
  /// while the text does not have a service of this name.
  service_filter(const view& present, const std::string& service_name);

  bool Passes(const service& item) const { return item.id == id_; }
  bool Passes(const target& item) const { return item.service == id_; }
  bool Passes(const balancer& /*item*/) const { return true; }

 private:
  /// 0, which is no service, where the text does not have it.
  service_id id_ = 0;
};

/// What the agents of a service need of a view: the service, its targets and
/// all balancers, at the same version. No services and targets while the text
/// does not have the service.
view FilterView(const view& whole, const std::string& service_name);

/// Leaves in a change what agents of the service need, where `present` is the
/// view, whole or filtered, that the change leads to. Ids of removed items
/// stay, whatever their service was. The change leads from one filtered view
/// to the other, as the whole one does between the whole views.
void FilterChange(const view& present, const std::string& service_name,
                  view_change* change);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_VIEW_VIEW_FILTER_H_
