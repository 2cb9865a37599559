// Counts what runs on the targets of one service that this instance owns, and
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

// A target as the accepted configuration declares it.
struct slot_target {
  target_id id;
  endpoint address;
  target_capacity capacity;
  // Whether new work may go there: active, weighted, data centre in.
  bool accepts_work = false;
};

// An attempt that takes a slot (or, as a watch, none).
struct slot_attempt {
  attempt_id id;
  target_id target;
  request_class kind = request_class::kInteractive;
  time_point started;
  // When the target has ended it, whatever happens to the connection.
  time_point deadline;
};

class slot_table {
 public:
  explicit slot_table(duration cancel_grace) : cancel_grace_(cancel_grace) {}

  // Takes the declared targets; what runs on others is counted until it ends.
  void Configure(time_point now, const std::vector<slot_target>& targets);

  // Sets whether this instance may dispatch to the target.
  void SetHeld(target_id target, bool held);

  // Counts `running` more requests, started by an earlier owner, until `until`
  // or until ReleaseInherited().
  void Inherit(target_id target, std::uint32_t running, time_point until);
  void ReleaseInherited(target_id target, std::uint32_t running);

  void ResumeRamp(time_point now, target_id target, std::uint32_t percent);

  // Returns the held target with room that is least busy, other than `avoid`
  // if there is a choice; nothing if none has room.
  std::optional<target_id> Pick(time_point now,
                                request_class kind,
                                target_id avoid = {}) const;

  void Start(time_point now, const slot_attempt& attempt);

  // Ends an attempt. Unless the end proves that the target is done with it, it
  // counts until its ends_by. Returns whether a slot became free.
  bool End(time_point now, attempt_id id, attempt_outcome end);

  // The router gave the attempt up: its slot counts until the target proves to
  // have read the cancel, or until ends_by.
  void Cancel(time_point now, attempt_id id);

  // Answer headers came; `overloaded` if they say that the target sheds.
  void OnHeaders(time_point now, attempt_id id, bool overloaded);

  // Frees the slots of attempts that have ended by now. Returns whether any
  // slot became free.
  bool Expire(time_point now);

  // Notes a report; an unhealthy target gets one request at a time until it
  // answers one.
  void OnHealthReport(target_id target, bool healthy);

  // Returns how many requests count as running on `target`.
  std::uint32_t Running(target_id target) const;
  // Returns when all that takes a slot of `target` has ended.
  time_point LatestEnd(time_point now, target_id target) const;
  std::uint32_t WarmPercent(time_point now, target_id target) const;

  // Returns the room on the held targets; `queued` stays zero.
  peer_load Load(time_point now) const;
  // Returns the time from dispatch to the whole answer over all targets.
  const latency_estimate& ServiceLatency(request_class kind) const {
    return service_latency_[static_cast<std::size_t>(kind)];
  }
  // Returns the requests a second that the held targets bear if each takes
  // `work`.
  double Throughput(time_point now, duration latency) const;
  // Returns the part of that rate that others may count on.
  double AdvertisedRate(time_point now, duration latency) const;
  // Returns how many slots bulk requests take on the held targets.
  std::uint32_t BulkRunning() const;
  const slot_target* Find(target_id target) const;

 private:
  // A running attempt; `detached` once only its ends_by frees the slot.
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
  static bool HasRoom(time_point now,
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
