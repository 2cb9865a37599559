// State of one service in a flow router: the targets of all configurations that
// still have flows, the targets of its buckets, and its open buckets.
#ifndef ROSEMARYREACH_PACKETS_SERVICE_STATE_H_
#define ROSEMARYREACH_PACKETS_SERVICE_STATE_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "packets/pin_table.h"
#include "rosemaryreach/bucket_table.h"
#include "rosemaryreach/config.h"
#include "rosemaryreach/target_health.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// A target, or the legacy next hop.
struct flow_target {
  std::uint64_t id = 0;
  std::string name;
  endpoint address;
  bool legacy = false;
  bool accepts_new_flows = false;  // configured to get new flows
  bool withdrawn = false;  // no longer configured or its data centre is out
  std::uint32_t weight = 0;
  std::uint32_t cold_rate_per_s = 0;
  std::uint32_t warmup_ms = 0;

  target_condition condition = target_condition::kHealthy;
  std::uint32_t epoch = 0;
  bool ejected = false;  // gets no new flows; see UpdateEjections()
  time_point condition_since;
  // Highest epoch that each peer reported.
  absl::flat_hash_map<std::uint64_t, std::uint32_t> peer_epochs;
  time_point announced_at;

  double tokens = 0;
  time_point tokens_updated_at;
  std::uint32_t assigned_buckets = 0;  // in the bucket table, on any worker
  std::uint32_t owned_buckets = 0;     // open ones routed by this router
};

// Which instance is authoritative for an open bucket: it routes its packets.
enum class bucket_role : std::uint8_t {
  kRemote,            // another instance
  kOwner,             // this one
  kHandingOver,       // this one, until its pins have gone to the new owner
  kAwaitingHandover,  // the previous owner, until it hands over to this one
};

// A bucket in transition: all its packets pass through its owner.
struct open_bucket {
  // Returns whether this router routes the bucket's packets.
  bool is_authoritative() const {
    return role == bucket_role::kOwner || role == bucket_role::kHandingOver;
  }

  pin_table pins;
  std::uint32_t bucket = 0;
  bucket_role role = bucket_role::kRemote;
  bool announced = false;   // all peers know that the bucket is open
  bool replicated = false;  // the successor has been sent all pins
  bool replication_queued = false;
  instance_id owner;
  instance_id successor;
  instance_id previous_owner;
  std::uint64_t configuration_number = 0;  // of the last change
  time_point opened_at;
  time_point owner_since;
  time_point last_unpinned_packet;  // last packet of an unpinned flow
  time_point handed_over_at;        // handed over to the owner
  time_point replicated_at;         // pins sent to the successor
  std::size_t position = 0;         // in open_buckets::all()
};

// The open buckets of a service, indexed by bucket number.
class open_buckets {
 public:
  // Returns the open bucket, or nullptr.
  open_bucket* Find(std::uint32_t bucket) {
    return slots_.empty() ? nullptr : slots_[bucket].get();
  }

  // Opens `bucket`, which must not be open, of a table of `buckets`.
  open_bucket& Add(std::uint32_t bucket, std::size_t buckets) {
    slots_.resize(buckets);
    slots_[bucket] = std::make_unique<open_bucket>();
    open_bucket& added = *slots_[bucket];
    added.bucket = bucket;
    added.position = all_.size();
    all_.push_back(&added);
    return added;
  }

  void Erase(std::uint32_t bucket) {
    const std::size_t position = slots_[bucket]->position;
    all_[position] = all_.back();
    all_[position]->position = position;
    all_.pop_back();
    slots_[bucket].reset();
  }

  void Clear() {
    all_.clear();
    slots_.clear();
  }

  // Returns all open buckets, in no particular order.
  const std::vector<open_bucket*>& all() const { return all_; }

 private:
  std::vector<std::unique_ptr<open_bucket>> slots_;
  std::vector<open_bucket*> all_;
};

// Value in service_state::steady_target of an open bucket.
inline constexpr std::uint16_t kOpenBucket = 0xfffe;

struct service_state {
  // Puts `service` of `config` in force. Returns the buckets whose assigned
  // target is not their unpinned target, or whose unpinned target is withdrawn.
  std::vector<std::uint32_t> Apply(const configuration& config,
                                   const service_config& service,
                                   time_point now);

  // Returns the index of the target `id`, or kNoEntry.
  std::uint16_t FindTarget(std::uint64_t id) const;

  // Ejects the failed targets, or none if they have more than
  // kMaxEjectedPercent of the weight.
  void UpdateEjections();

  // Returns whether the target is ramping or ejected, so that the bucket's
  // owner must admit each new flow.
  bool IsRestricted(std::uint16_t target) const;
  bool IsRamping(std::uint16_t target) const;

  // Returns whether the target accepts new flows without a limit.
  bool IsFullyAvailable(std::uint16_t target) const;

  // Returns whether flows without a pin no longer have a target.
  bool LacksUnpinnedTarget(std::uint32_t bucket) const;

  // Returns the open bucket, or nullptr if the bucket is steady.
  open_bucket* FindOpen(std::uint32_t bucket);

  std::uint32_t mask() const {
    return static_cast<std::uint32_t>(unpinned_target.size()) - 1;
  }

  std::string name;
  std::uint64_t name_hash = 0;
  transport_protocol protocol = transport_protocol::kTcp;
  std::chrono::milliseconds idle_timeout{0};
  std::vector<flow_target> targets;
  absl::flat_hash_map<std::uint64_t, std::uint16_t> target_index;
  // Targets by bucket: by the configuration in force; for flows without a pin
  // ("floor" in logs); and the latter, or kOpenBucket if the bucket is open.
  std::vector<std::uint16_t> assigned_target;
  std::vector<std::uint16_t> unpinned_target;
  std::vector<std::uint16_t> steady_target;
  open_buckets open;
  std::size_t sweep_position = 0;  // last swept index of open.all()

 private:
  void UpdateTargets(const configuration& config,
                     const service_config& service);
  std::uint16_t FindOrAddTarget(std::string_view target_name, endpoint address);
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_PACKETS_SERVICE_STATE_H_
