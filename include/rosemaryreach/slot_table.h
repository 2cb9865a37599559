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
struct slot_use {
  attempt_id attempt;
  target_id target;
  request_class kind = request_class::kInteractive;
  time_point started;
  // When the target has ended it, whatever happens to the connection.
  time_point ends_by;
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

  void Start(time_point now, const slot_use& use);

  // Ends an attempt. Unless the end proves that the target is done with it, it
  // counts until its ends_by. Returns whether a slot became free.
  bool End(time_point now, attempt_id attempt, attempt_outcome end);

  // The router gave the attempt up: its slot counts until the target proves to
  // have read the cancel, or until ends_by.
  void Cancel(time_point now, attempt_id attempt);

  // Answer headers came; `overloaded` if they say that the target sheds.
  void OnHeaders(time_point now, attempt_id attempt, bool overloaded);

  // Frees the slots of attempts that have ended by now. Returns whether any
  // slot became free.
  bool Expire(time_point now);

  // Notes a report; an unhealthy target gets one request at a time until it
  // answers one.
  void OnReport(target_id target, bool healthy);

  // Returns how many requests count as running on `target`.
  std::uint32_t Running(target_id target) const;
  // Returns when all that takes a slot of `target` has ended.
  time_point EndsBy(time_point now, target_id target) const;
  std::uint32_t WarmPercent(time_point now, target_id target) const;

  // Returns the room on the held targets; `queued` stays zero.
  peer_load Load(time_point now) const;
  // Returns the time from dispatch to the whole answer over all targets.
  const latency_estimate& Work(request_class kind) const {
    return work_[static_cast<std::size_t>(kind)];
  }
  // Returns the requests a second that the held targets bear if each takes
  // `work`.
  double Throughput(time_point now, duration work) const;
  // Returns the part of that rate that others may count on.
  double OfferedRate(time_point now, duration work) const;
  // Returns how many slots bulk requests take on the held targets.
  std::uint32_t BulkRunning() const;
  const slot_target* Find(target_id target) const;

 private:
  // A running attempt; `detached` once only its ends_by frees the slot.
  struct use_state {
    slot_use use;
    bool detached = false;
    bool answered = false;
    time_point free_at;
  };

  struct target_state {
    explicit target_state(const slot_target& target)
        : declared(target), limit(target.capacity) {}

    slot_target declared;
    concurrency_limit limit;
    bool held = false;
    bool declared_now = true;
    bool reported_unhealthy = false;
    std::vector<use_state> uses;
    std::uint32_t inherited = 0;
    time_point inherited_until;
    std::uint32_t failures = 0;
    time_point retry_at;
    std::uint64_t starts = 0;
  };

  target_state* Get(target_id target);
  const target_state* Get(target_id target) const;
  target_state* WithAttempt(attempt_id attempt);
  static std::uint32_t Taken(const target_state& state);
  static std::uint32_t Watches(const target_state& state);
  static std::uint32_t LimitOf(time_point now, const target_state& state);
  static bool Usable(time_point now, const target_state& state);
  static bool HasRoom(time_point now,
                      const target_state& state,
                      request_class kind);
  static double Busyness(const target_state& state, request_class kind);
  void OnAnswered(time_point now, target_state& state, const slot_use& use);
  static void OnFailed(time_point now, target_state& state);
  void NoteEnd(time_point now,
               target_state& state,
               const slot_use& use,
               attempt_outcome end);

  duration cancel_grace_;
  std::vector<target_state> targets_;
  // By request_class.
  std::array<latency_estimate, 3> work_;
  std::array<std::uint32_t, 3> slow_in_a_row_{};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_SLOT_TABLE_H_
