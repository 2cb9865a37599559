// Tracks the attempts on the targets of one service that this instance owns and
// picks the target of the next request.
#ifndef ROSEMARYREACH_SLOT_TABLE_H_
#define ROSEMARYREACH_SLOT_TABLE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "rosemaryreach/concurrency_limit.h"
#include "rosemaryreach/request_types.h"

namespace rosemaryreach {

// A target as declared by the accepted configuration.
struct slot_target {
  target_id id;
  endpoint address;
  target_capacity capacity;
  // Whether it may get new requests: it is active, its weight is not zero and
  // its data centre is in service.
  bool accepts_work = false;
};

// An attempt that takes a slot; a watch takes none.
struct slot_attempt {
  attempt_id id;
  target_id target;
  request_class kind = request_class::kInteractive;
  time_point started;
  // The target stops working on it by then, even if the connection is lost.
  time_point deadline;
};

class slot_table {
 public:
  explicit slot_table(duration cancel_grace) : cancel_grace_(cancel_grace) {}

  // Sets the declared targets. Attempts on removed targets count until they
  // end.
  void Configure(time_point now, const std::vector<slot_target>& targets);

  // Sets whether this instance holds the right to dispatch to the target.
  void SetHeld(target_id target, bool held);

  // Counts `running` requests that a previous owner started, until `until` or
  // ReleaseInherited(), which lowers the count to `running`.
  void Inherit(target_id target, std::uint32_t running, time_point until);
  void ReleaseInherited(target_id target, std::uint32_t running);

  void ResumeRamp(time_point now, target_id target, std::uint32_t percent);

  // Returns the held target with a free slot and the lowest utilization, and
  // `avoid` only if there is no other; nothing if no slot is free.
  std::optional<target_id> Pick(time_point now,
                                request_class kind,
                                target_id avoid = {}) const;

  void Start(time_point now, const slot_attempt& attempt);

  // Ends an attempt and returns whether its slot became free. After kLost, the
  // slot stays taken until the deadline, and after kCancelled for the cancel
  // grace, as the target may still be working on it.
  bool End(time_point now, attempt_id id, attempt_outcome end);

  // Marks the attempt as cancelled. Its slot stays taken until End() confirms
  // that the target read the cancel, or until the deadline.
  void Cancel(time_point now, attempt_id id);

  // Records that response headers arrived; `overloaded` if they say that the
  // target sheds load.
  void OnHeaders(time_point now, attempt_id id, bool overloaded);

  // Frees the slots of attempts that must have ended by now; returns whether
  // there were any.
  bool Expire(time_point now);

  // Records a health report. An unhealthy target gets one request at a time
  // until it completes one.
  void OnHealthReport(target_id target, bool healthy);

  // Returns how many requests count as running on `target`.
  std::uint32_t Running(target_id target) const;
  // Returns the latest time at which the slots of `target` that are taken now
  // become free; `now` if there are none.
  time_point LatestEnd(time_point now, target_id target) const;
  std::uint32_t WarmPercent(time_point now, target_id target) const;

  // Returns the limit and the taken slots of the usable targets; `queued` and
  // `rate_per_s` stay zero.
  peer_load Load(time_point now) const;
  // Returns the latency from dispatch to the complete response, over all
  // targets.
  const latency_estimate& ServiceLatency(request_class kind) const {
    return service_latency_[static_cast<std::size_t>(kind)];
  }
  // Returns the requests per second that the usable targets can serve at
  // `latency` each.
  double Throughput(time_point now, duration latency) const;
  // Returns the rate to advertise to peers: as Throughput(), but limited to a
  // share of each target's start rate.
  double AdvertisedRate(time_point now, duration latency) const;
  // Returns how many slots bulk requests take.
  std::uint32_t BulkRunning() const;
  // Returns nullptr if the target is unknown.
  const slot_target* Find(target_id target) const;

 private:
  // `detached` once the attempt was lost or cancelled, so that its slot is
  // freed by End() or at `free_at`.
  struct attempt_entry {
    slot_attempt attempt;
    bool detached = false;
    bool headers_received = false;
    time_point free_at;
  };

  struct target_state {
    explicit target_state(const slot_target& target)
        : declared(target), limit(target.capacity) {}

    slot_target declared;
    concurrency_limit limit;
    bool held = false;
    bool still_declared = true;
    bool reported_unhealthy = false;
    std::vector<attempt_entry> attempts;
    std::uint32_t inherited = 0;
    time_point inherited_until;
    std::uint32_t consecutive_failures = 0;
    time_point backoff_until;
    std::uint64_t starts = 0;
  };

  target_state* FindState(target_id target);
  const target_state* FindState(target_id target) const;
  target_state* FindStateByAttempt(attempt_id id);
  static std::uint32_t UsedSlots(const target_state& state);
  static std::uint32_t CountWatches(const target_state& state);
  static std::uint32_t LimitOf(time_point now, const target_state& state);
  static bool IsUsable(time_point now, const target_state& state);
  static bool CanAccept(time_point now,
                        const target_state& state,
                        request_class kind);
  static double Utilization(const target_state& state, request_class kind);
  void OnResponse(time_point now,
                  target_state& state,
                  const slot_attempt& attempt);
  static void OnFailure(time_point now, target_state& state);
  void RecordEnd(time_point now,
                 target_state& state,
                 const slot_attempt& attempt,
                 attempt_outcome end);

  duration cancel_grace_;
  std::vector<target_state> targets_;
  // By request_class.
  std::array<latency_estimate, 3> service_latency_;
  std::array<std::uint32_t, 3> consecutive_slow_{};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_SLOT_TABLE_H_
