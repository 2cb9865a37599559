// What a collector holds: the last report of each instance of its data centre,
// the last coarse sums of each other one, and their sums.
#ifndef ROSEMARYREACH_ENTRY_LOAD_COLLECTOR_H_
#define ROSEMARYREACH_ENTRY_LOAD_COLLECTOR_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rosemaryreach/load_report.h"

namespace rosemaryreach {

// The position of a message among those of its sender.
struct load_sequence {
  std::uint64_t incarnation = 0;
  std::uint32_t sequence = 0;

  // Returns whether a message follows this one. A restart after the clock was
  // set back has a lower incarnation; it counts if the membership confirms it.
  bool Precedes(const load_message& message,
                std::uint64_t member_incarnation) const;
};

class load_collector {
 public:
  // Replaces the last report of its sender. Returns false if it is not newer.
  bool MergeReport(const load_message& report,
                   std::uint64_t member_incarnation,
                   time_point now);

  // Replaces the coarse sums of a data centre. Returns false if they are older
  // than the last ones of their sender.
  bool MergeCoarse(const load_message& coarse,
                   std::uint32_t data_centre,
                   std::uint64_t member_incarnation,
                   time_point now);

  // Drops reports that are older than `report_lifetime`, and old coarse sums.
  void Expire(duration report_lifetime, time_point now);
  void Clear();

  // Returns whether no report has any figures.
  bool empty() const { return active_ == 0; }
  // When the first report with figures arrived after there were none.
  time_point active_since() const { return active_since_; }

  // Adds up what is held, in one message of any size. `data_centre` is that of
  // this instance.
  void AddSums(std::uint32_t data_centre,
               time_point now,
               load_message& sums) const;

  // Adds up the reports for other data centres: of targets, only the requests
  // in flight.
  void AddCoarse(std::uint32_t data_centre,
                 time_point now,
                 load_message& coarse) const;

 private:
  struct held_message {
    load_sequence position;
    time_point received{};
    load_message message;
  };
  using target_sums = absl::flat_hash_map<std::uint32_t, target_figures>;

  static bool HasFigures(const load_message& message) {
    return !message.targets.empty() || !message.services.empty();
  }
  void AddReports(target_sums& sums) const;
  std::vector<service_figures> ServiceSums(std::uint32_t data_centre) const;
  duration MeanAge(time_point now) const;

  absl::flat_hash_map<std::uint32_t, held_message> reports_;  // by address
  std::map<std::uint32_t, held_message> coarse_;              // by data centre
  // Last position of each sender of coarse sums.
  std::map<std::uint32_t, load_sequence> coarse_senders_;
  std::size_t active_ = 0;  // reports with figures
  time_point active_since_{};
};

// Keeps the targets and services with the most load that fit `max_bytes`, with
// the targets by ascending cookie. Returns whether anything was left out.
bool TrimToSize(std::size_t max_bytes, load_message& message);

// Returns the encoded size of the elements of a message.
std::size_t ElementBytes(const load_message& message);

// Splits a message into encoded parts of at most kMaxLoadMessageBytes.
std::vector<load_message> SplitMessage(const load_message& whole);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRY_LOAD_COLLECTOR_H_
