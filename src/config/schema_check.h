// Checks JSON documents against a JSON Schema, with readable error messages.
#ifndef ROSEMARYREACH_CONFIG_SCHEMA_CHECK_H_
#define ROSEMARYREACH_CONFIG_SCHEMA_CHECK_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "rosemaryreach/result.h"

namespace rosemaryreach {

// A compiled schema. Terminates the process if the schema itself is invalid.
class json_schema {
 public:
  explicit json_schema(std::string_view text);
  ~json_schema();
  json_schema(const json_schema&) = delete;
  json_schema& operator=(const json_schema&) = delete;

  // Returns every kSchemaViolation in `document`, with JSON pointer, value
  // found and what is expected.
  std::vector<error> Check(const nlohmann::json& document) const;

 private:
  // The schema as compiled by valijson.
  struct compiled;

  nlohmann::json text_;
  std::unique_ptr<compiled> compiled_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONFIG_SCHEMA_CHECK_H_
