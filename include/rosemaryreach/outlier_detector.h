// Ejects targets that answer much slower than others of their service, or that
// refuse requests, by the evidence of this instance alone.
#ifndef ROSEMARYREACH_OUTLIER_DETECTOR_H_
#define ROSEMARYREACH_OUTLIER_DETECTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rosemaryreach/flow_tracker.h"
#include "rosemaryreach/response_times.h"
#include "rosemaryreach/target_directory.h"
#include "rosemaryreach/wait_estimator.h"

namespace rosemaryreach {

// A target this many times slower than the median of its service is an outlier.
inline constexpr double kOutlierFactor = 3;
// Answers that this instance must have had of an outlier lately.
inline constexpr double kOutlierAnswers = 6;
// Fast answers in a row after which a target is taken to refuse requests. Work
// times that vary exponentially give them by chance once in a million answers.
inline constexpr std::uint32_t kOutlierRefusals = 6;
// Part of the targets of a service that may be ejected; one in any case.
inline constexpr double kMaxEjectedShare = 0.2;
// If more than this part of the targets refuse requests, the service does.
inline constexpr double kServiceFailsShare = 1.0 / 3;
// The targets that are left must bear the load times this.
inline constexpr double kEjectionHeadroom = 1.25;
// How long a target is ejected first; doubled each time, if that is soon again.
inline constexpr duration kFirstEjection = std::chrono::seconds(2);
inline constexpr duration kMaxEjection = std::chrono::seconds(30);

// A target that was ejected or has returned, and why.
struct outlier_change {
  target_index target = kNoTarget;
  bool ejected = false;
  const char* reason = "";
  double speed = 1;
  double usual_speed = 1;  // median of the service
  double answers = 0;
  duration ejected_for{};
};

class outlier_detector {
 public:
  outlier_detector(const target_directory& directory,
                   flow_tracker& tracker,
                   response_times& times,
                   const wait_estimator& waits);

  // Returns targets whose time is over and ejects others. Call it a few times a
  // second.
  std::vector<outlier_change> Update(time_point now);

  bool Ejected(target_index target) const;
  std::size_t ejected() const;

 private:
  struct record {
    target_index target = kNoTarget;
    time_point until{};  // of the last ejection
    duration length{};
    bool ejected = false;
  };

  // What an ejection is decided by, for the targets of one service.
  struct service_state {
    std::vector<outlier_change> outliers;  // slowest first
    std::size_t targets = 0;
    std::size_t ejected = 0;
    double capacity = 0;  // requests at a time that the others can run
    double in_flight = 0;
  };

  void ReturnDue(time_point now, std::vector<outlier_change>& changes);
  service_state Evaluate(const std::string& service, time_point now) const;
  void Eject(const outlier_change& outlier,
             service_state& state,
             time_point now,
             std::vector<outlier_change>& changes);

  const target_directory& directory_;
  flow_tracker& tracker_;
  response_times& times_;
  const wait_estimator& waits_;
  std::map<std::uint32_t, record> records_;  // by cookie
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_OUTLIER_DETECTOR_H_
