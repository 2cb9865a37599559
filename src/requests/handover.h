// Transfers the right to dispatch to a target between its owners, so that no
// two instances use the same slot.
#ifndef ROSEMARYREACH_REQUESTS_HANDOVER_H_
#define ROSEMARYREACH_REQUESTS_HANDOVER_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rosemaryreach/fleet_view.h"
#include "rosemaryreach/ownership.h"
#include "rosemaryreach/request_types.h"
#include "rosemaryreach/slot_table.h"

namespace rosemaryreach {

// A declared target whose owner is tracked.
struct tracked_target {
  target_id id;
  std::string data_centre;
  std::string region;
  std::uint32_t slots = 1;
  // Longest time that a request may run on the target.
  duration max_deadline{};
};

struct handover_hooks {
  // Returns the table that counts the target, or nullptr.
  std::function<slot_table*(target_id)> slots;
  std::function<void(instance_id, const request_message&)> send;
};

class handover {
 public:
  handover(instance_id self,
           duration view_lease,
           duration cancel_grace,
           handover_hooks hooks)
      : self_(self),
        view_lease_(view_lease),
        cancel_grace_(cancel_grace),
        hooks_(std::move(hooks)) {}

  // Computes the owners of `targets` in `view` and starts the handovers that
  // follow. Targets in `unreachable_data_centres` without an instance in view
  // get no owner: instances there may still be running, cut off from this one.
  void Apply(time_point now,
             const fleet_view& view,
             const std::set<std::string>& unreachable_data_centres,
             const std::vector<tracked_target>& targets);

  // Drops all held targets: other instances may have taken them over while the
  // process was paused.
  void OnPause();
  // Acquires the targets that this instance owns, once its view is confirmed
  // after a pause.
  void OnResumed(time_point now);

  void OnRequest(time_point now,
                 instance_id from,
                 const handover_request& request);
  void OnGrant(time_point now, instance_id from, const handover_grant& grant);
  void OnReleased(instance_id from, const slot_released& released);

  // Reports to the instance that was granted the target that requests of this
  // instance on it have ended.
  void OnSlotFreed(target_id target);

  // Resends the requests that have got no grant.
  void Tick(time_point now);

  // Returns whether a target that this instance holds or has requested is owned
  // by another instance, which has yet to request it.
  bool HasPendingHandovers() const;

  // Returns the owner of `target` in the latest view; zero if none.
  instance_id OwnerOf(target_id target) const;

 private:
  enum class phase : std::uint8_t { kNone, kRequesting, kHeld };

  struct ownership_record {
    tracked_target target;
    instance_id owner;
    // The owner before `owner` or the instance that granted the target, and
    // when the previous owner left the view without a handover.
    instance_id previous_owner;
    std::optional<time_point> previous_owner_lost_at;
    time_point declared_at;
    phase state = phase::kNone;
    // While requesting:
    instance_id requested_from;
    std::uint64_t nonce = 0;
    time_point resend_at;
    // After granting the target to another instance:
    instance_id granted_to;
    std::uint64_t granted_nonce = 0;
    // Taken over with no other instance in view; one that appears before this
    // time is still asked for the target.
    time_point unconfirmed_until;
    // Nonce of the grant that gave the target to this instance.
    std::uint64_t held_nonce = 0;
  };

  // The owner, and who it would be if this instance were not a candidate.
  struct owners {
    instance_id owner;
    instance_id owner_without_self;
  };

  const owner_ranking& Ranking(const std::string& region,
                               const std::string& data_centre) const;
  owners OwnersOf(const tracked_target& target) const;
  void ApplyTarget(time_point now, const tracked_target& target);
  void OnOwnerChange(time_point now,
                     ownership_record& record,
                     instance_id owner);
  void AcquireWithoutHolder(time_point now, ownership_record& record);
  void AcquireFrom(time_point now,
                   ownership_record& record,
                   instance_id holder);
  void SendRequest(time_point now,
                   ownership_record& record,
                   instance_id holder);
  void TakeOver(time_point now, ownership_record& record, duration bound);
  void Hold(ownership_record& record);
  void GrantTo(time_point now,
               ownership_record& record,
               instance_id to,
               std::uint64_t nonce);
  handover_grant RedirectOrGrant(time_point now,
                                 const ownership_record& record,
                                 instance_id from) const;
  void TakeOverIfUnreachable(time_point now, ownership_record& record);
  bool InView(instance_id id) const { return FindInstance(view_, id); }
  duration TakeoverBound(const ownership_record& record) const;

  instance_id self_;
  duration view_lease_;
  duration cancel_grace_;
  handover_hooks hooks_;
  fleet_view view_;
  std::set<std::string> unreachable_data_centres_;
  bool paused_ = false;
  bool was_paused_ = false;
  bool had_peers_ = false;
  std::uint64_t next_nonce_ = 1;
  absl::flat_hash_map<std::uint64_t, ownership_record> records_;
  // By region, and by region and data centre; rebuilt with each view.
  mutable std::map<std::pair<std::string, std::string>, owner_ranking>
      rankings_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_REQUESTS_HANDOVER_H_
