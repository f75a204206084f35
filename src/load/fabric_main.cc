// Stand-in for the users' network fabric: hands each datagram of a caller to
// any balancer and gives answers back from the service's address.
#include <getopt.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/numbers.h"
#include "base/endpoint.h"
#include "cardamomroute/datagram_batch.h"
#include "cardamomroute/event_loop.h"
#include "cardamomroute/steady_time.h"
#include "cardamomroute/udp_socket.h"
#include "fabric/proxy_header.h"

namespace cardamomroute {
namespace {

constexpr size_t kBatch = 64;
constexpr absl::Duration kWithdrawnInterval = absl::Milliseconds(50);
// How long a balancer that refused a datagram gets none; twice as long each
// time that it refuses the next one too, as a health check would have it.
constexpr absl::Duration kRefusedPause = absl::Milliseconds(300);
constexpr int kMaxDoublings = 4;
// A refusal comes back within this time.
constexpr absl::Duration kRefusalDelay = absl::Milliseconds(100);

struct fabric_options {
  std::vector<endpoint> services;
  std::vector<endpoint> balancers;
  endpoint return_address;
  /// File with the balancers that are withdrawn at present, one a line.
  std::string withdrawn_path;
  uint64_t seed = 1;
};

struct balancer_port {
  std::string address;
  udp_socket socket;
  bool withdrawn = false;
  absl::Time usable_from = absl::InfinitePast();
  absl::Time last_sent = absl::InfinitePast();
  int refusals_in_row = 0;

  /// Sees whether the balancer refused what it was sent before `now`.
  void TakeRefusal(absl::Time now) {
    if (socket.TakeRefused()) {
      usable_from =
          now + kRefusedPause * (1 << std::min(refusals_in_row, kMaxDoublings));
      ++refusals_in_row;
    } else if (last_sent > usable_from && now >= last_sent + kRefusalDelay) {
      refusals_in_row = 0;
    }
  }

  bool Send(const std::vector<uint8_t>& datagram, absl::Time now) {
    last_sent = now;
    return socket.Send(datagram);
  }
};

class fabric_stand_in {
 public:
  explicit fabric_stand_in(uint64_t seed) : random_(seed), batch_(kBatch) {}

  result<void> Open(const fabric_options& options);
  void Run() { loop_.Run(); }
  void Stop() { loop_.Stop(); }

 private:
  void Spray(const endpoint& service);
  void Return();
  absl::Time ReadWithdrawn();
  balancer_port* PickBalancer(absl::Time now);

  event_loop loop_;
  std::mt19937_64 random_;
  datagram_batch batch_;
  std::vector<balancer_port> balancers_;
  absl::flat_hash_map<endpoint, std::unique_ptr<udp_socket>> services_;
  udp_socket return_socket_;
  std::vector<uint8_t> out_;
  std::string withdrawn_path_;
  absl::Time next_read_ = absl::InfinitePast();
};

result<void> fabric_stand_in::Open(const fabric_options& options) {
  for (const endpoint& balancer : options.balancers) {
    BOOST_OUTCOME_TRY(opened, udp_socket::Connect(balancer));
    balancers_.push_back({ToString(balancer), std::move(opened)});
  }
  withdrawn_path_ = options.withdrawn_path;
  loop_.OnTick([this] { return ReadWithdrawn(); });
  BOOST_OUTCOME_TRY(returns, udp_socket::Bind(options.return_address));
  return_socket_ = std::move(returns);
  loop_.Watch(return_socket_.fd(), [this] { Return(); });
  for (const endpoint& service : options.services) {
    BOOST_OUTCOME_TRY(opened, udp_socket::Bind(service));
    auto& kept = services_[service];
    kept = std::make_unique<udp_socket>(std::move(opened));
    loop_.Watch(kept->fd(), [this, service] { Spray(service); });
  }
  return boost::outcome_v2::success();
}

balancer_port* fabric_stand_in::PickBalancer(absl::Time now) {
  std::vector<balancer_port*> usable;
  for (balancer_port& balancer : balancers_) {
    balancer.TakeRefusal(now);
    if (!balancer.withdrawn && balancer.usable_from <= now) {
      usable.push_back(&balancer);
    }
  }
  return usable.empty() ? nullptr : usable[random_() % usable.size()];
}

void fabric_stand_in::Spray(const endpoint& service) {
  services_[service]->Receive(&batch_);
  const absl::Time now = SteadyNow();
  for (size_t i = 0; i < batch_.size(); ++i) {
    balancer_port* balancer = PickBalancer(now);
    if (balancer == nullptr) {
      return;
    }
    const auto bytes = batch_.Bytes(i);
    out_.resize(fabric::kLongestProxyHeader);
    out_.resize(
        fabric::WriteProxyHeader(batch_.Remote(i), service, out_.data()));
    out_.insert(out_.end(), bytes.begin(), bytes.end());
    if (!balancer->Send(out_, now)) {
      // The refusal belongs to an earlier datagram; this one goes elsewhere.
      balancer = PickBalancer(now);
      if (balancer != nullptr) {
        balancer->Send(out_, now);
      }
    }
  }
}

void fabric_stand_in::Return() {
  return_socket_.Receive(&batch_);
  for (size_t i = 0; i < batch_.size(); ++i) {
    const auto bytes = batch_.Bytes(i);
    const auto header = fabric::ReadProxyHeader(bytes);
    if (header.has_error()) {
      continue;
    }
    const auto service = services_.find(header.value().source);
    if (service == services_.end()) {
      continue;
    }
    datagram_batch answer(1);
    const auto payload = bytes.subspan(header.value().length);
    answer.Add(header.value().destination)
        ->assign(payload.begin(), payload.end());
    service->second->Send(&answer);
  }
}

absl::Time fabric_stand_in::ReadWithdrawn() {
  const absl::Time now = SteadyNow();
  if (now < next_read_) {
    return next_read_;
  }
  next_read_ = now + kWithdrawnInterval;
  std::set<std::string> withdrawn;
  std::ifstream file(withdrawn_path_);
  for (std::string line; std::getline(file, line);) {
    withdrawn.insert(line);
  }
  for (balancer_port& balancer : balancers_) {
    balancer.withdrawn = withdrawn.count(balancer.address) != 0;
  }
  return next_read_;
}

bool ReadEndpoint(const char* text, endpoint* out) {
  auto parsed = ParseEndpoint(text);
  if (parsed.has_error()) {
    std::fprintf(stderr, "%s\n", Describe(parsed.error()).c_str());
    return false;
  }
  *out = parsed.value();
  return true;
}

bool ReadOptions(int argc, char** argv, fabric_options* options) {
  const option known[] = {{"service", required_argument, nullptr, 's'},
                          {"balancer", required_argument, nullptr, 'b'},
                          {"return", required_argument, nullptr, 'r'},
                          {"withdrawn", required_argument, nullptr, 'w'},
                          {"seed", required_argument, nullptr, 'e'},
                          {nullptr, 0, nullptr, 0}};
  int flag = 0;
  while ((flag = getopt_long(argc, argv, "", known, nullptr)) != -1) {
    endpoint value;
    if (flag == 'e') {
      if (!absl::SimpleAtoi(optarg, &options->seed)) {
        return false;
      }
      continue;
    }
    if (flag == 'w') {
      options->withdrawn_path = optarg;
      continue;
    }
    if (flag == '?' || !ReadEndpoint(optarg, &value)) {
      return false;
    }
    if (flag == 's') {
      options->services.push_back(value);
    } else if (flag == 'b') {
      options->balancers.push_back(value);
    } else {
      options->return_address = value;
    }
  }
  return optind == argc && !options->services.empty() &&
         !options->balancers.empty();
}

fabric_stand_in* running = nullptr;

void StopOnSignal(int /*signal*/) { running->Stop(); }

int Main(int argc, char** argv) {
  fabric_options options;
  if (!ReadOptions(argc, argv, &options)) {
    std::fprintf(stderr,
                 "usage: cardamomroute-fabric --service IP:PORT... "
                 "--balancer IP:PORT... --return IP:PORT\n"
                 "  [--withdrawn FILE] [--seed N]\n");
    return 2;
  }
  fabric_stand_in fabric(options.seed);
  const auto opened = fabric.Open(options);
  if (opened.has_error()) {
    std::fprintf(stderr, "%s\n", Describe(opened.error()).c_str());
    return 1;
  }
  running = &fabric;
  std::signal(SIGTERM, StopOnSignal);
  std::signal(SIGINT, StopOnSignal);
  fabric.Run();
  return 0;
}

}  // namespace
}  // namespace cardamomroute

int main(int argc, char** argv) { return cardamomroute::Main(argc, argv); }
