// Submits texts one after the other to a control group and prints what became
// of them. tools/measure control starts the group and adds the figures that
// need processes killed.
//
// usage: cardamomroute-measure-control COUNT SECONDS IP:PORT...
// Ends after COUNT accepted texts or SECONDS, whichever comes first.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "absl/time/time.h"
#include "base/endpoint.h"
#include "load/quantile.h"
#include "load/submission_run.h"

namespace cardamomroute::load {
namespace {

constexpr int kFirstAddress = 3;

void Print(const submission_run& run) {
  std::printf("accepted=%zu\n", run.latencies_ms().size());
  std::printf("refused=%llu\n",
              static_cast<unsigned long long>(run.refused()));  // NOLINT
  std::printf("commit_p50_ms=%.2f\n", Quantile(run.latencies_ms(), 0.5));
  std::printf("commit_p99_ms=%.2f\n", Quantile(run.latencies_ms(), 0.99));
  std::printf("longest_gap_ms=%.0f\n",
              absl::ToDoubleMilliseconds(run.longest_gap()));
}

int Main(int argc, char** argv) {
  std::vector<endpoint> control;
  for (int i = kFirstAddress; i < argc; ++i) {
    const auto address = ParseEndpoint(argv[i]);
    if (!address) {
      return 2;
    }
    control.push_back(address.value());
  }
  if (control.empty()) {
    std::fprintf(stderr, "COUNT SECONDS IP:PORT...\n");
    return 2;
  }
  submission_run run(control);
  run.Run(std::strtoull(argv[1], nullptr, 10),
          absl::Seconds(std::strtod(argv[2], nullptr)));
  Print(run);
  return 0;
}

}  // namespace
}  // namespace cardamomroute::load

int main(int argc, char** argv) {
  return cardamomroute::load::Main(argc, argv);
}
