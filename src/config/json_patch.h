// Applies RFC 6902 operations to a document.
#ifndef ROSEMARYREACH_CONFIG_JSON_PATCH_H_
#define ROSEMARYREACH_CONFIG_JSON_PATCH_H_

#include <nlohmann/json.hpp>

#include "rosemaryreach/result.h"

namespace rosemaryreach {

// Applies `operations`, which passed the schema of patches, to `document`.
// Returns the first error, whose path is that of the operation in the patch;
// `document` is then in an unknown state. Bounds depth and copied size.
result<void> ApplyOperations(const nlohmann::json& operations,
                             nlohmann::json& document);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONFIG_JSON_PATCH_H_
