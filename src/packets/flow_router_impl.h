// Implementation of flow_router. Its methods are in four sources: packets
// (flow_router.cc), changes of configuration, fleet and target conditions
// (flow_changes.cc), ownership of buckets (flow_ownership.cc) and messages
// (flow_sync.cc).
#ifndef ROSEMARYREACH_PACKETS_FLOW_ROUTER_IMPL_H_
#define ROSEMARYREACH_PACKETS_FLOW_ROUTER_IMPL_H_

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "packets/peer_table.h"
#include "packets/service_state.h"
#include "rosemaryreach/flow_router.h"

namespace rosemaryreach {

// Identifies one bucket of one service of a router.
struct bucket_ref {
  std::uint32_t service = 0;  // index in services_
  std::uint32_t bucket = 0;

  bool operator==(const bucket_ref&) const = default;
};

// Arguments of Route() for one packet, and its bucket.
struct routed_packet {
  const packet_info& info;
  const detour_info* detour;
  time_point now;
  std::uint32_t bucket = 0;

  std::uint8_t hops() const { return detour == nullptr ? 0 : detour->hops; }
  bool at_hop_limit() const { return hops() >= kMaxDetourHops; }
};

struct service_address {
  endpoint address;
  transport_protocol protocol = transport_protocol::kTcp;

  bool operator==(const service_address&) const = default;
};

struct service_address_hash {
  std::size_t operator()(const service_address& key) const;
};

class flow_router::impl {
 public:
  impl(const flow_router_options& options, log_sink& log)
      : options_(options), log_(log) {}

  // Packets.
  flow_decision Route(const packet_info& packet,
                      const detour_info* detour,
                      time_point now);

  // Changes of configuration, fleet and target conditions.
  void ApplyConfiguration(std::shared_ptr<const configuration> config,
                          time_point now);
  void ApplyView(const fleet_view& view, time_point now);
  void SetTrusted(bool trusted, time_point now);
  void ReportTarget(std::string_view service,
                    std::string_view target,
                    target_condition condition,
                    time_point now);

  // Messages and timers.
  void OnMessage(instance_id from, const flow_message& message, time_point now);
  std::vector<outgoing_flow_message> Tick(time_point now);

  bool handed_over() const;
  bool synchronized() const { return has_view_ && !synchronizing_; }
  flow_router_stats stats() const;

 private:
  // flow_router.cc
  flow_decision RouteUnknownAddress();
  flow_decision RouteWhileSynchronizing(service_state& service,
                                        const routed_packet& packet);
  flow_decision RoutePinnedByOwner(service_state& service,
                                   const routed_packet& packet);
  flow_decision RouteOpenBucket(service_state& service,
                                const routed_packet& packet);
  bool IsCutOff(time_point now) const;
  flow_decision RouteRemote(service_state& service,
                            open_bucket& bucket,
                            const routed_packet& packet);
  flow_decision RouteLocally(service_state& service,
                             open_bucket& bucket,
                             const routed_packet& packet);
  flow_decision RouteUnpinned(service_state& service,
                              open_bucket& bucket,
                              const routed_packet& packet);
  flow_decision RouteNewFlow(service_state& service,
                             open_bucket& bucket,
                             const routed_packet& packet);
  flow_decision RouteNewFlowUnannounced(service_state& service,
                                        open_bucket& bucket,
                                        const routed_packet& packet);
  std::uint16_t ChooseTarget(service_state& service,
                             std::uint32_t bucket,
                             std::uint64_t flow_hash,
                             time_point now);
  bool Admit(service_state& service,
             std::uint16_t target,
             std::uint64_t flow_hash,
             time_point now);
  bool SetPin(open_bucket& bucket,
              std::uint64_t flow_hash,
              std::uint16_t target,
              time_point now);
  flow_decision ForwardViaNextOwner(service_state& service,
                                    open_bucket& bucket,
                                    std::uint16_t target,
                                    const routed_packet& packet,
                                    std::string_view rule);
  flow_decision Forward(const service_state& service,
                        std::uint16_t target,
                        const packet_info& packet,
                        std::string_view rule);
  flow_decision Detour(const service_state& service,
                       instance_id to,
                       const routed_packet& packet,
                       std::string_view rule,
                       std::uint64_t pinned_target = 0);
  flow_decision Drop(const service_state& service, std::string_view rule);
  void Log(const packet_info& packet, const flow_decision& decision);

  // flow_changes.cc
  void OpenBucket(std::uint32_t service, std::uint32_t bucket, time_point now);
  void OpenRestrictedBuckets(std::uint32_t service, time_point now);
  void SetCondition(std::uint32_t service,
                    std::uint16_t target,
                    std::uint32_t epoch,
                    target_condition condition,
                    time_point now);
  void EndRamps(time_point now);
  void BeginSync(time_point now);
  void EndSync(time_point now);
  void DetectPause(time_point now);

  // flow_ownership.cc
  bool BelongsToWorker(std::uint32_t bucket) const;
  std::uint64_t OwnerKey(const service_state& service,
                         std::uint32_t bucket) const;
  void UpdateOwner(std::uint32_t service,
                   std::uint32_t bucket,
                   open_bucket& open,
                   owner_pair owners,
                   time_point now);
  void BecomeOwner(open_bucket& open, time_point now);
  void UpdateAllOwners(time_point now);
  bool IsBucketPropagated(const service_state& service,
                          std::uint32_t bucket,
                          const open_bucket& open,
                          time_point now) const;
  bool IsConditionPropagated(const flow_target& target, time_point now) const;
  void AnnounceBuckets(time_point now);
  void SweepBuckets(time_point now);
  void SweepBucket(std::uint32_t service, std::uint32_t bucket, time_point now);
  void SwitchUnpinnedTarget(std::uint32_t service,
                            std::uint32_t bucket,
                            open_bucket& open,
                            time_point now);
  void CloseIfConverged(std::uint32_t service, std::uint32_t bucket);
  void ErasePins(open_bucket& open,
                 const std::function<bool(const pin&)>& predicate);
  void CloseBucket(std::uint32_t service, std::uint32_t bucket);
  void CountOwnedBuckets();

  // flow_sync.cc
  std::optional<std::uint32_t> FindService(std::uint64_t name_hash) const;
  void HandleSyncReply(instance_id from,
                       const flow_message& message,
                       std::uint32_t service,
                       time_point now);
  void HandlePins(const flow_message& message,
                  std::uint32_t service,
                  time_point now);
  void HandleBucketUpdates(instance_id from,
                           const flow_message& message,
                           std::uint32_t service,
                           time_point now);
  void HandleHandover(instance_id from,
                      const flow_message& message,
                      std::uint32_t service,
                      time_point now);
  void HandleHandoverRequest(instance_id from,
                             const flow_message& message,
                             std::uint32_t service);
  void HandleTargetConditions(instance_id from,
                              const flow_message& message,
                              std::uint32_t service,
                              time_point now);
  void RecordReplyPart(instance_id from, const flow_message& message);
  void SendSyncReply(instance_id to);
  void SendSyncRequests(time_point now);
  void SendTargetConditions(time_point now);
  void BroadcastChangedBuckets();
  void SendBucketUpdates();
  void QueueBucketUpdate(instance_id to, const bucket_ref& bucket);
  void SendHandovers(time_point now);
  void SendHandoverRequests(time_point now);
  void SendReplicas(time_point now);
  void StreamPins(const bucket_ref& ref,
                  const open_bucket& open,
                  instance_id to);
  flow_message& BatchFor(instance_id to,
                         flow_message_kind kind,
                         std::uint32_t service);
  void FlushBatches();
  bucket_record MakeBucketRecord(const service_state& service,
                                 std::uint32_t bucket,
                                 const open_bucket* open) const;
  flow_message MakeMessage(flow_message_kind kind, std::uint32_t service) const;
  void Send(instance_id to, flow_message message);
  bool HasBudget() const;

  flow_router_options options_;
  log_sink& log_;
  std::shared_ptr<const configuration> config_;
  std::uint64_t configuration_number_ = 0;
  time_point configuration_applied_at_;
  peer_table peers_;
  std::vector<std::unique_ptr<service_state>> services_;
  absl::flat_hash_map<service_address, std::uint32_t, service_address_hash>
      addresses_;
  flow_router_stats stats_;

  std::vector<bucket_ref> unannounced_;
  std::deque<bucket_ref> handover_queue_;
  std::deque<bucket_ref> replication_queue_;
  std::deque<bucket_ref> changed_buckets_;
  // A peer that has not noticed that a bucket is closed.
  struct bucket_update {
    instance_id to;
    bucket_ref bucket;
  };
  std::vector<bucket_update> bucket_updates_;
  struct target_reply {
    instance_id to;
    std::uint32_t service = 0;
    std::uint16_t target = 0;
  };
  std::vector<target_reply> target_replies_;

  // Replies that the synchronization waits for, by peer and worker.
  struct awaited_reply {
    instance_id from;
    std::uint16_t worker = 0;
    std::vector<bool> parts;
    bool complete = false;
  };
  bool has_view_ = false;
  std::optional<time_point> untrusted_since_;
  bool synchronizing_ = false;  // "refreshing" in logs
  bool synchronized_once_ = false;
  // Other instances may own buckets that this one owned before it was paused or
  // cut off.
  bool ownership_stale_ = false;
  std::uint64_t sync_configuration_number_ = 0;
  time_point sync_began_;
  time_point sync_requests_sent_;
  std::vector<awaited_reply> awaited_replies_;
  std::optional<time_point> last_tick_;
  duration handover_request_interval_{};
  time_point handover_requests_sent_;

  std::vector<outgoing_flow_message> outgoing_;
  std::vector<outgoing_flow_message> batches_;
  double budget_bytes_ = 0;
  std::optional<time_point> budget_updated_at_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_PACKETS_FLOW_ROUTER_IMPL_H_
