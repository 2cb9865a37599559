// What an entry instance tells operators who ask, as JSON.
#ifndef ROSEMARYREACH_ENTRYD_ENTRY_DOCUMENTS_H_
#define ROSEMARYREACH_ENTRYD_ENTRY_DOCUMENTS_H_

#include <nlohmann/json.hpp>

#include "adapters/admin_server.h"
#include "entryd/store_sync.h"
#include "rosemaryreach/entry_types.h"
#include "rosemaryreach/packet_director.h"

namespace rosemaryreach {

// The parts of an instance that the answers are taken from.
struct entry_components {
  const entry_settings& settings;
  const store_sync& sync;
  const target_directory& directory;
  const flow_tracker& ledger;
  const target_picker& picker;
  const packet_director& director;
};

// Returns the version and age of what is known, the store's state and peers.
nlohmann::json StatusDocument(const entry_components& components,
                              const readiness& state);

// Returns every target with its state, the reason for it and its load.
nlohmann::json TargetsDocument(const entry_components& components);

// Returns what would happen to the next packet of a flow, by which rule, and
// how old the knowledge is that decides it. kUnsupported if the flow has no
// IPv4 addresses, kNotFound if the question names a service that is not
// behind the destination.
result<nlohmann::json> FlowExplanationDocument(
    const entry_components& components,
    const view_freshness& trust,
    const flow_question& question);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRYD_ENTRY_DOCUMENTS_H_
