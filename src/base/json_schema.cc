#include "base/json_schema.h"

#include <nlohmann/json.hpp>
#include <string>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "base/concat.h"
#include "base/fault_list.h"

namespace cardamomroute {
namespace {

using nlohmann::json;
using valijson::adapters::NlohmannJsonAdapter;
using pointer = nlohmann::json::json_pointer;

/// One compiled schema.
class validator {
 public:
  /// `schema` outlives the validator.
  explicit validator(const json& schema) : schema_(schema) {
    valijson::SchemaParser parser(valijson::SchemaParser::kDraft7);
    parser.populateSchema(NlohmannJsonAdapter(schema), rules_);
  }

  /// Adds the faults of `value`, which stands at `at`.
  void Check(const json& value, const pointer& at, fault_list& faults) {
    valijson::ValidationResults results;
    validator_.validate(rules_, NlohmannJsonAdapter(value), &results);
    for (const valijson::ValidationResults::Error& found : results) {
      if (!IsRepeated(found.description)) {
        const pointer inner = ToPointer(found.context);
        faults.Add(error_kind::kSchemaViolation, at / inner,
                   Detail(found.description, RuleAt(inner)));
      }
    }
  }

 private:
  /// The part of the schema for the value at `at`.
  const json& RuleAt(const pointer& at) const {
    const json* rule = &schema_;
    std::vector<std::string> steps;
    for (pointer left = at; !left.empty(); left.pop_back()) {
      steps.push_back(left.back());
    }
    for (auto step = steps.rbegin(); step != steps.rend(); ++step) {
      rule = rule->contains("items") ? &(*rule)["items"]
                                     : &(*rule)["properties"][*step];
    }
    return *rule;
  }

  /// The library's words, but with what is allowed in place of hints at it.
  static std::string Detail(const std::string& description, const json& rule) {
    if (rule.contains("enum")) {
      std::string allowed;
      for (const json& one : rule["enum"]) {
        allowed += Concat(allowed.empty() ? "" : ", ", one.dump());
      }
      return Concat("Not one of ", allowed, ".");
    }
    if (description.find("'type' constraint") != std::string::npos) {
      return Concat("Not of type ", rule["type"].get<std::string>(), ".");
    }
    return description;
  }

  /// Turns the path of a result, "<root>" "[a]" "[0]", into a pointer.
  static pointer ToPointer(const std::vector<std::string>& context) {
    pointer made;
    for (size_t i = 1; i < context.size(); ++i) {
      made.push_back(context[i].substr(1, context[i].size() - 2));
    }
    return made;
  }

  /// True for results that only repeat a fault of an inner value, and for
  /// those about unknown fields, which are reported one by one.
  static bool IsRepeated(const std::string& description) {
    return description.rfind("Failed to validate item", 0) == 0 ||
           description.rfind("Failed to validate against schema", 0) == 0 ||
           description.rfind("Object contains a property", 0) == 0;
  }

  const json& schema_;
  valijson::Schema rules_;
  valijson::Validator validator_;
};

/// Walks a document beside its schema for what is not left to the library.
class schema_walk {
 public:
  explicit schema_walk(fault_list& faults) : faults_(faults) {}

  /// Notes arrays that are longer than allowed.
  void FindLongArrays(const json& value, const json& schema) {
    Walk(value, schema, &schema_walk::NoteLength, &schema_walk::Skip);
  }

  /// Notes members that the schema does not name.
  void FindUnknownFields(const json& value, const json& schema) {
    Walk(value, schema, &schema_walk::Skip, &schema_walk::NoteUnknown);
  }

 private:
  using visitor = void (schema_walk::*)(const json& value, const json& schema);

  void Skip(const json& /*value*/, const json& /*schema*/) {}

  void NoteLength(const json& value, const json& schema) {
    const size_t allowed = schema.value("maxItems", value.size());
    if (value.size() > allowed) {
      faults_.Add(
          error_kind::kSchemaViolation, at_,
          Concat("Array should contain no more than ", allowed, " elements."));
    }
  }

  void NoteUnknown(const json& value, const json& schema) {
    for (const auto& member : value.items()) {
      if (!schema["properties"].contains(member.key()) && !faults_.IsFull()) {
        faults_.Add(error_kind::kSchemaViolation, at_ / member.key(),
                    "There is no such field.");
      }
    }
  }

  void Walk(const json& value, const json& schema, visitor on_array,
            visitor on_object) {
    if (faults_.IsFull()) {
      return;
    }
    if (value.is_array() && schema.contains("items")) {
      (this->*on_array)(value, schema);
      for (size_t i = 0; i < value.size(); ++i) {
        at_.push_back(std::to_string(i));
        Walk(value[i], schema["items"], on_array, on_object);
        at_.pop_back();
      }
    } else if (value.is_object() && schema.contains("properties")) {
      (this->*on_object)(value, schema);
      for (const auto& member : schema["properties"].items()) {
        const auto found = value.find(member.key());
        if (found != value.end()) {
          at_.push_back(member.key());
          Walk(*found, member.value(), on_array, on_object);
          at_.pop_back();
        }
      }
    }
  }

  fault_list& faults_;
  /// Leads to the value that is being visited.
  pointer at_;
};

/// True for an array at the top level whose items have a schema.
bool IsTopLevelArray(const std::string& key, const json& value,
                     const json& schema) {
  const json& properties = schema["properties"];
  const auto rule = properties.find(key);
  return value.is_array() && rule != properties.end() &&
         rule->contains("items");
}

/// Checks a document whose top level holds long arrays one item at a time, so
/// that the library never holds the faults of all of them. Such arrays have
/// no least length.
void CheckByItems(const json& value, const json& schema, fault_list& faults) {
  json frame = json::object();
  for (const auto& member : value.items()) {
    frame[member.key()] = IsTopLevelArray(member.key(), member.value(), schema)
                              ? json::array()
                              : member.value();
  }
  for (const auto& member : schema["properties"].items()) {
    const auto found = value.find(member.key());
    if (found == value.end() ||
        !IsTopLevelArray(member.key(), *found, schema)) {
      continue;
    }
    validator items(member.value()["items"]);
    for (size_t i = 0; i < found->size() && !faults.IsFull(); ++i) {
      items.Check((*found)[i], pointer() / member.key() / i, faults);
    }
  }
  validator(schema).Check(frame, pointer(), faults);
}

}  // namespace

std::vector<error> CheckSchema(const json_text& document, const json& schema) {
  const json& value = document.Value();
  fault_list faults(document);
  schema_walk walk(faults);
  walk.FindLongArrays(value, schema);
  if (!faults.IsEmpty()) {
    return faults.Take();
  }
  if (value.is_object()) {
    CheckByItems(value, schema, faults);
  } else {
    validator(schema).Check(value, pointer(), faults);
  }
  walk.FindUnknownFields(value, schema);
  return faults.Take();
}

}  // namespace cardamomroute
