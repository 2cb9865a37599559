// Refuses less urgent flows of a service while its targets can't serve all of
// them in time. Answers load far over the capacity of a service, which would
// have the targets reject urgent and less urgent requests alike.
#ifndef ROSEMARYREACH_OVERLOAD_GUARD_H_
#define ROSEMARYREACH_OVERLOAD_GUARD_H_

#include <cstdint>
#include <map>
#include <string>

#include "rosemaryreach/entry_types.h"

namespace rosemaryreach {

// A kind of request counts as present if it has this share of the new flows of
// its service; idle routes and test flows may declare any priority.
inline constexpr double kMinKindShare = 0.04;
// Requests for each slot above which a service is over capacity if half of its
// answers take half of the latency objective of the flow.
inline constexpr double kLateQueue = 2;
// The same if half of its answers take kSlowFactor times as long as usual. Full
// targets reject requests at once, so answers may be quick for the objective.
// The queue of a data centre from which flows spill over is overestimated.
inline constexpr double kSlowQueue = 6;
inline constexpr double kSlowFactor = 2;

class overload_guard {
 public:
  // Records a new flow; not for copies of its first packet.
  void OnOffered(const std::string& service, const entry_route& route);

  // Records the time from a request to the first part of its answer.
  void OnAnswered(const std::string& service, duration elapsed);

  // Returns whether to refuse a new flow of `route` that would find this many
  // requests for each slot of the service. Never true for the most urgent kind,
  // or where the route declares no priority or latency objective.
  bool Refuses(const std::string& service,
               const entry_route& route,
               double queue) const;

 private:
  struct service_state {
    std::map<std::uint32_t, double> shares;  // of new flows, by priority
    std::uint32_t answers = 0;               // up to the number that is needed
    double median_s = 0;                     // of recent answers
    double usual_s = 0;                      // the lowest median of some time
  };

  std::map<std::string, service_state> services_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_OVERLOAD_GUARD_H_
