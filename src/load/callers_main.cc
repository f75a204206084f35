// Stand-in callers: one kind of call to one service at a given rate.
#include <getopt.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <string>

#include "absl/strings/numbers.h"
#include "load/caller_fleet.h"
#include "load/caller_plan.h"

namespace cardamomroute::load {
namespace {

constexpr const char* kUsage =
    "usage: cardamomroute-callers --address IP:PORT --service NAME\n"
    "  --call non_idempotent_call|idempotent_call|observation|upload|download\n"
    "  --path /SEGMENT --report FILE\n"
    "  [--sessions N] [--rate PER_SECOND] [--seconds S] [--patience S]\n"
    "  [--seed N]\n";

bool ReadOption(int flag, const std::string& value, caller_plan* plan) {
  switch (flag) {
    case 'a': {
      auto address = ParseEndpoint(value);
      if (address.has_error()) {
        return false;
      }
      plan->service_address = address.value();
      return true;
    }
    case 's':
      plan->service_name = value;
      return true;
    case 'c':
      plan->script = FindScript(value);
      return plan->script != nullptr;
    case 'u':
      plan->path = value.substr(std::min<size_t>(1, value.size()));
      return value.rfind('/', 0) == 0;
    case 'r':
      plan->report_path = value;
      return true;
    case 'n':
      return absl::SimpleAtoi(value, &plan->sessions) && plan->sessions > 0;
    case 'p':
      return absl::SimpleAtod(value, &plan->requests_per_second);
    case 't':
      return absl::SimpleAtod(value, &plan->seconds);
    case 'w':
      return absl::SimpleAtod(value, &plan->patience_seconds);
    case 'e':
      return absl::SimpleAtoi(value, &plan->seed);
    default:
      return false;
  }
}

bool ReadPlan(int argc, char** argv, caller_plan* plan) {
  const option known[] = {{"address", required_argument, nullptr, 'a'},
                          {"service", required_argument, nullptr, 's'},
                          {"call", required_argument, nullptr, 'c'},
                          {"path", required_argument, nullptr, 'u'},
                          {"report", required_argument, nullptr, 'r'},
                          {"sessions", required_argument, nullptr, 'n'},
                          {"rate", required_argument, nullptr, 'p'},
                          {"seconds", required_argument, nullptr, 't'},
                          {"patience", required_argument, nullptr, 'w'},
                          {"seed", required_argument, nullptr, 'e'},
                          {nullptr, 0, nullptr, 0}};
  int flag = 0;
  while ((flag = getopt_long(argc, argv, "", known, nullptr)) != -1) {
    if (!ReadOption(flag, optarg != nullptr ? optarg : "", plan)) {
      return false;
    }
  }
  return optind == argc && plan->script != nullptr && !plan->path.empty() &&
         plan->service_address.port != 0 && !plan->report_path.empty();
}

int Main(int argc, char** argv) {
  caller_plan plan;
  if (!ReadPlan(argc, argv, &plan)) {
    std::fputs(kUsage, stderr);
    return 2;
  }
  caller_fleet fleet(plan);
  if (!fleet.Open()) {
    std::fputs("cannot open the sessions\n", stderr);
    return 1;
  }
  fleet.Run();
  std::ofstream report(plan.report_path);
  report << fleet.counts().ToJson() << "\n";
  return report.good() ? 0 : 1;
}

}  // namespace
}  // namespace cardamomroute::load

int main(int argc, char** argv) {
  return cardamomroute::load::Main(argc, argv);
}
