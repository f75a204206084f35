#include "requests/request_decision.h"

#include <array>

namespace cardamomroute {
namespace {

constexpr std::array<std::string_view, 14> kDecisionNames = {
    "queued",
    "started",
    "answered",
    "not-run",
    "unknown",
    "refused",
    "challenged",
    "repeat-answered",
    "repeat-attached",
    "forwarded",
    "retried",
    "observation-started",
    "observation-ended",
    "leg-reopened"};

constexpr std::array<std::string_view, 22> kReasonNames = {
    "none",
    "malformed",
    "unknown-call-kind",
    "queue-full",
    "displaced",
    "deadline-unmeetable",
    "deadline-passed",
    "draining",
    "dedup-table-full",
    "echo-absent",
    "echo-stale",
    "echo-forged",
    "echo-reused",
    "other-incarnation",
    "lost-incarnation",
    "upstream-shed",
    "upstream-reset",
    "upstream-gone",
    "leg-lost",
    "transfer-unknown",
    "transfer-changed",
    "caller-gone"};

static_assert(kDecisionNames.size() ==
              static_cast<size_t>(decision_kind::kLegReopened) + 1);
static_assert(kReasonNames.size() ==
              static_cast<size_t>(decision_reason::kCallerGone) + 1);

}  // namespace

std::string_view NameOf(decision_kind kind) {
  return kDecisionNames[static_cast<size_t>(kind)];
}

std::string_view NameOf(decision_reason reason) {
  return kReasonNames[static_cast<size_t>(reason)];
}

}  // namespace cardamomroute
