// Counts what this instance reports of its own load, from the hooks of the flow
// tracker. Only targets that were in use since the last report are looked at.
#ifndef ROSEMARYREACH_ENTRY_OWN_LOAD_COUNTER_H_
#define ROSEMARYREACH_ENTRY_OWN_LOAD_COUNTER_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <vector>

#include "rosemaryreach/flow_tracker.h"
#include "rosemaryreach/load_exchange.h"
#include "rosemaryreach/target_directory.h"

namespace rosemaryreach {

class own_load_counter {
 public:
  own_load_counter(const target_directory& directory,
                   const flow_tracker& tracker)
      : directory_(directory), tracker_(tracker) {}

  void OnInFlightChanged(target_index target) { Touch(target); }
  void OnAnswered(target_index target, duration elapsed);
  // A request got no answer, and its data was sent again.
  void OnStalled(target_index target, time_point now);
  void OnOffered(const std::string& service);
  // The index of a target may be reused.
  void OnRemoved(target_index target);

  // Returns the load since the last call; nothing if no request is in flight,
  // unanswered or was answered, and no first packet was offered.
  own_load Collect(time_point now);

 private:
  struct counts {
    bool touched = false;
    std::uint32_t answers = 0;
    std::uint32_t response_ms = 0;
    std::uint32_t stalled = 0;
    time_point stalled_at{};  // the last one
  };

  counts& Touch(target_index target);
  target_figures FiguresOf(target_index target, time_point now);

  const target_directory& directory_;
  const flow_tracker& tracker_;
  std::vector<counts> counts_;                                 // by target
  std::vector<target_index> touched_;                          // targets in use
  absl::flat_hash_map<std::uint32_t, std::uint32_t> offered_;  // by service
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRY_OWN_LOAD_COUNTER_H_
