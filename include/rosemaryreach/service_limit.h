// How many requests of one service this instance may have in flight.
#ifndef ROSEMARYREACH_SERVICE_LIMIT_H_
#define ROSEMARYREACH_SERVICE_LIMIT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "rosemaryreach/shared_load.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Requests in flight for each slot of a target: half the objective over the
// work time, within these bounds. With more than 5 a target rejects requests.
inline constexpr double kMinPerSlot = 1.5;
inline constexpr double kMaxPerSlot = 4;
// What the limit depends on, besides response times.
struct limit_inputs {
  double slots = 0;  // of usable targets, times their speed
  double share = 1;  // of this instance, 0 to 1
  duration objective{};
};

class service_limit {
 public:
  // Records the response time of one request.
  void OnAnswer(duration elapsed);

  // Computes the limit; `peak` is the highest number of requests in flight
  // since the last call. To be called every kLimitPeriod.
  void Recompute(const limit_inputs& inputs, double peak, time_point now);

  // Returns the limit; at least 1, and nothing before the first Recompute().
  std::optional<double> limit() const { return limit_; }
  // Returns the limit before response times lower or raise it.
  double room() const { return room_; }
  // Returns the time that a target takes without a queue; 0 if unknown.
  duration work_time() const { return work_time_; }
  // Returns how long an answer takes now, with allowance for slower ones; 0 if
  // unknown.
  duration ExpectedResponse() const;
  // Returns the requests a second that this instance's limit allows; 0 if
  // unknown.
  double DrainRate() const;

 private:
  void CloseWindow(time_point now);
  void Adjust(const limit_inputs& inputs, double peak);

  std::optional<double> limit_;
  double room_ = 0;
  double factor_ = 1;         // of the room, by response times
  double mean_us_ = 0;        // moving mean of response times
  double short_mean_us_ = 0;  // the same over fewer answers
  double deviation_us_ = 0;   // moving mean of the distance from it
  std::size_t answers_ = 0;   // since the last Recompute()
  duration work_time_{};
  // Medians of recent windows of answers; the least is the work time.
  std::vector<duration> window_;
  std::vector<duration> medians_;
  std::size_t next_median_ = 0;
  time_point window_began_{};
};

inline constexpr duration kLimitPeriod = std::chrono::milliseconds(100);

// Returns the part of a service's capacity of `capacity_per_s` requests that an
// instance of `data_centre` may use, by max-min fairness between the data
// centres; nothing if the figures are too old or lack this data centre.
std::optional<double> ShareOfCapacity(const shared_service_load& load,
                                      std::uint32_t data_centre,
                                      double capacity_per_s);

// The number of live instances for 1 / instances. It falls slowly: an instance
// that loses sight of the others must not admit for all of them at once.
class instance_count {
 public:
  // To be called every kLimitPeriod.
  double Update(std::size_t live);

 private:
  double count_ = 1;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_SERVICE_LIMIT_H_
