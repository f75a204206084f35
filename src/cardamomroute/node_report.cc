#include "cardamomroute/node_report.h"

#include <nlohmann/json.hpp>

#include "base/metrics.h"

namespace cardamomroute {
namespace {

constexpr char kOk[] = "ok";
constexpr char kStatus[] = "status";

std::string StatusJson(const inner::pull_request& announcement,
                       uint64_t version, bool is_whole,
                       const std::vector<const metrics*>& measured) {
  nlohmann::ordered_json status;
  status["role"] = announcement.has_announced_balancer() ? "balancer" : "agent";
  status["name"] = announcement.node_name();
  status["view_version"] = version;
  status["whole_view"] = is_whole;
  status["incarnation"] = announcement.incarnation();
  status["metrics"] = ToJson(SumOf(measured));
  return status.dump();
}

}  // namespace

result<inner::control_answer> AnswerOperation(
    const inner::operator_request& request,
    const inner::pull_request& announcement, uint64_t version, bool is_whole,
    const std::vector<const metrics*>& measured) {
  if (request.command() != kStatus) {
    return error{error_kind::kUsage, request.command(), "no such command"};
  }
  inner::control_answer answer;
  answer.mutable_operation()->set_code(kOk);
  answer.mutable_operation()->set_status_json(
      StatusJson(announcement, version, is_whole, measured));
  return answer;
}

}  // namespace cardamomroute
