// Lets a request with an idempotency key run at most once in a region: the
// owner of the key grants it after its successor has stored a copy.
#ifndef ROSEMARYREACH_REQUESTS_IDEMPOTENCY_SERVICE_H_
#define ROSEMARYREACH_REQUESTS_IDEMPOTENCY_SERVICE_H_

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "rosemaryreach/fleet_view.h"
#include "rosemaryreach/idempotency_table.h"
#include "rosemaryreach/ownership.h"
#include "rosemaryreach/request_types.h"

namespace rosemaryreach {

struct idempotency_hooks {
  std::function<void(instance_id, const request_message&)> send;
  // Called with the verdict on a reservation; never with kUnavailable.
  std::function<void(time_point now, request_id, key_verdict)> decided;
  // Returns whether the view is confirmed, so that a grant is safe.
  std::function<bool(time_point now)> view_confirmed;
  // Returns whether a majority of the region's known instances is in view.
  std::function<bool()> has_majority;
};

class idempotency_service {
 public:
  idempotency_service(instance_id self, idempotency_hooks hooks);

  // Requests the key from its owner until it replies with a verdict, which goes
  // to the `decided` hook.
  void Reserve(time_point now,
               request_id request,
               std::uint64_t key,
               time_point deadline,
               duration window);

  // Drops a pending reservation and reports to the key's owner how the request
  // ended.
  void Finish(time_point now,
              request_id request,
              std::uint64_t key,
              run_state run);

  void ApplyView(time_point now, const fleet_view& view);
  void OnPause();
  void OnResumed(time_point now);

  void OnReserve(time_point now, instance_id from, const key_reserve& message);
  void OnReply(time_point now, const key_reply& message);
  void OnFinish(time_point now, instance_id from, const key_finish& message);
  void OnCopy(time_point now, instance_id from, const key_copy& message);
  void OnCopied(time_point now, instance_id from, const key_copied& message);
  void OnPull(time_point now, instance_id from, const key_pull& message);
  void OnTransfer(time_point now,
                  instance_id from,
                  const key_transfer& message);
  void Tick(time_point now);

 private:
  // A reservation of this instance that awaits a verdict.
  struct pending_reservation {
    request_id local_id;
    std::uint64_t key = 0;
    time_point deadline;
    duration window{};
    time_point resend_at;
  };

  // A grant withheld until the successor has stored a copy.
  struct pending_grant {
    instance_id holder;
    request_id request;
    std::uint64_t version = 0;
    instance_id successor;
  };

  // A pull from one instance and the parts received.
  struct pending_pull {
    absl::flat_hash_set<std::uint32_t> parts;
    bool complete = false;
  };

  struct past_ranking {
    time_point replaced_at;  // by a newer ranking
    owner_ranking ranking;
  };

  // Instances lost at about the same time. The state of a key whose owner and
  // successor are both among them is unknown.
  struct loss_event {
    time_point expires_at;
    owner_ranking ranking;
    std::map<instance_id, std::uint64_t> incarnations;
  };

  // Returns an id for `request` that is unique across restarts of this
  // instance.
  request_id WireId(request_id request) const;
  void SendReserve(time_point now,
                   request_id wire_id,
                   pending_reservation& reservation);
  void SendReply(time_point now,
                 instance_id holder,
                 const key_reserve& message,
                 key_verdict verdict);
  void Grant(time_point now, instance_id holder, const key_reserve& message);
  void CopyToSuccessor(time_point now, std::uint64_t key);
  bool CanDecide(std::uint64_t key) const;
  bool RecordMayBeLost(time_point now, std::uint64_t key) const;
  void StartSync(time_point now);
  void SendPulls(time_point now);
  void FinishSyncIfComplete(time_point now);
  void RecordLosses(time_point now, const fleet_view& before);
  std::uint64_t CandidatesDigest() const;

  instance_id self_;
  idempotency_hooks hooks_;
  fleet_view view_;
  std::string region_;
  owner_ranking ranking_;
  // The ranking for which the last pull completed.
  owner_ranking synced_ranking_;
  bool synced_ = false;
  bool paused_ = false;
  std::uint64_t pull_nonce_ = 0;
  time_point next_pull_at_;
  // Synchronisation does not complete before: until then a lost owner may still
  // grant keys.
  time_point sync_not_before_;
  time_point next_expiry_at_;
  std::map<instance_id, pending_pull> pulls_;
  idempotency_table table_;
  std::uint64_t salt_ = 0;
  // By wire id.
  std::map<request_id, pending_reservation> pending_reservations_;
  absl::flat_hash_map<std::uint64_t, pending_grant> pending_grants_;
  std::vector<past_ranking> past_rankings_;
  std::vector<loss_event> loss_events_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_REQUESTS_IDEMPOTENCY_SERVICE_H_
