#include "load/caller_fleet.h"

#include <coap3/coap.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <string_view>
#include <utility>

#include "absl/time/clock.h"
#include "base/concat.h"
#include "cardamomroute/socket_address.h"
#include "cardamomroute/steady_time.h"

namespace cardamomroute::load {
namespace {

constexpr std::string_view kIdPrefix = "id=";
constexpr uint32_t kIoSliceMs = 2;
constexpr int kClassSuccess = 2;
// Of a block; never the end of a request (RFC 7959, section 2.9.1).
constexpr int kContinueAnswer = 231;
constexpr int kNotRunCode = 503;
constexpr int kUnknownCode = 504;
constexpr coap_fixed_point_t kAckTimeout = {1, 0};
// An observation that was silent for this long has broken.
constexpr absl::Duration kLongestSilence = absl::Seconds(4);

caller_fleet* FleetOf(coap_session_t* session) {
  return static_cast<caller_fleet*>(coap_session_get_app_data(session));
}

coap_response_t HandleResponse(coap_session_t* session,
                               const coap_pdu_t* /*sent*/,
                               const coap_pdu_t* received,
                               coap_mid_t /*message_id*/) {
  FleetOf(session)->OnResponse(session, received);
  return COAP_RESPONSE_OK;
}

void HandleNack(coap_session_t* session, const coap_pdu_t* /*sent*/,
                coap_nack_reason_t reason, coap_mid_t /*message_id*/) {
  if (reason == COAP_NACK_TOO_MANY_RETRIES || reason == COAP_NACK_RST) {
    FleetOf(session)->OnGivenUp(session);
  }
}

coap_address_t ToCoapAddress(const endpoint& value) {
  coap_address_t address;
  coap_address_init(&address);
  if (IsIpv4(value)) {
    address.size = sizeof(address.addr.sin);
    address.addr.sin.sin_family = AF_INET;
    address.addr.sin.sin_port = htons(value.port);
    std::memcpy(&address.addr.sin.sin_addr, value.ip.data() + 12, 4);
  } else {
    address.size = sizeof(address.addr.sin6);
    address.addr.sin6 = ToSocketAddress(value);
  }
  return address;
}

/// For example 127.0.0.1:40000.
std::string LocalAddress(const coap_session_t* session) {
  std::array<unsigned char, 64> text{};
  const size_t length = coap_print_addr(coap_session_get_addr_local(session),
                                        text.data(), text.size());
  return {reinterpret_cast<const char*>(text.data()), length};
}

/// For example 503 for 5.03.
int CodeOf(const coap_pdu_t* received) {
  const int code = coap_pdu_get_code(received);
  return (code >> 5) * 100 + (code & 31);
}

std::string TokenOf(const coap_pdu_t* received) {
  const coap_bin_const_t token = coap_pdu_get_token(received);
  return {reinterpret_cast<const char*>(token.s), token.length};
}

std::string_view BodyOf(const coap_pdu_t* received) {
  size_t length = 0;
  size_t offset = 0;
  size_t total = 0;
  const uint8_t* data = nullptr;
  if (coap_get_data_large(received, &length, &data, &offset, &total) == 0) {
    return {};
  }
  return {reinterpret_cast<const char*>(data), length};
}

bool Contains(std::string_view text, const std::string& part) {
  return text.find(part) != std::string_view::npos;
}

void AddOption(coap_pdu_t* pdu, uint16_t number, std::string_view value) {
  coap_add_option(pdu, number, value.size(),
                  reinterpret_cast<const uint8_t*>(value.data()));
}

}  // namespace

caller_fleet::caller_fleet(const caller_plan& plan)
    : plan_(plan), sessions_(plan.sessions) {}

caller_fleet::~caller_fleet() {
  for (caller_session& caller : sessions_) {
    if (caller.session != nullptr) {
      coap_session_release(caller.session);
    }
  }
  if (context_ != nullptr) {
    coap_free_context(context_);
  }
  coap_cleanup();
}

bool caller_fleet::Open() {
  coap_startup();
  coap_set_log_level(LOG_EMERG);
  context_ = coap_new_context(nullptr);
  if (context_ == nullptr) {
    return false;
  }
  coap_context_set_block_mode(context_,
                              COAP_BLOCK_USE_LIBCOAP | COAP_BLOCK_SINGLE_BODY);
  coap_register_response_handler(context_, HandleResponse);
  coap_register_nack_handler(context_, HandleNack);
  const coap_address_t server = ToCoapAddress(plan_.service_address);
  for (caller_session& caller : sessions_) {
    caller.session =
        coap_new_client_session(context_, nullptr, &server, COAP_PROTO_UDP);
    if (caller.session == nullptr) {
      return false;
    }
    coap_session_set_app_data(caller.session, this);
    coap_session_set_ack_timeout(caller.session, kAckTimeout);
  }
  return true;
}

void caller_fleet::Run() {
  const absl::Time start = SteadyNow();
  const absl::Time stop = start + absl::Seconds(plan_.seconds);
  double due = 0;
  absl::Time now = start;
  while (now < stop || AnyUnderWay()) {
    const double elapsed = absl::ToDoubleSeconds(std::min(now, stop) - start);
    for (; due < elapsed * plan_.requests_per_second; ++due) {
      SendNext(now);
    }
    coap_io_process(context_, kIoSliceMs);
    now = SteadyNow();
    GiveUpOverdue(now);
  }
  CountSilentObservations(now);
}

caller_fleet::caller_session* caller_fleet::Find(coap_session_t* session) {
  const auto found = std::find_if(sessions_.begin(), sessions_.end(),
                                  [session](const caller_session& caller) {
                                    return caller.session == session;
                                  });
  return found != sessions_.end() ? &*found : nullptr;
}

void caller_fleet::SendNext(absl::Time now) {
  for (size_t tried = 0; tried < sessions_.size(); ++tried) {
    caller_session& caller = sessions_[next_session_];
    next_session_ = (next_session_ + 1) % sessions_.size();
    if (caller.request_id.empty() && !caller.observing) {
      Send(&caller, now);
      return;
    }
  }
  counts_.AddSkipped();
}

void caller_fleet::Send(caller_session* caller, absl::Time now) {
  const call_script& script = *plan_.script;
  coap_pdu_t* pdu = coap_pdu_init(COAP_MESSAGE_CON,
                                  static_cast<coap_pdu_code_t>(script.method),
                                  coap_new_message_id(caller->session),
                                  coap_session_max_pdu_size(caller->session));
  std::array<uint8_t, 8> token{};
  size_t token_bytes = 0;
  coap_session_new_token(caller->session, &token_bytes, token.data());
  coap_add_token(pdu, token_bytes, token.data());
  caller->token.assign(reinterpret_cast<const char*>(token.data()),
                       token_bytes);
  caller->request_id =
      Concat(script.name, "-", plan_.seed, "-", next_request_++);
  if (script.observe) {
    AddOption(pdu, COAP_OPTION_OBSERVE, "");
  }
  AddOption(pdu, COAP_OPTION_URI_PATH, plan_.path);
  AddOption(pdu, COAP_OPTION_URI_QUERY, Concat("id=", caller->request_id));
  const std::string body(script.body_bytes, 'x');
  if (!body.empty()) {
    // Small bodies are copied at once, large ones must outlive this call.
    auto* kept = new std::string(body);
    coap_add_data_large_request(
        caller->session, pdu, kept->size(),
        reinterpret_cast<const uint8_t*>(kept->data()),
        [](coap_session_t*, void* owned) {
          delete static_cast<std::string*>(owned);
        },
        kept);
  }
  caller->sent_at = now;
  caller->give_up_at = now + absl::Seconds(plan_.patience_seconds);
  coap_send(caller->session, pdu);
}

std::string caller_fleet::IdIn(const coap_pdu_t* received) {
  const std::string body(BodyOf(received));
  const size_t from = body.find(kIdPrefix);
  if (from == std::string::npos) {
    return "";
  }
  const size_t id = from + kIdPrefix.size();
  return body.substr(id, body.find(' ', id) - id);
}

bool caller_fleet::IsLate(const caller_session& caller,
                          const coap_pdu_t* received) {
  // An answer that names a request of somebody else is judged all the same.
  const std::string id = IdIn(received);
  return TokenOf(received) != caller.token &&
         (id.empty() || caller.past_ids.count(id) != 0);
}

bool caller_fleet::IsRepeat(const caller_session& caller,
                            const coap_pdu_t* received) {
  // libcoap passes on a response that came twice (RFC 7252, section 4.2).
  return caller.past_ids.count(IdIn(received)) != 0;
}

outcome caller_fleet::Judge(const caller_session& caller,
                            const coap_pdu_t* received) const {
  const int number = CodeOf(received);
  if (number == kNotRunCode) {
    return outcome::kNotRun;
  }
  if (number == kUnknownCode) {
    return outcome::kUnknown;
  }
  if (number / 100 != kClassSuccess) {
    return outcome::kRefused;
  }
  const std::string_view body = BodyOf(received);
  if (!Contains(body, Concat("id=", caller.request_id, " "))) {
    return outcome::kCrossed;
  }
  if (!Contains(body, Concat("service=", plan_.service_name, " "))) {
    return outcome::kWrongService;
  }
  return outcome::kAnswered;
}

void caller_fleet::OnResponse(coap_session_t* session,
                              const coap_pdu_t* received) {
  caller_session* caller = Find(session);
  if (caller == nullptr) {
    return;
  }
  const absl::Time now = SteadyNow();
  if (caller->observing) {
    counts_.AddNotification();
    caller->last_notification = now;
    return;
  }
  if (caller->request_id.empty()) {
    return;
  }
  if (CodeOf(received) == kContinueAnswer || IsLate(*caller, received) ||
      IsRepeat(*caller, received)) {
    return;
  }
  counts_.AddCode(CodeOf(received));
  const outcome judged = Judge(*caller, received);
  if (plan_.script->observe && judged == outcome::kAnswered) {
    caller->observing = true;
    caller->last_notification = now;
  }
  Finish(caller, judged, received);
}

void caller_fleet::OnGivenUp(coap_session_t* session) {
  caller_session* caller = Find(session);
  if (caller != nullptr && !caller->request_id.empty()) {
    Finish(caller, outcome::kLost, /*received=*/nullptr);
  }
}

void caller_fleet::Finish(caller_session* caller, outcome value,
                          const coap_pdu_t* received) {
  const absl::Time ended_at = absl::Now();
  ended_request ended{caller->request_id, LocalAddress(caller->session),
                      ended_at - (SteadyNow() - caller->sent_at), ended_at};
  if (received != nullptr) {
    ended.code = CodeOf(received);
    ended.has_token = TokenOf(received) == caller->token;
  }
  counts_.Add(value, ended);
  caller->past_ids.insert(std::exchange(caller->request_id, ""));
  caller->give_up_at = absl::InfiniteFuture();
}

void caller_fleet::GiveUpOverdue(absl::Time now) {
  for (caller_session& caller : sessions_) {
    if (caller.give_up_at <= now) {
      Finish(&caller, outcome::kLost, /*received=*/nullptr);
    }
  }
}

bool caller_fleet::AnyUnderWay() const {
  return std::any_of(
      sessions_.begin(), sessions_.end(),
      [](const caller_session& caller) { return !caller.request_id.empty(); });
}

void caller_fleet::CountSilentObservations(absl::Time now) {
  for (const caller_session& caller : sessions_) {
    if (caller.observing && caller.last_notification + kLongestSilence < now) {
      counts_.AddBrokenObservation();
    }
  }
}

}  // namespace cardamomroute::load
