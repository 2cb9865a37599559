#include "config/schema_check.h"

#include <string>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "config/json_text.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;
using adapter = valijson::adapters::NlohmannJsonAdapter;

// A location in a document and the subschema that describes it.
struct schema_location {
  json::json_pointer pointer;
  const json* value = nullptr;
  const json* schema = nullptr;
};

const json* ResolveReference(const json& root, const json* schema) {
  if (schema == nullptr || !schema->is_object() || !schema->contains("$ref")) {
    return schema;
  }
  const std::string reference = schema->at("$ref").get<std::string>();
  return &root.at(json::json_pointer(reference.substr(1)));
}

const json* SchemaOfMember(const json* schema, const std::string& name) {
  if (schema == nullptr || !schema->is_object()) {
    return nullptr;
  }
  const auto properties = schema->find("properties");
  if (properties != schema->end() && properties->contains(name)) {
    return &properties->at(name);
  }
  for (const char* keyword : {"additionalProperties", "items"}) {
    const auto found = schema->find(keyword);
    if (found != schema->end() && found->is_object()) {
      return &*found;
    }
  }
  return nullptr;
}

// Follows valijson's context, whose steps are "<root>", "[name]" or "[index]".
schema_location Locate(const json& root,
                       const json& document,
                       const std::vector<std::string>& context) {
  schema_location location{json::json_pointer(), &document, &root};
  for (std::size_t i = 1; i < context.size(); ++i) {
    const std::string name = context[i].substr(1, context[i].size() - 2);
    location.schema =
        ResolveReference(root, SchemaOfMember(location.schema, name));
    location.pointer /= name;
    if (location.value != nullptr) {
      const bool known = document.contains(location.pointer);
      location.value = known ? &document.at(location.pointer) : nullptr;
    }
  }
  return location;
}

std::string DescribeBounds(const json& schema,
                           const char* lowest,
                           const char* highest) {
  std::string text;
  if (schema.contains(lowest)) {
    text += " from " + schema.at(lowest).dump();
  }
  if (schema.contains(highest)) {
    text += " to " + schema.at(highest).dump();
  }
  return text;
}

// Returns a description of the values that `schema` accepts.
std::string Describe(const json* schema) {
  if (schema == nullptr || !schema->is_object()) {
    return "nothing here";
  }
  if (schema->contains("description")) {
    return schema->at("description").get<std::string>();
  }
  if (schema->contains("enum")) {
    return "one of " + schema->at("enum").dump();
  }
  const std::string type = schema->value("type", "value");
  if (type == "integer") {
    return "an integer" + DescribeBounds(*schema, "minimum", "maximum");
  }
  if (type == "string") {
    const std::string bounds =
        DescribeBounds(*schema, "minLength", "maxLength");
    return "a string" + (bounds.empty() ? "" : " of length" + bounds);
  }
  if (type == "array") {
    return "an array with items" +
           DescribeBounds(*schema, "minItems", "maxItems");
  }
  return "an object with members as the schema lists them";
}

bool IsDerivedError(const std::string& description) {
  return description.starts_with("Failed to validate");
}

// valijson quotes the name of a missing or unknown member.
std::string QuotedName(const std::string& description) {
  const std::size_t first =
      description.rfind('\'', description.rfind('\'') - 1);
  const std::size_t last = description.rfind('\'');
  return description.substr(first + 1, last - first - 1);
}

error ToError(const json& root,
              const json& document,
              const valijson::ValidationResults::Error& found) {
  schema_location location = Locate(root, document, found.context);
  std::string detail;
  if (found.description.starts_with("Missing required property")) {
    const std::string name = QuotedName(found.description);
    location.schema =
        ResolveReference(root, SchemaOfMember(location.schema, name));
    location.pointer /= name;
    detail = "got nothing, expected " + Describe(location.schema);
  } else if (found.description.starts_with("Object contains a property")) {
    location.pointer /= QuotedName(found.description);
    detail = "got an unknown member, expected none of that name";
  } else {
    detail = "got " +
             (location.value == nullptr ? "nothing"
                                        : DescribeValue(*location.value)) +
             ", expected " + Describe(location.schema);
  }
  return {errc::kSchemaViolation, location.pointer.to_string(), detail};
}

}  // namespace

struct json_schema::compiled {
  valijson::Schema schema;
};

json_schema::json_schema(std::string_view text)
    : text_(json::parse(text)), compiled_(std::make_unique<compiled>()) {
  valijson::SchemaParser parser;
  parser.populateSchema(adapter(text_), compiled_->schema);
}

json_schema::~json_schema() = default;

std::vector<error> json_schema::Check(const json& document) const {
  valijson::Validator validator;
  valijson::ValidationResults results;
  std::vector<error> errors;
  if (validator.validate(compiled_->schema, adapter(document), nullptr)) {
    return errors;
  }
  validator.validate(compiled_->schema, adapter(document), &results);
  for (const valijson::ValidationResults::Error& found : results) {
    if (!IsDerivedError(found.description)) {
      errors.push_back(ToError(text_, document, found));
    }
  }
  if (errors.empty()) {
    errors.push_back({errc::kSchemaViolation, "", "violates the schema"});
  }
  return errors;
}

}  // namespace rosemaryreach
