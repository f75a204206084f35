#include "control/submission_reader.h"

#include <cstdint>
#include <string>
#include <utility>

#include "services/service_text.h"

namespace cardamomroute::control {
namespace {

inner::service_definition ToDefinition(const service_text& service) {
  inner::service_definition definition;
  definition.set_name(service.name);
  definition.set_address(ToString(service.address));
  definition.set_protocol(static_cast<uint32_t>(service.protocol));
  for (const call_text& call : service.calls) {
    inner::call_record* record = definition.add_calls();
    record->set_name(call.name);
    record->set_method(call.method);
    record->set_path(call.path);
    record->set_urgency(static_cast<uint32_t>(call.carried_urgency));
    record->set_idempotent(call.idempotent);
    record->set_timeout_ms(call.timeout_ms);
  }
  for (const std::string& name : service.depends_on) {
    definition.add_depends_on(name);
  }
  return definition;
}

inner::submit_text ToSubmission(const services_text& parsed,
                                const inner::operator_request& request) {
  inner::submit_text submission;
  submission.set_text(CanonicalForm(parsed));
  submission.set_digest(DigestOf(submission.text()));
  submission.set_base_version(request.base_version());
  submission.set_base_digest(request.base_digest());
  submission.set_submission_id(request.submission_id());
  for (const service_text& service : parsed.services) {
    *submission.add_services() = ToDefinition(service);
  }
  return submission;
}

}  // namespace

checked_result<inner::submit_text> ReadSubmission(
    const inner::operator_request& request) {
  auto parsed = ParseServices("text", request.text());
  if (parsed.has_error()) {
    return std::move(parsed).error();
  }
  return ToSubmission(parsed.value(), request);
}

}  // namespace cardamomroute::control
