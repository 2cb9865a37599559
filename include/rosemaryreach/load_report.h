// Messages by which entry instances share the load that they put on targets
// and services, and their encoding.
#ifndef ROSEMARYREACH_LOAD_REPORT_H_
#define ROSEMARYREACH_LOAD_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Maximum size of an encoded message. It fits one Ethernet frame.
inline constexpr std::size_t kMaxLoadMessageBytes = 1'200;

// Highest count in a report; an instance tracks 50,000 flows at most.
inline constexpr std::uint32_t kMaxReportedCount = 50'000;
// Highest sum of response times in a report, so that those of 1,000 instances
// fit 32 bits.
inline constexpr std::uint32_t kMaxReportedMillis = 4'000'000;

// Load on one target, as one instance reports it or as a sum over instances.
struct target_figures {
  std::uint32_t cookie = 0;        // of the target; never 0 in a message
  std::uint32_t running = 0;       // requests in flight
  std::uint32_t open = 0;          // open flows
  std::uint32_t answers = 0;       // since the last report
  std::uint32_t response_ms = 0;   // sum of the response times of `answers`
  std::uint32_t opening = 0;       // first packets without an answer
  std::uint32_t unanswered = 0;    // requests left without an answer
  std::uint32_t other_centre = 0;  // in flight from other data centres; in sums

  bool operator==(const target_figures&) const = default;
};

// Load on one service from the instances of one data centre.
struct service_figures {
  std::uint32_t service = 0;      // ServiceHash() of its name
  std::uint32_t data_centre = 0;  // hash of its name; 0 in reports
  // First packets offered: since the last report in a report, a second in sums.
  std::uint32_t offered = 0;
  std::uint32_t instances = 0;  // that reported; 0 in reports
  std::uint32_t in_flight = 0;

  bool operator==(const service_figures&) const = default;
};

enum class load_message_kind : std::uint8_t {
  kReport,  // from an instance to its collectors
  kSums,    // from a collector to the instances of its data centre
  kCoarse,  // from a collector to the collectors of other data centres
};

struct load_message {
  load_message_kind kind = load_message_kind::kReport;
  std::uint32_t address = 0;  // of the sender: IPv4, host byte order
  std::uint64_t incarnation = 0;
  std::uint32_t sequence = 0;  // rises with each report or each round of sums
  std::uint32_t part = 0;      // of `parts` with the same sequence
  std::uint32_t parts = 1;
  // In a report: the sender receives no sums from the first collector.
  bool lacks_sums = false;
  // Of the reports in sums, on average. Whole milliseconds, as all durations.
  duration age{};
  duration other_centre_age{};  // of the oldest figures of other data centres
  duration period{};            // since the last report, or between sums
  std::vector<service_figures> services;
  std::vector<target_figures> targets;  // by ascending cookie

  bool operator==(const load_message&) const = default;
};

// Returns the number by which messages name a service.
std::uint32_t ServiceHash(std::string_view service);

// Returns the encoded size of one element in bytes.
std::size_t EncodedSize(const target_figures& figures);
std::size_t EncodedSize(const service_figures& figures);

// Upper bound of the encoded size of a message without its elements.
inline constexpr std::size_t kLoadHeaderBytes = 64;

std::string EncodeLoadMessage(const load_message& message);

// Returns nothing if `bytes` is not a valid message: another format, a number
// out of range, targets that are not in ascending order, trailing bytes, or
// more than kMaxLoadMessageBytes.
std::optional<load_message> DecodeLoadMessage(std::string_view bytes);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_LOAD_REPORT_H_
