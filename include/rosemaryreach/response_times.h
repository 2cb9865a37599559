// Estimates how fast targets answer, relative to other targets of their service
// and to other requests of the same kind.
#ifndef ROSEMARYREACH_RESPONSE_TIMES_H_
#define ROSEMARYREACH_RESPONSE_TIMES_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Bounds of a target's speed.
inline constexpr double kMinSpeed = 1.0 / 8;
inline constexpr double kMaxSpeed = 2.0;
// Evidence halves in this time. An instance gets an answer of a given target
// every ten seconds or so in calm times.
inline constexpr duration kEvidenceHalfLife = std::chrono::seconds(10);
// An answer in less than this part of the usual time may be a refusal.
inline constexpr double kFastAnswer = 0.1;

// Answers of one target: `answers` that took `relative` times as long as usual,
// in all, both weighted by age.
struct speed_evidence {
  double answers = 0;
  double relative = 0;
  std::uint32_t fast_in_a_row = 0;  // possible refusals

  // Returns the speed: 1 is the usual one, and 1/2 takes twice as long.
  double Speed() const;
};

class response_times {
 public:
  // Records that the target `cookie` answered a request of `kind`, for example
  // of a route, after `elapsed`. `crowding` is the number of requests in flight
  // there for each slot, at least 1, as answers take longer in proportion.
  void OnAnswer(const std::string& service,
                const std::string& kind,
                std::uint32_t cookie,
                duration elapsed,
                double crowding,
                time_point now);

  // Records that a target answered other instances, who reported a mean time of
  // `relative` times that of their service.
  void OnSharedAnswers(std::uint32_t cookie, double relative, time_point now);

  // Records the time from a first packet to the caller's next one.
  void OnOpened(const std::string& data_centre, duration elapsed);

  // Returns the usual time of a request of `service` without waiting; 0 if
  // there was no answer yet.
  duration WorkTime(const std::string& service) const;

  // Returns what this instance observed.
  speed_evidence EvidenceOf(std::uint32_t cookie, time_point now) const;
  // Returns the same together with what others reported.
  speed_evidence AllEvidenceOf(std::uint32_t cookie, time_point now) const;

  // Returns how much longer a request to `data_centre` takes on the network
  // than one to `local`: the difference of the open times, twice, as both the
  // first packet and the request cross it.
  duration ExtraDelay(const std::string& data_centre,
                      const std::string& local) const;

  // Forgets what this instance observed of a target.
  void Forget(std::uint32_t cookie) { targets_.erase(cookie); }

  // Forgets targets without recent answers.
  void Sweep(time_point now);

 private:
  struct usual_time {
    double us = 0;
    double answers = 0;  // up to the memory of the mean
  };
  struct target_times {
    speed_evidence evidence;  // as of `at`
    time_point at{};
  };

  using evidence_table = std::map<std::uint32_t, target_times>;  // by cookie

  static void Learn(usual_time& usual, double us);
  static speed_evidence Find(const evidence_table& table,
                             std::uint32_t cookie,
                             time_point now);
  static void Add(evidence_table& table,
                  std::uint32_t cookie,
                  double answers,
                  double relative,
                  time_point now);

  std::map<std::pair<std::string, std::string>, usual_time> kinds_;
  std::map<std::string, usual_time> services_;
  evidence_table targets_;
  evidence_table shared_;
  std::map<std::string, double> open_us_;  // by data centre
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_RESPONSE_TIMES_H_
