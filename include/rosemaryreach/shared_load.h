// What the other instances of the fleet report of the load on targets and
// services. Decisions read it through hooks that return nothing while there are
// no recent reports; they then use the observations of this instance alone.
#ifndef ROSEMARYREACH_SHARED_LOAD_H_
#define ROSEMARYREACH_SHARED_LOAD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Sums over all other instances, for one target.
struct shared_target_load {
  double running = 0;  // requests in flight
  double opening = 0;  // first packets without an answer
  double open = 0;     // open flows
  // First packets and requests left unanswered since the target's last answer
  // to their instance.
  double unanswered = 0;
  duration response_time{};  // mean of recent answers; 0 without any
  duration since_answer = duration::max();  // to any other instance
  duration age{};  // of the reports in the sums, on average
};

// First packets that the instances of one data centre were offered, whether
// they were admitted or not.
struct data_centre_demand {
  std::uint32_t data_centre = 0;  // hash of its name, as in peer_summary
  double offered_per_s = 0;
  std::size_t instances = 0;  // that reported load on the service

  bool operator==(const data_centre_demand&) const = default;
};

// Sums over the fleet, for one service.
struct shared_service_load {
  std::vector<data_centre_demand> demand;  // including this instance
  double in_flight = 0;                    // at all other instances
  duration age{};
};

struct shared_load_hooks {
  // Returns the load of the other instances on the target with this cookie.
  std::function<std::optional<shared_target_load>(std::uint32_t cookie)> target;
  // Returns the load on a service. Allocates memory, so callers ask once in a
  // while and not for each packet.
  std::function<std::optional<shared_service_load>(const std::string& service)>
      service;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_SHARED_LOAD_H_
