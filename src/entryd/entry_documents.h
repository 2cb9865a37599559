// JSON documents that an entry instance serves to operators.
#ifndef ROSEMARYREACH_ENTRYD_ENTRY_DOCUMENTS_H_
#define ROSEMARYREACH_ENTRYD_ENTRY_DOCUMENTS_H_

#include <nlohmann/json.hpp>

#include "adapters/admin_server.h"
#include "entryd/store_sync.h"
#include "rosemaryreach/entry_types.h"
#include "rosemaryreach/packet_director.h"

namespace rosemaryreach {

// The components of an instance that the documents describe.
struct entry_components {
  const entry_settings& settings;
  const std::string& build;
  const store_sync& sync;
  const target_directory& directory;
  const flow_tracker& tracker;
  const target_picker& picker;
  const packet_director& director;
};

// Returns the version and age of the view, the state of the store and the
// peers.
nlohmann::json StatusDocument(const entry_components& components,
                              const readiness& state);

// Returns all targets with their state, the reason for it and their load.
nlohmann::json TargetsDocument(const entry_components& components);

// Returns the decision on the next packet of a flow, the rule behind it and
// the age of the view. Errors: kUnsupported unless both addresses are IPv4,
// kNotFound if no route to the destination uses the service asked for.
result<nlohmann::json> FlowExplanationDocument(
    const entry_components& components,
    const view_freshness& freshness,
    const flow_query& question);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRYD_ENTRY_DOCUMENTS_H_
