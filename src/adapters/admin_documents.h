// JSON documents shared by the admin interface and rosemaryreachctl.
#ifndef ROSEMARYREACH_ADAPTERS_ADMIN_DOCUMENTS_H_
#define ROSEMARYREACH_ADAPTERS_ADMIN_DOCUMENTS_H_

#include <nlohmann/json.hpp>
#include <span>

#include "rosemaryreach/patch_log.h"

namespace rosemaryreach {

// Returns sequence, verdict, number, author, and the reason if there is one.
nlohmann::json VerdictToJson(const entry_outcome& outcome);

// Returns an array, oldest first.
nlohmann::json VerdictsToJson(std::span<const entry_outcome> outcomes);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_ADMIN_DOCUMENTS_H_
