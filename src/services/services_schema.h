#ifndef CARDAMOMROUTE_SERVICES_SERVICES_SCHEMA_H_
#define CARDAMOMROUTE_SERVICES_SERVICES_SCHEMA_H_

#include <string_view>

namespace cardamomroute::internal {

/// JSON schema (draft 7) of the operators' text.
inline constexpr std::string_view kServicesSchema = R"json({
  "type": "object",
  "required": ["services"],
  "additionalProperties": false,
  "properties": {
    "services": {
      "type": "array",
      "maxItems": 20000,
      "items": {
        "type": "object",
        "required": ["name", "address", "protocol"],
        "additionalProperties": false,
        "properties": {
          "name": {"type": "string"},
          "address": {"type": "string"},
          "protocol": {"enum": ["datagram", "coap"]},
          "calls": {
            "type": "array",
            "maxItems": 64,
            "items": {
              "type": "object",
              "required": ["name", "method", "path", "class", "idempotent",
                           "timeout_ms"],
              "additionalProperties": false,
              "properties": {
                "name": {"type": "string"},
                "method": {"enum": ["GET", "POST", "PUT", "DELETE", "FETCH",
                                    "PATCH", "iPATCH"]},
                "path": {"type": "string"},
                "class": {"enum": ["critical", "urgent", "ordinary"]},
                "idempotent": {"type": "boolean"},
                "timeout_ms": {"type": "integer", "minimum": 10,
                               "maximum": 3600000}
              }
            }
          },
          "depends_on": {
            "type": "array",
            "maxItems": 256,
            "items": {"type": "string"}
          }
        }
      }
    }
  }
})json";

}  // namespace cardamomroute::internal

#endif  // CARDAMOMROUTE_SERVICES_SERVICES_SCHEMA_H_
