#ifndef CARDAMOMROUTE_SERVICES_DEPENDENCIES_H_
#define CARDAMOMROUTE_SERVICES_DEPENDENCIES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomroute {

struct services_text;

/// For each service, the indexes of those that it depends on.
using dependency_lists = std::vector<std::vector<size_t>>;

/// Services of a cycle that are listed.
constexpr size_t kListedServices = 16;

/// One dependency that closes a cycle.
struct dependency_cycle {
  /// The first services on the cycle in order, at most kListedServices.
  std::vector<size_t> services;
  /// The last service on the cycle; it depends on the first.
  size_t last = 0;
  /// How many services are on the cycle.
  size_t length = 0;
};

/// Cycles of `dependencies`, at most `most`: where there are fewer, taking out
/// the closing dependency of each leaves none. Takes linear time.
std::vector<dependency_cycle> FindCycles(const dependency_lists& dependencies,
                                         size_t most);

/// Carries the most urgent class of each service down to the calls of every
/// service that it depends on. `text` is sorted by name and has no cycles and
/// no unknown dependencies.
void CarryUrgency(services_text& text);

/// Answers which services need which others. Made once for a graph.
class dependents_index {
 public:
  explicit dependents_index(const dependency_lists& dependencies);

  /// The services that depend on `service`, directly or not, in rising order.
  /// Takes time by what is found.
  std::vector<size_t> Of(size_t service) const;

 private:
  dependency_lists dependents_;
};

/// Names of the services that depend on `missing`, directly or not, sorted;
/// empty for an unknown name.
std::vector<std::string> Impact(const services_text& text,
                                std::string_view missing);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_SERVICES_DEPENDENCIES_H_
