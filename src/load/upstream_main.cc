// Stand-in upstream: serves CoAP on one UDP port and notes each run.
#include <getopt.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <set>
#include <string>

#include "absl/strings/numbers.h"
#include "cardamomroute/datagram_batch.h"
#include "cardamomroute/event_loop.h"
#include "cardamomroute/steady_time.h"
#include "cardamomroute/udp_socket.h"
#include "load/upstream_model.h"

namespace cardamomroute::load {
namespace {

constexpr size_t kBatch = 32;
constexpr const char* kUsage =
    "usage: cardamomroute-upstream --listen IP:PORT --service NAME --name "
    "NAME\n"
    "  --runs FILE [--slots N] [--run-ms N] [--notify-ms N]\n"
    "  [--download-path /SEGMENT] [--deadline-option N]\n"
    "  [--report-path PATH] [--report-lag-ms N] [--report-lie TEXT]\n";

struct upstream_options {
  endpoint listen;
  std::string runs_path;
  upstream_behaviour behaviour;
};

bool ReadOption(int flag, const std::string& value, upstream_options* options) {
  switch (flag) {
    case 'l': {
      auto address = ParseEndpoint(value);
      if (address.has_error()) {
        return false;
      }
      options->listen = address.value();
      return true;
    }
    case 's':
      options->behaviour.service = value;
      return true;
    case 'n':
      options->behaviour.name = value;
      return true;
    case 'r':
      options->runs_path = value;
      return true;
    case 'o':
      return absl::SimpleAtoi(value, &options->behaviour.slots);
    case 'm':
      return absl::SimpleAtoi(value, &options->behaviour.run_ms);
    case 'p':
      options->behaviour.report_path = value;
      return true;
    case 'g':
      return absl::SimpleAtoi(value, &options->behaviour.report_lag_ms);
    case 'i':
      options->behaviour.report_lie = value;
      return true;
    case 'y':
      return absl::SimpleAtoi(value, &options->behaviour.notify_ms);
    case 'd':
      options->behaviour.download_path = value;
      return true;
    case 'a': {
      uint32_t number = 0;
      const bool is_number = absl::SimpleAtoi(value, &number);
      options->behaviour.deadline_option = static_cast<uint16_t>(number);
      return is_number && number <= UINT16_MAX;
    }
    default:
      return false;
  }
}

bool ReadOptions(int argc, char** argv, upstream_options* options) {
  const option known[] = {{"listen", required_argument, nullptr, 'l'},
                          {"service", required_argument, nullptr, 's'},
                          {"name", required_argument, nullptr, 'n'},
                          {"runs", required_argument, nullptr, 'r'},
                          {"slots", required_argument, nullptr, 'o'},
                          {"run-ms", required_argument, nullptr, 'm'},
                          {"notify-ms", required_argument, nullptr, 'y'},
                          {"download-path", required_argument, nullptr, 'd'},
                          {"deadline-option", required_argument, nullptr, 'a'},
                          {"report-path", required_argument, nullptr, 'p'},
                          {"report-lag-ms", required_argument, nullptr, 'g'},
                          {"report-lie", required_argument, nullptr, 'i'},
                          {nullptr, 0, nullptr, 0}};
  int flag = 0;
  while ((flag = getopt_long(argc, argv, "", known, nullptr)) != -1) {
    if (!ReadOption(flag, optarg != nullptr ? optarg : "", options)) {
      return false;
    }
  }
  return optind == argc && options->listen.port != 0;
}

/// The socket around an upstream_model.
class upstream_server {
 public:
  explicit upstream_server(const upstream_options& options)
      : model_(options.behaviour),
        runs_(options.runs_path, std::ios::app),
        received_(kBatch),
        sent_(kBatch) {}

  result<void> Open(const endpoint& listen) {
    BOOST_OUTCOME_TRY(opened, udp_socket::Bind(listen));
    socket_ = std::move(opened);
    loop_.Watch(socket_.fd(), [this] { Receive(); });
    loop_.OnTick([this] { return Tick(); });
    return boost::outcome_v2::success();
  }

  void Run() { loop_.Run(); }
  void Stop() { loop_.Stop(); }

  /// From now on nothing passes between here and the remotes seen so far.
  void LoseTrack() { losing_track_.store(true); }

 private:
  void Receive() {
    const absl::Time now = SteadyNow();
    if (losing_track_.exchange(false)) {
      lost_.insert(seen_.begin(), seen_.end());
    }
    socket_.Receive(&received_);
    for (size_t i = 0; i < received_.size(); ++i) {
      seen_.insert(received_.Remote(i));
      if (lost_.count(received_.Remote(i)) != 0) {
        continue;
      }
      const auto bytes = received_.Bytes(i);
      SendAll(model_.OnDatagram(received_.Remote(i),
                                std::string(bytes.begin(), bytes.end()), now));
    }
  }

  absl::Time Tick() {
    SendAll(model_.OnTick(SteadyNow()));
    for (const std::string& id : model_.TakeRuns()) {
      // Flushed, so that the record outlives a kill.
      runs_ << id << std::endl;
    }
    return model_.NextDeadline();
  }

  void SendAll(const std::vector<outgoing_datagram>& datagrams) {
    for (const outgoing_datagram& datagram : datagrams) {
      if (lost_.count(datagram.remote) != 0) {
        continue;
      }
      if (sent_.full()) {
        socket_.Send(&sent_);
      }
      sent_.Add(datagram.remote)
          ->assign(datagram.bytes.begin(), datagram.bytes.end());
    }
    socket_.Send(&sent_);
  }

  upstream_model model_;
  std::ofstream runs_;
  event_loop loop_;
  udp_socket socket_;
  datagram_batch received_;
  datagram_batch sent_;
  std::atomic<bool> losing_track_{false};
  std::set<endpoint> seen_;
  std::set<endpoint> lost_;
};

upstream_server* running = nullptr;

void StopOnSignal(int /*signal*/) { running->Stop(); }

void LoseTrackOnSignal(int /*signal*/) { running->LoseTrack(); }

int Main(int argc, char** argv) {
  upstream_options options;
  if (!ReadOptions(argc, argv, &options)) {
    std::fputs(kUsage, stderr);
    return 2;
  }
  upstream_server server(options);
  const auto opened = server.Open(options.listen);
  if (opened.has_error()) {
    std::fprintf(stderr, "%s\n", Describe(opened.error()).c_str());
    return 1;
  }
  running = &server;
  std::signal(SIGTERM, StopOnSignal);
  std::signal(SIGINT, StopOnSignal);
  std::signal(SIGUSR1, LoseTrackOnSignal);
  server.Run();
  return 0;
}

}  // namespace
}  // namespace cardamomroute::load

int main(int argc, char** argv) {
  return cardamomroute::load::Main(argc, argv);
}
