// The sums that an instance uses, less its own contribution, and what they say
// about answers of targets to other instances.
#ifndef ROSEMARYREACH_ENTRY_SHARED_FIGURES_H_
#define ROSEMARYREACH_ENTRY_SHARED_FIGURES_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "entry/load_collector.h"
#include "rosemaryreach/load_report.h"
#include "rosemaryreach/shared_load.h"

namespace rosemaryreach {

enum class merge_outcome : std::uint8_t {
  kDuplicate,   // or older than a round of the same collector
  kIncomplete,  // parts of the round are missing
  kInForce,     // the round is complete and replaces the one before
};

class shared_figures {
 public:
  // Merges a part of a round of sums. Rounds replace each other, so that
  // nothing counts twice. `own` is the last report of this instance, which the
  // round contains.
  merge_outcome Merge(const load_message& part,
                      std::uint64_t member_incarnation,
                      const load_message& own,
                      time_point now);

  // Returns the age of the reports in the sums; the maximum without sums.
  duration age(time_point now) const;

  std::optional<shared_target_load> Target(std::uint32_t cookie,
                                           time_point now) const;
  std::optional<shared_service_load> Service(std::uint32_t service,
                                             time_point now) const;

 private:
  // The last round of one collector, as far as it has arrived.
  struct round {
    load_sequence position;
    std::uint32_t parts_seen = 0;  // one bit each
    std::vector<load_message> parts;
  };
  // Answers of a target to other instances; older ones weigh less.
  struct recent_answers {
    time_point last{};
    double answers = 0;
    double response_ms = 0;  // sum
  };

  void PutInForce(const round& complete,
                  const load_message& own,
                  time_point now);
  void AddAnswers(const target_figures& others, time_point answered);
  void PurgeAnswers(time_point now);

  std::map<std::uint32_t, round> rounds_;                       // by collector
  absl::flat_hash_map<std::uint32_t, target_figures> targets_;  // by cookie
  absl::flat_hash_map<std::uint32_t, recent_answers> answers_;  // by cookie
  std::multimap<std::uint32_t, service_figures> services_;
  std::map<std::uint32_t, std::uint32_t> own_in_flight_;  // by service
  time_point received_{};
  time_point purged_{};
  duration age_at_receipt_{};
  duration other_centre_age_{};
  bool any_ = false;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRY_SHARED_FIGURES_H_
