// Converts configurations and patches from and to JSON documents.
#ifndef ROSEMARYREACH_CONFIG_CONFIG_DOCUMENT_H_
#define ROSEMARYREACH_CONFIG_CONFIG_DOCUMENT_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "rosemaryreach/config.h"
#include "rosemaryreach/config_json.h"
#include "rosemaryreach/patch.h"

namespace rosemaryreach {

// Checks `document` against the schema and parses it; doesn't call
// CheckRules().
configuration_check ReadDocument(const nlohmann::json& document);

// Returns the canonical document of `config` without its services.
nlohmann::json GlobalSectionsToJson(const configuration& config);

// Reads a published patch; kInvalidJson if its checksum is wrong,
// kSchemaViolation if it violates the schema.
result<patch> ReadPatch(const nlohmann::json& document);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONFIG_CONFIG_DOCUMENT_H_
