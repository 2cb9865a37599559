// Decides which load messages an instance sends, when and to whom, and merges
// those that it receives into the load of all other instances. There is no
// coordinator: two instances of each data centre collect the reports of the
// others, and each instance uses the sums of one of them.
#ifndef ROSEMARYREACH_LOAD_EXCHANGE_H_
#define ROSEMARYREACH_LOAD_EXCHANGE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "rosemaryreach/load_report.h"
#include "rosemaryreach/peer_group.h"
#include "rosemaryreach/shared_load.h"

namespace rosemaryreach {

// Interval of reports and of sums, unless the data centre is large.
inline constexpr duration kLoadPeriod = std::chrono::milliseconds(200);
// Above 166 instances of a data centre the interval grows with their number, so
// that a collector handles at most some 830 reports a second.
inline constexpr duration kLoadPeriodPerInstance =
    std::chrono::microseconds(1'200);
inline constexpr duration kMaxLoadPeriod = std::chrono::milliseconds(400);
// The second collector sends sums when those of the first are late by this.
inline constexpr duration kTakeoverSlack = std::chrono::milliseconds(50);
// Minimum distance of a report that is sent because a target is suspected.
inline constexpr duration kMinReportDistance = std::chrono::milliseconds(50);
inline constexpr duration kCoarsePeriod = std::chrono::milliseconds(500);
// Shared figures count in full up to the first age and not at all from the
// second one on.
inline constexpr duration kFadeBegin = std::chrono::milliseconds(500);
inline constexpr duration kFadeEnd = std::chrono::seconds(1);
// Coarse sums arrive every 500 ms, so those of other data centres last longer.
inline constexpr duration kCoarseFadeBegin = std::chrono::seconds(1);
inline constexpr duration kCoarseFadeEnd = std::chrono::seconds(2);
// A first collector that does not answer reports for this long is passed over
// for kSilentTime, or until it sends sums again.
inline constexpr duration kSilenceLimit = std::chrono::seconds(1);
inline constexpr duration kSilentTime = std::chrono::seconds(10);

// The load of this instance since the last call of the hook that returns it.
struct own_load {
  std::vector<service_figures> services;
  std::vector<target_figures> targets;  // in any order
};

// Why a datagram was dropped.
enum class load_drop : std::uint8_t {
  kMalformed,
  kForeign,       // the sender is unknown, or stated another address
  kDuplicate,     // or older than what was received
  kNotCollector,  // sums from an instance that is no collector
  kStandby,       // sums of the second collector while the first one sends
  kAfterPause,    // waited in the socket while this process was suspended
};
inline constexpr std::size_t kLoadDropReasons = 6;
const char* LoadDropName(load_drop reason);

// Messages since the start; by kind where there are three.
struct load_counts {
  std::array<std::uint64_t, 3> sent{};
  std::array<std::uint64_t, 3> received{};
  std::array<std::uint64_t, kLoadDropReasons> dropped{};
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

struct load_exchange_hooks {
  // Returns the load of this instance, and starts to count anew.
  std::function<own_load(time_point now)> collect;
  // Sends one datagram to each of these addresses.
  std::function<void(std::span<const std::uint32_t> to,
                     const std::string& bytes)>
      send;
  // The collector in use changed, or sharing was lost or regained.
  std::function<void(const char* outcome, std::uint32_t collector)> changed;
};

class load_collector;
class shared_figures;

class load_exchange {
 public:
  // `link_mbps` bounds what this instance sends as a collector.
  load_exchange(const peer_group& peers,
                double link_mbps,
                load_exchange_hooks hooks,
                time_point now);
  ~load_exchange();

  // Does what is due. Must be called at next_due(); a call that is late by
  // tenths of a second means that the process was suspended.
  void Tick(time_point now);
  time_point next_due() const { return next_due_; }

  // Makes the next report due at once, since a target became suspected.
  void ReportSoon(time_point now);

  // Handles a datagram from the address `from`.
  void OnDatagram(std::uint32_t from, std::string_view bytes, time_point now);

  // Return the load of the other instances; nothing if it isn't known.
  std::optional<shared_target_load> TargetLoad(std::uint32_t cookie,
                                               time_point now) const;
  std::optional<shared_service_load> ServiceLoad(std::string_view service,
                                                 time_point now) const;

  // Returns the age of the sums in use; the maximum if there are none.
  duration age(time_point now) const;
  // Returns the address of the collector whose sums are in use, or 0.
  std::uint32_t collector_in_use() const { return in_use_; }
  // Returns whether this instance sends the sums of its data centre.
  bool acting() const { return acting_; }
  const std::array<std::uint32_t, 2>& collectors() const { return collectors_; }
  const load_counts& counts() const { return counts_; }

 private:
  std::uint32_t self() const { return peers_.self().address; }
  duration TakeoverDelay() const { return period_ + kTakeoverSlack; }
  // Reports outlive the loss of one datagram, and no more.
  duration ReportLifetime() const;
  bool IsSilent(std::uint32_t address, time_point now) const;
  void DetectPause(time_point now);
  void UpdateCollectors(time_point now);
  void PassOverSilentCollector(time_point now);
  void UpdateSharing(time_point now);
  void ScheduleNext(time_point now);

  void ReportWhenDue(time_point now);
  void SendReport(time_point now);
  load_message MakeReport(time_point now);
  // Returns the load of this instance since the last report. Sets `covered` to
  // the time that its counts stand for: most of a period, since a report that
  // follows another one soon replaces it before it is in any sums.
  own_load CollectOwnLoad(duration& covered, time_point now);
  void SendSumsWhenDue(time_point now);
  void SendSums(std::span<const std::uint32_t> to, time_point now);
  void SendCoarseWhenDue(time_point now);
  load_message NewMessage(load_message_kind kind) const;
  void Send(load_message_kind kind,
            std::span<const std::uint32_t> to,
            const std::string& bytes);
  // Returns how many bytes of sums a round may have, and stretches the period
  // to what the round needs.
  std::size_t RoundBytes(std::size_t wanted);

  void Drop(load_drop reason) {
    ++counts_.dropped.at(static_cast<std::size_t>(reason));
  }
  void OnMessage(const load_message& message,
                 const peer_summary& sender,
                 time_point now);
  void OnReport(const load_message& report,
                const peer_summary& sender,
                time_point now);
  void OnSums(const load_message& sums,
              const peer_summary& sender,
              time_point now);
  void OnCoarse(const load_message& coarse,
                const peer_summary& sender,
                time_point now);
  void MergeSums(const load_message& sums,
                 std::uint64_t member_incarnation,
                 time_point now);

  struct collected_load {
    own_load load;
    duration covered{};  // since the collection before
  };

  const peer_group& peers_;
  double link_mbps_;
  load_exchange_hooks hooks_;
  load_counts counts_;
  std::unique_ptr<load_collector> collector_;
  std::unique_ptr<shared_figures> figures_;
  std::array<std::uint32_t, 2> collectors_{};
  std::map<std::uint32_t, time_point> silent_;  // until when
  bool passes_over_ = false;               // a larger instance that is silent
  std::set<std::uint32_t> asked_;          // instances that lack sums
  load_message report_;                    // the last one of this instance
  std::vector<collected_load> collected_;  // newest first
  time_point reported_{};                  // when it was sent
  time_point collected_at_{};              // when its figures were taken
  time_point active_since_{};  // this instance has reported since then
  bool active_ = false;        // the last report was not empty
  bool last_sums_empty_ = true;
  std::uint32_t sums_sequence_ = 0;
  std::uint32_t coarse_sequence_ = 0;
  duration period_ = kLoadPeriod;
  time_point next_report_allowed_{};
  time_point report_due_;
  time_point sums_due_;
  time_point coarse_due_;
  time_point next_due_;
  time_point first_heard_{};  // sums of the first collector
  time_point drain_until_{};  // datagrams may have waited in the socket
  time_point quiet_until_{};  // reports are incomplete
  bool acting_ = false;
  bool report_soon_ = false;
  bool sharing_ = false;
  std::uint32_t in_use_ = 0;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_LOAD_EXCHANGE_H_
