#include "requests/call_matcher.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace cardamomroute {
namespace {

struct method_row {
  std::string_view name;
  uint8_t code;
  bool idempotent;
};

constexpr std::array<method_row, 7> kMethods = {{
    {"GET", kGetCode, true},
    {"POST", kPostCode, false},
    {"PUT", kPutCode, true},
    {"DELETE", kDeleteCode, true},
    {"FETCH", kFetchCode, true},
    {"PATCH", kPatchCode, false},
    {"iPATCH", kIpatchCode, true},
}};

constexpr uint32_t kDefaultTimeoutMs = 30000;

uint8_t MethodCode(std::string_view name) {
  const auto* row =
      std::find_if(kMethods.begin(), kMethods.end(),
                   [name](const method_row& m) { return m.name == name; });
  return row == kMethods.end() ? kEmptyCode : row->code;
}

bool IsPathPrefix(std::string_view prefix, std::string_view path) {
  if (prefix == "/" || prefix.empty()) {
    return true;
  }
  return path.substr(0, prefix.size()) == prefix &&
         (path.size() == prefix.size() || path[prefix.size()] == '/' ||
          prefix.back() == '/');
}

std::vector<call_kind> DefaultCalls() {
  std::vector<call_kind> calls;
  for (const method_row& method : kMethods) {
    call_kind call;
    call.name = std::string(method.name);
    call.method = std::string(method.name);
    call.path = "/";
    call.idempotent = method.idempotent;
    calls.push_back(std::move(call));
  }
  return calls;
}

}  // namespace

call_matcher::call_matcher() { SetCalls({}); }

void call_matcher::SetCalls(std::vector<call_kind> calls) {
  if (calls.empty()) {
    calls = DefaultCalls();
  }
  for (call_entry& call : calls_) {
    call.is_active = false;
  }
  for (call_kind& call : calls) {
    if (call.timeout_ms == 0) {
      call.timeout_ms = kDefaultTimeoutMs;
    }
    Add(std::move(call));
  }
}

void call_matcher::Add(call_kind kind) {
  const uint8_t method = MethodCode(kind.method);
  for (call_entry& call : calls_) {
    if (call.method == method && call.kind.path == kind.path) {
      call = {std::move(kind), method, true};
      return;
    }
  }
  calls_.push_back({std::move(kind), method, true});
}

call_match call_matcher::Match(const coap_message& request) const {
  const std::string path = UriPath(request);
  call_match match;
  size_t longest = 0;
  for (size_t i = 0; i < calls_.size(); ++i) {
    const call_entry& call = calls_[i];
    if (!call.is_active || !IsPathPrefix(call.kind.path, path)) {
      continue;
    }
    if (call.method != request.code) {
      if (match.verdict == match_verdict::kPathUnknown) {
        match.verdict = match_verdict::kMethodUnknown;
      }
      continue;
    }
    if (match.verdict != match_verdict::kMatched ||
        call.kind.path.size() > longest) {
      match = {match_verdict::kMatched, i};
      longest = call.kind.path.size();
    }
  }
  return match;
}

}  // namespace cardamomroute
