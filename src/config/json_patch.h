// Applies RFC 6902 operations to a document.
#ifndef ROSEMARYREACH_CONFIG_JSON_PATCH_H_
#define ROSEMARYREACH_CONFIG_JSON_PATCH_H_

#include <nlohmann/json.hpp>

#include "rosemaryreach/result.h"

namespace rosemaryreach {

// Applies `operations`, already checked against the patch schema, to
// `document`. Returns the first error with the path of its operation; the state
// of `document` is then unspecified. Limits nesting depth and copied values.
result<void> ApplyOperations(const nlohmann::json& operations,
                             nlohmann::json& document);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONFIG_JSON_PATCH_H_
