// Refuses less urgent flows of a service while its targets can't serve all of
// them in time. Answers load far over the capacity of a service, which would
// have the targets reject urgent and less urgent requests alike.
#ifndef ROSEMARYREACH_OVERLOAD_GUARD_H_
#define ROSEMARYREACH_OVERLOAD_GUARD_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rosemaryreach/entry_types.h"

namespace rosemaryreach {

// A kind of request counts as present if it has this share of the new flows of
// its service; idle routes and test flows may declare any priority.
inline constexpr double kMinKindShare = 0.04;
// Requests for each slot above which a service may be over capacity.
inline constexpr double kLateQueue = 2;
// A data centre is over capacity if half of its answers take this share of the
// latency objective of the flow, or are rejections.
inline constexpr double kLateShare = 0.5;
// Full targets reject requests: on open connections at once, in less than this
// share of the usual time, which no request is served in while others queue;
inline constexpr double kRejectedShare = 0.75;
// on new connections after a while, which counts if the queue is long even if
// all other instances send nothing, and from this many times the usual time on.
inline constexpr double kSlowFactor = 2;
// The answers of a data centre tell about its load if there are this many, and
// for so long.
inline constexpr std::uint32_t kMinRecentAnswers = 5;
inline constexpr duration kRecentAnswerTime = std::chrono::seconds(1);

// The load of a service as one instance estimates it from its own flows.
struct service_load_estimate {
  struct data_centre {
    std::string name;
    // Requests for each slot of the usable targets, if only instances of the
    // own data centre send any.
    double queue = 0;
  };
  std::vector<data_centre> data_centres;  // those with usable targets

  // Returns the requests for each slot if instances of all data centres send as
  // many as this one.
  double Queue() const;
  // Returns those if only instances of the own data centre send any.
  double LeastQueue() const;
};

class overload_guard {
 public:
  // Records a new flow; not for copies of its first packet.
  void OnOffered(const std::string& service, const entry_route& route);

  // Records the time from a request to the first part of its answer, which a
  // target in `data_centre` gave.
  void OnAnswered(const std::string& service,
                  const std::string& data_centre,
                  duration elapsed,
                  time_point now);

  // Records the load that a new flow finds.
  void OnLoad(const std::string& service, const service_load_estimate& load);

  // Returns whether to refuse a new flow of `route`. Never true for the most
  // urgent kind, where the route declares no priority or latency objective, or
  // while some data centre answers in time or says nothing: it may have room.
  bool Refuses(const std::string& service,
               const entry_route& route,
               const service_load_estimate& load,
               time_point now) const;

 private:
  // The times of the latest answers of a data centre.
  struct answer_times {
    static constexpr std::size_t kKept = 16;
    std::array<double, kKept> seconds{};
    std::array<time_point, kKept> at{};
    std::size_t next = 0;
  };

  struct service_state {
    std::map<std::uint32_t, double> shares;  // of new flows, by priority
    std::uint32_t answers = 0;               // up to the number that is needed
    double median_s = 0;                     // of recent answers
    double usual_s = 0;                      // the lowest median of some time
    double fast_share = 0;  // of answers in far less, while nothing queues
    bool queues = false;    // by the last estimate
    std::map<std::string, answer_times> data_centres;
  };

  // Returns whether half of the recent answers of a data centre took `slow_s`
  // or were rejections.
  static bool IsFull(const service_state& state,
                     const answer_times& times,
                     double slow_s,
                     time_point now);

  std::map<std::string, service_state> services_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_OVERLOAD_GUARD_H_
