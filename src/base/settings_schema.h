#ifndef CARDAMOMROUTE_BASE_SETTINGS_SCHEMA_H_
#define CARDAMOMROUTE_BASE_SETTINGS_SCHEMA_H_

#include <string_view>

namespace cardamomroute::internal {

/// JSON schema (draft 7) of a settings file.
inline constexpr std::string_view kSettingsSchema = R"json({
  "type": "object",
  "required": ["name", "zone"],
  "additionalProperties": false,
  "properties": {
    "name": {"type": "string", "minLength": 1, "maxLength": 128},
    "zone": {"type": "string", "minLength": 1, "maxLength": 128},
    "log": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "level": {"enum": ["TRACE", "DEBUG", "INFO", "WARN", "ERROR"]},
        "json": {"type": "boolean"},
        "file": {"type": "string", "maxLength": 4096},
        "rotate_bytes": {"type": "integer", "minimum": 204800,
                         "maximum": 1099511627776},
        "kept_files": {"type": "integer", "minimum": 1, "maximum": 1000}
      }
    },
    "control": {
      "type": "object",
      "required": ["listen", "data_folder", "peers"],
      "additionalProperties": false,
      "properties": {
        "listen": {"type": "string"},
        "data_folder": {"type": "string", "minLength": 1, "maxLength": 4096},
        "peers": {
          "type": "array",
          "minItems": 1,
          "maxItems": 7,
          "items": {
            "type": "object",
            "required": ["name", "address"],
            "additionalProperties": false,
            "properties": {
              "name": {"type": "string", "minLength": 1, "maxLength": 128},
              "address": {"type": "string"}
            }
          }
        },
        "standby": {"type": "boolean"},
        "max_direct_nodes": {"type": "integer", "minimum": 2, "maximum": 4096}
      }
    },
    "balancer": {
      "type": "object",
      "required": ["control", "inner"],
      "additionalProperties": false,
      "properties": {
        "control": {"type": "array", "minItems": 1, "maxItems": 7,
                    "items": {"type": "string"}},
        "inner": {"type": "string"},
        "edge": {"enum": ["direct", "proxied"]},
        "edge_listen": {"type": "string"},
        "edge_return": {"type": "string"},
        "traffic_threads": {"type": "integer", "minimum": 1, "maximum": 256}
      }
    },
    "agent": {
      "type": "object",
      "required": ["control", "inner", "service", "upstream"],
      "additionalProperties": false,
      "properties": {
        "control": {"type": "array", "minItems": 1, "maxItems": 7,
                    "items": {"type": "string"}},
        "inner": {"type": "string"},
        "service": {"type": "string", "minLength": 1, "maxLength": 128},
        "upstream": {"type": "string"},
        "slots": {"type": "integer", "minimum": 1, "maximum": 65535},
        "report_path": {"type": "string", "minLength": 1, "maxLength": 128},
        "deadline_option": {"type": "integer", "minimum": 2048,
                            "maximum": 65534, "multipleOf": 2}
      }
    }
  }
})json";

}  // namespace cardamomroute::internal

#endif  // CARDAMOMROUTE_BASE_SETTINGS_SCHEMA_H_
