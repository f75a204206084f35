#include "services/dependencies.h"

#include <algorithm>
#include <cstdint>
#include <set>

#include "services/service_text.h"

namespace cardamomroute {
namespace {

/// Depth-first search without recursion: chains may be as long as the text.
class cycle_search {
 public:
  cycle_search(const dependency_lists& dependencies, size_t most)
      : dependencies_(dependencies),
        most_(most),
        states_(dependencies.size()),
        depths_(dependencies.size()) {}

  std::vector<dependency_cycle> Run() {
    for (size_t start = 0; start < dependencies_.size(); ++start) {
      if (states_[start] == state::kNew && cycles_.size() < most_) {
        Visit(start);
      }
    }
    return std::move(cycles_);
  }

 private:
  enum class state : uint8_t { kNew, kOpen, kDone };

  struct step {
    size_t service;
    size_t next = 0;
  };

  void Visit(size_t start) {
    Enter(start);
    while (!path_.empty() && cycles_.size() < most_) {
      step& top = path_.back();
      if (top.next == dependencies_[top.service].size()) {
        states_[top.service] = state::kDone;
        path_.pop_back();
      } else {
        Follow(dependencies_[top.service][top.next++]);
      }
    }
  }

  void Follow(size_t service) {
    if (states_[service] == state::kNew) {
      Enter(service);
    } else if (states_[service] == state::kOpen) {
      NoteCycle(service);
    }
  }

  void Enter(size_t service) {
    states_[service] = state::kOpen;
    depths_[service] = path_.size();
    path_.push_back({service});
  }

  void NoteCycle(size_t first) {
    const size_t begin = depths_[first];
    dependency_cycle cycle;
    cycle.last = path_.back().service;
    cycle.length = path_.size() - begin;
    const size_t listed = std::min(cycle.length, kListedServices);
    for (size_t i = begin; i < begin + listed; ++i) {
      cycle.services.push_back(path_[i].service);
    }
    cycles_.push_back(std::move(cycle));
  }

  const dependency_lists& dependencies_;
  size_t most_;
  std::vector<state> states_;
  /// Where each open service stands on the path.
  std::vector<size_t> depths_;
  std::vector<step> path_;
  std::vector<dependency_cycle> cycles_;
};

size_t IndexOf(const services_text& text, std::string_view name) {
  const auto found = std::lower_bound(
      text.services.begin(), text.services.end(), name,
      [](const service_text& a, std::string_view b) { return a.name < b; });
  return found != text.services.end() && found->name == name
             ? static_cast<size_t>(found - text.services.begin())
             : text.services.size();
}

dependency_lists DependenciesOf(const services_text& text) {
  dependency_lists lists(text.services.size());
  for (size_t i = 0; i < text.services.size(); ++i) {
    for (const std::string& name : text.services[i].depends_on) {
      lists[i].push_back(IndexOf(text, name));
    }
  }
  return lists;
}

/// All services so that each stands before those that it depends on.
std::vector<size_t> DependentsFirst(const dependency_lists& dependencies) {
  std::vector<size_t> dependents(dependencies.size());
  for (const std::vector<size_t>& list : dependencies) {
    for (const size_t needed : list) {
      ++dependents[needed];
    }
  }
  std::vector<size_t> order;
  for (size_t i = 0; i < dependents.size(); ++i) {
    if (dependents[i] == 0) {
      order.push_back(i);
    }
  }
  for (size_t at = 0; at < order.size(); ++at) {
    for (const size_t needed : dependencies[order[at]]) {
      if (--dependents[needed] == 0) {
        order.push_back(needed);
      }
    }
  }
  return order;
}

}  // namespace

std::vector<dependency_cycle> FindCycles(const dependency_lists& dependencies,
                                         size_t most) {
  return cycle_search(dependencies, most).Run();
}

void CarryUrgency(services_text& text) {
  const dependency_lists dependencies = DependenciesOf(text);
  std::vector<text_urgency> carried(text.services.size(),
                                    text_urgency::kOrdinary);
  for (const size_t at : DependentsFirst(dependencies)) {
    text_urgency most_urgent = carried[at];
    for (call_text& call : text.services[at].calls) {
      call.carried_urgency = std::min(call.urgency, carried[at]);
      most_urgent = std::min(most_urgent, call.carried_urgency);
    }
    for (const size_t needed : dependencies[at]) {
      carried[needed] = std::min(carried[needed], most_urgent);
    }
  }
}

dependents_index::dependents_index(const dependency_lists& dependencies)
    : dependents_(dependencies.size()) {
  for (size_t i = 0; i < dependencies.size(); ++i) {
    for (const size_t needed : dependencies[i]) {
      dependents_[needed].push_back(i);
    }
  }
}

std::vector<size_t> dependents_index::Of(size_t service) const {
  std::set<size_t> found;
  std::vector<size_t> open = {service};
  while (!open.empty()) {
    const size_t at = open.back();
    open.pop_back();
    for (const size_t dependent : dependents_[at]) {
      if (found.insert(dependent).second) {
        open.push_back(dependent);
      }
    }
  }
  return {found.begin(), found.end()};
}

std::vector<std::string> Impact(const services_text& text,
                                std::string_view missing) {
  std::vector<std::string> names;
  const size_t index = IndexOf(text, missing);
  if (index == text.services.size()) {
    return names;
  }
  for (const size_t affected :
       dependents_index(DependenciesOf(text)).Of(index)) {
    names.push_back(text.services[affected].name);
  }
  return names;
}

}  // namespace cardamomroute
