// One service as a flow router sees it: its targets under all configurations
// that still matter, its bucket table, floors and open buckets.
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
  bool accepts_new_flows = false;  // may get new flows by configuration
  bool withdrawn = false;          // its flows are given up by configuration
  std::uint32_t weight = 0;
  std::uint32_t cold_rate_per_s = 0;
  std::uint32_t warmup_ms = 0;

  target_condition condition = target_condition::kHealthy;
  std::uint32_t epoch = 0;
  bool ejected = false;  // its condition counts, within the ejection bound
  time_point condition_since;
  // Epoch that each peer is known to know of.
  absl::flat_hash_map<std::uint64_t, std::uint32_t> peer_epochs;
  time_point announced_at;

  double tokens = 0;
  time_point tokens_updated_at;
  std::uint32_t assigned_buckets =
      0;  // of the table, in this worker's care or not
  std::uint32_t owned_buckets = 0;  // open ones that this router decides about
};

// Who decides about an open bucket, as this router sees it.
enum class bucket_role : std::uint8_t {
  kRemote,            // another instance
  kOwner,             // this one
  kHandingOver,       // this one, until its pins have gone to the new owner
  kAwaitingHandover,  // the previous owner, until it hands over to this one
};

// A bucket whose packets all pass through its owner.
struct open_bucket {
  // Returns whether this router decides about the bucket's packets.
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
  std::uint64_t configuration_number = 0;  // configuration that changed it last
  time_point opened_at;
  time_point owner_since;
  time_point
      last_unpinned_packet;   // last packet of a flow that the floor serves
  time_point handed_over_at;  // handed over to the owner
  time_point replicated_at;   // pins streamed to the successor
  std::size_t position = 0;   // in open_buckets::all()
};

// The open buckets of a service, found by number in one step.
class open_buckets {
 public:
  // Returns the open bucket, or nullptr.
  open_bucket* Find(std::uint32_t bucket) {
    return slots_.empty() ? nullptr : slots_[bucket].get();
  }

  // Opens `bucket` of `buckets`; it must not be open.
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

// Steady table value of a bucket that is open.
inline constexpr std::uint16_t kOpenBucket = 0xfffe;

struct service_state {
  // Puts `service` of `config` in force. Returns the buckets whose current
  // target is no longer their floor, or whose floor is given up.
  std::vector<std::uint32_t> Apply(const configuration& config,
                                   const service_config& service,
                                   time_point now);

  // Returns the index of the target `id`, or kNoEntry.
  std::uint16_t FindTarget(std::uint64_t id) const;

  // Counts conditions again, so that at most kMaxEjectedPercent of the weight
  // is ejected.
  void UpdateEjections();

  // Returns whether new flows to the target need its owner's care.
  bool IsRestricted(std::uint16_t target) const;
  bool IsRamping(std::uint16_t target) const;

  // Returns whether the target takes new flows without limit.
  bool IsFullyAvailable(std::uint16_t target) const;

  // Returns whether flows without a pin have no target any more.
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
  std::vector<std::uint16_t> assigned_target;  // by the configuration in force
  std::vector<std::uint16_t> unpinned_target;  // of flows without a pin
  std::vector<std::uint16_t> steady_target;    // floor, or kOpenBucket
  open_buckets open;
  std::size_t sweep_position =
      0;  // next of open.all() to look for expired pins

 private:
  void UpdateTargets(const configuration& config,
                     const service_config& service);
  std::uint16_t FindOrAddTarget(std::string_view target_name, endpoint address);
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_PACKETS_SERVICE_STATE_H_
