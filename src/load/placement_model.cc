#include "load/placement_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <random>
#include <utility>
#include <vector>

#include "routing/load_sample.h"
#include "routing/placement_strategy.h"
#include "routing/service_routes.h"

namespace cardamomroute::load {
namespace {

constexpr uint32_t kZones = 4;
constexpr double kLastingFlowsSeconds = 1;
constexpr uint32_t kNoLastRequest = UINT32_MAX;

/// One target: its slots, its queue, and what the others know of it.
struct model_target {
  uint32_t busy = 0;
  std::deque<std::pair<double, uint32_t>> queue;  // arrival, flow
  uint32_t flows = 0;
  uint32_t observations = 0;
  load_sample published;
  double work = 0;
  double work_second = 0;
};

class placement_model {
 public:
  placement_model(const placement_setup& setup,
                  const placement_strategy& strategy)
      : setup_(setup), strategy_(strategy), random_(setup.seed) {
    std::vector<route_target> targets;
    for (uint32_t i = 0; i < setup.targets; ++i) {
      route_target item;
      item.id = i + 1;
      item.zone_hash = i % kZones;
      targets.push_back(item);
    }
    routes_ = service_routes(std::move(targets));
    targets_.resize(setup.targets);
  }

  placement_outcome Run() {
    if (setup_.lasting_flows > 0) {
      ArriveLastingFlows();
    } else {
      At(0, [this] { ArriveFlow(); });
    }
    At(0, [this] { PublishSamples(); });
    At(0, [this] { PublishReports(); });
    At(setup_.warmup_seconds, [this] { BeginSecond(); });
    const double end = setup_.warmup_seconds + setup_.seconds;
    while (!events_.empty() && events_.begin()->first < end) {
      const auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    placement_outcome outcome;
    outcome.imbalance = Imbalance(&model_target::work);
    outcome.imbalance_second = second_sum_ / std::max(1.0, seconds_);
    outcome.load = Work() / (setup_.seconds * setup_.targets * setup_.slots);
    outcome.mean_wait_ms = 1000 * wait_sum_ / std::max(1.0, waits_);
    return outcome;
  }

 private:
  void At(double when, std::function<void()> event) {
    events_.emplace(when, std::move(event));
  }

  double Exponential(double mean) {
    return std::exponential_distribution<>(1 / mean)(random_);
  }

  double Work() const {
    return std::accumulate(
        targets_.begin(), targets_.end(), 0.0,
        [](double sum, const model_target& item) { return sum + item.work; });
  }

  double Imbalance(double model_target::*work) const {
    double most = 0;
    double sum = 0;
    for (const model_target& item : targets_) {
      most = std::max(most, item.*work);
      sum += item.*work;
    }
    return sum > 0 ? most / (sum / setup_.targets) : 1;
  }

  uint32_t PlaceFlow() {
    const uint64_t hash = random_();
    const auto home = static_cast<uint32_t>(routes_.Home(hash));
    const auto candidate = static_cast<uint32_t>(routes_.Candidate(hash, home));
    const uint32_t chosen = Choose(home, candidate) - 1;
    ++targets_[chosen].flows;
    return chosen;
  }

  void ArriveLastingFlows() {
    std::vector<bool> observes(setup_.lasting_flows, false);
    std::fill_n(observes.begin(), setup_.observations, true);
    std::shuffle(observes.begin(), observes.end(), random_);
    for (uint32_t i = 0; i < setup_.lasting_flows; ++i) {
      const bool only_observes = observes[i];
      At(kLastingFlowsSeconds * i / setup_.lasting_flows,
         [this, only_observes] { ArriveLastingFlow(only_observes); });
    }
  }

  void ArriveLastingFlow(bool observes) {
    const uint32_t chosen = PlaceFlow();
    targets_[chosen].observations += observes ? 1 : 0;
    StartRequest(chosen, observes ? 1 : kNoLastRequest);
  }

  void ArriveFlow() {
    const uint32_t chosen = PlaceFlow();
    const auto requests = 1 + std::geometric_distribution<uint32_t>(
                                  1 / setup_.requests_per_flow)(random_);
    StartRequest(chosen, requests);
    const double flows_per_second = setup_.load * setup_.targets *
                                    setup_.slots / setup_.service_seconds /
                                    setup_.requests_per_flow;
    At(now_ + Exponential(1 / flows_per_second), [this] { ArriveFlow(); });
  }

  uint32_t CountedFlows(const model_target& item) const {
    return item.flows - (setup_.counts_observations ? 0 : item.observations);
  }

  uint32_t Choose(uint32_t home, uint32_t candidate) {
    const model_target& own = targets_[home - 1];
    load_sample home_load = own.published;
    home_load.busy_slots = own.busy;
    home_load.queued = static_cast<uint32_t>(own.queue.size());
    home_load.held_flows = CountedFlows(own);
    load_sample& known = targets_[candidate - 1].published;
    if (!strategy_.PrefersCandidate(home_load, known, absl::UnixEpoch())) {
      return home;
    }
    ++known.queued;
    ++known.held_flows;
    return candidate;
  }

  void StartRequest(uint32_t at, uint32_t requests_left) {
    model_target& item = targets_[at];
    item.queue.emplace_back(now_, requests_left);
    Dispatch(at);
  }

  void Dispatch(uint32_t at) {
    model_target& item = targets_[at];
    while (item.busy < setup_.slots && !item.queue.empty()) {
      const auto [arrived, left] = item.queue.front();
      item.queue.pop_front();
      ++item.busy;
      const double service = Exponential(setup_.service_seconds);
      if (now_ >= setup_.warmup_seconds) {
        wait_sum_ += now_ - arrived;
        waits_ += 1;
        item.work += service;
        item.work_second += service;
      }
      At(now_ + service, [this, at, left = left] { Finish(at, left); });
    }
  }

  void Finish(uint32_t at, uint32_t requests_left) {
    --targets_[at].busy;
    Dispatch(at);
    if (requests_left > 1) {
      At(now_ + Exponential(setup_.pause_seconds),
         [=] { StartRequest(at, requests_left - 1); });
    } else if (setup_.lasting_flows == 0) {
      --targets_[at].flows;
    }
  }

  void PublishSamples() {
    for (model_target& item : targets_) {
      item.published.busy_slots = item.busy;
      item.published.queued = static_cast<uint32_t>(item.queue.size());
      item.published.held_flows = CountedFlows(item);
      item.published.usable_slots = setup_.slots;
      item.published.measured_at = absl::UnixEpoch();
    }
    At(now_ + setup_.sample_lag_seconds, [this] { PublishSamples(); });
  }

  void PublishReports() {
    for (model_target& item : targets_) {
      item.published.reported_free_share =
          1 - static_cast<double>(item.busy) / setup_.slots;
    }
    At(now_ + setup_.report_lag_seconds, [this] { PublishReports(); });
  }

  void BeginSecond() {
    if (now_ > setup_.warmup_seconds) {
      second_sum_ += Imbalance(&model_target::work_second);
      seconds_ += 1;
    }
    for (model_target& item : targets_) {
      item.work_second = 0;
    }
    At(now_ + 1, [this] { BeginSecond(); });
  }

  placement_setup setup_;
  const placement_strategy& strategy_;
  std::mt19937_64 random_;
  service_routes routes_;
  std::vector<model_target> targets_;
  std::multimap<double, std::function<void()>> events_;
  double now_ = 0;
  double wait_sum_ = 0;
  double waits_ = 0;
  double second_sum_ = 0;
  double seconds_ = 0;
};

}  // namespace

placement_outcome RunPlacement(const placement_setup& setup,
                               const placement_strategy& strategy) {
  return placement_model(setup, strategy).Run();
}

}  // namespace cardamomroute::load
