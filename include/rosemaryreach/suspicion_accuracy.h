// Tells from the recent suspicions of a service's targets whether failed probes
// prove that a target is unreachable. A full target answers neither first
// packets nor always TCP connections; then most suspicions are disproved soon.
#ifndef ROSEMARYREACH_SUSPICION_ACCURACY_H_
#define ROSEMARYREACH_SUSPICION_ACCURACY_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "rosemaryreach/flow_tracker.h"
#include "rosemaryreach/target_directory.h"

namespace rosemaryreach {

// Ends of suspicions count for this long.
inline constexpr duration kSuspicionWindow = std::chrono::seconds(2);
// Suspicions that must have been disproved in that time to distrust others.
inline constexpr std::size_t kMinDisproved = 5;
// Evidence that is needed against a target while most suspicions are disproved:
// failed probes in a row, and the time without a sign of life. Full targets
// were reached again within 1 s.
inline constexpr std::uint32_t kDistrustedProbes = 6;
inline constexpr duration kDistrustedSilence = std::chrono::seconds(3);
// A data centre without a sign of life for this long is probably cut off, so
// that suspicions disproved before say nothing about it. The probes of a
// cut-off target take longer to fail.
inline constexpr duration kSilentDataCentre = std::chrono::milliseconds(500);

class suspicion_accuracy {
 public:
  suspicion_accuracy(const target_directory& directory,
                     const flow_tracker& tracker);

  // Records that a target answered, or a probe reached it, after it was
  // suspected since first packets or requests went unanswered.
  void OnDisproved(target_index target, time_point now);

  // Returns whether a suspected target whose last kUnreachableProbes or more
  // probes failed counts as unreachable.
  bool ProvesUnreachable(target_index target, time_point now) const;

  // Returns whether most suspicions of targets of `service` that ended lately
  // were disproved. Pending ones with failed probes count as true.
  bool MostlyDisproved(const std::string& service, time_point now) const;

 private:
  bool DataCentreSilent(const std::string& data_centre, time_point now) const;

  const target_directory& directory_;
  const flow_tracker& tracker_;
  std::map<std::string, std::deque<time_point>> disproved_;  // by service
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_SUSPICION_ACCURACY_H_
