#include "daemon/status_json.h"

#include <array>

namespace rosemaryreach {
namespace {

const char* InstanceStateName(instance_state state) {
  switch (state) {
    case instance_state::kJoining:
      return "joining";
    case instance_state::kActive:
      return "active";
    case instance_state::kLeaving:
      return "leaving";
  }
  return "unknown";
}

nlohmann::json InstanceToJson(const instance_info& instance) {
  return {{"name", instance.name},
          {"data_centre", instance.data_centre},
          {"region", instance.region},
          {"address", FormatIp(instance.address)},
          {"incarnation", instance.incarnation},
          {"state", InstanceStateName(instance.state)},
          {"number", instance.configuration_number}};
}

nlohmann::json DataCentreToJson(const data_centre_status& centre) {
  return {{"name", centre.name},
          {"region", centre.region},
          {"reachable", centre.reachable},
          {"live_instances", centre.live_members},
          {"lowest_number", centre.minimum_number},
          {"highest_number", centre.highest_number}};
}

nlohmann::json SyncToJson(const config_sync_status& status) {
  return {{"number", status.head.number},
          {"sequence", status.head.sequence},
          {"digest", status.head.digest},
          {"watching", status.watching},
          {"platform_error", status.platform_error},
          {"peer_error", status.peer_error},
          {"platform_reads", status.platform_reads},
          {"platform_errors", status.platform_errors},
          {"pulls", status.pulls},
          {"forks", status.forks}};
}

// Returns the datagrams sent and dropped and the bytes sent, by priority.
nlohmann::json ControlQueueToJson(const control_queue::counters& counters) {
  constexpr std::array<const char*, kControlPriorities> kNames = {
      "probes", "ownership", "pins", "digests"};
  nlohmann::json budget;
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    budget[kNames[i]] = {{"sent", counters.sent[i]},
                         {"sent_bytes", counters.sent_bytes[i]},
                         {"dropped", counters.dropped[i]}};
  }
  return budget;
}

}  // namespace

nlohmann::json FleetStatusToJson(const control_status& status) {
  nlohmann::json peers = nlohmann::json::array();
  for (const instance_info& instance : status.view.instances) {
    peers.push_back(InstanceToJson(instance));
  }
  nlohmann::json centres = nlohmann::json::array();
  for (const data_centre_status& centre : status.data_centres) {
    centres.push_back(DataCentreToJson(centre));
  }
  return {{"number", status.configuration.head.number},
          {"state", InstanceStateName(status.state)},
          {"ready", status.ready},
          {"waiting_for", status.waiting_for},
          {"view_trusted", status.trusted},
          {"view_digest", ViewDigest(status.view)},
          {"configuration", SyncToJson(status.configuration)},
          {"peers", std::move(peers)},
          {"data_centres", std::move(centres)},
          {"control",
           {{"deaths_seen", status.membership.deaths},
            {"rejoins", status.membership.rejoins},
            {"pauses", status.membership.pauses},
            {"datagrams_accepted", status.auth.accepted},
            {"datagrams_forged", status.auth.forged},
            {"datagrams_replayed", status.auth.replayed},
            {"datagrams_truncated", status.auth.truncated},
            {"budget", ControlQueueToJson(status.budget)}}}};
}

nlohmann::json PacketStatsToJson(const packet_worker_stats& stats) {
  return {{"received", stats.received},
          {"sent", stats.sent},
          {"send_errors", stats.send_errors},
          {"detours_sent", stats.router.detours},
          {"detours_received", stats.detours_received},
          {"detours_refused", stats.detours_refused},
          {"dropped", stats.router.dropped},
          {"resets", stats.router.resets},
          {"pins", stats.router.pins},
          {"pins_refused", stats.router.pins_refused},
          {"open_buckets", stats.router.open_buckets},
          {"owned_buckets", stats.router.owned_buckets}};
}

nlohmann::json RequestStatsToJson(const request_task_stats& stats) {
  return {{"open", stats.requests},
          {"received", stats.requests_total},
          {"refused", stats.refused_total},
          {"cut", stats.aborted_total},
          {"caller_connections", stats.caller_connections},
          {"upstream_connections", stats.upstream_connections},
          {"buffered_bytes", stats.buffered_bytes}};
}

nlohmann::json TargetsToJson(const configuration& config) {
  nlohmann::json list = nlohmann::json::array();
  for (const service_config& service : config.services) {
    for (const target_config& target : service.targets) {
      const bool active = target.state == target_state::kActive;
      list.push_back({{"service", service.name},
                      {"target", target.name},
                      {"address", FormatEndpoint(target.address)},
                      {"data_centre", target.data_centre},
                      {"weight", target.weight},
                      {"state", active ? "active" : "draining"},
                      {"new_work", AcceptsNewWork(config, target)}});
    }
  }
  return list;
}

}  // namespace rosemaryreach
