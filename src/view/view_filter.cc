#include "view/view_filter.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace cardamomroute {
namespace {

template <typename Item>
std::vector<Item> PassingOf(const std::vector<Item>& items,
                            const service_filter& filter) {
  std::vector<Item> passing;
  std::copy_if(items.begin(), items.end(), std::back_inserter(passing),
               [&](const Item& item) { return filter.Passes(item); });
  return passing;
}

template <typename Item>
void DropOthers(const service_filter& filter, std::vector<Item>* items) {
  items->erase(
      std::remove_if(items->begin(), items->end(),
                     [&](const Item& item) { return !filter.Passes(item); }),
      items->end());
}

}  // namespace

service_filter::service_filter(const view& present,
                               const std::string& service_name) {
  const auto found = std::find_if(
      present.services.begin(), present.services.end(),
      [&](const service& item) { return item.name == service_name; });
  id_ = found != present.services.end() ? found->id : 0;
}

view FilterView(const view& whole, const std::string& service_name) {
  const service_filter filter(whole, service_name);
  view filtered;
  filtered.version = whole.version;
  filtered.services = PassingOf(whole.services, filter);
  filtered.targets = PassingOf(whole.targets, filter);
  filtered.balancers = whole.balancers;
  return filtered;
}

void FilterChange(const view& present, const std::string& service_name,
                  view_change* change) {
  const service_filter filter(present, service_name);
  DropOthers(filter, &change->services);
  DropOthers(filter, &change->targets);
}

}  // namespace cardamomroute
