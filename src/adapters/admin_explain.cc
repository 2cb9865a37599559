#include "adapters/admin_explain.h"

#include <algorithm>
#include <array>
#include <memory>

#include "rosemaryreach/flow_router.h"
#include "rosemaryreach/log.h"
#include "rosemaryreach/ownership.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

constexpr std::array<const char*, 5> kActionNames = {"drop", "target", "legacy",
                                                     "detour", "reset"};

std::string InstanceName(const fleet_view& view, instance_id id) {
  const instance_info* instance = FindInstance(view, id);
  return instance == nullptr ? "" : instance->name;
}

bool HasAddress(const service_config& service, const flow_query& query) {
  return service.protocol == query.protocol &&
         std::find(service.addresses.begin(), service.addresses.end(),
                   query.destination) != service.addresses.end();
}

const service_config* FindServiceByDestination(const configuration& config,
                                               const flow_query& query) {
  const auto found =
      std::find_if(config.services.begin(), config.services.end(),
                   [&query](const service_config& service) {
                     return HasAddress(service, query);
                   });
  return found == config.services.end() ? nullptr : &*found;
}

// Returns `config` reduced to `service`, or to no service if it is null: the
// route of one flow depends on no other service.
std::shared_ptr<const configuration> WithOnlyService(
    const configuration& config,
    const service_config* service) {
  std::shared_ptr<configuration> single_service =
      std::make_shared<configuration>();
  single_service->number = config.number;
  single_service->data_centres = config.data_centres;
  single_service->default_legacy = config.default_legacy;
  if (service != nullptr) {
    single_service->services.push_back(*service);
  }
  return single_service;
}

// Returns a view that holds only this instance, so that the router decides
// without asking another instance.
fleet_view ViewOfSelfOnly(const fleet_view& view) {
  fleet_view self_only;
  self_only.self = view.self;
  const instance_info* self = FindInstance(view, view.self);
  if (self != nullptr) {
    self_only.instances.push_back(*self);
  }
  return self_only;
}

packet_info FirstPacket(const flow_query& query) {
  packet_info packet;
  packet.kind = packet_kind::kFlow;
  packet.flow = {query.source, query.destination, query.protocol};
  packet.flow_hash = FlowHash(packet.flow);
  packet.syn = query.protocol == transport_protocol::kTcp;
  return packet;
}

json OwnersToJson(const fleet_view& view,
                  const owner_ranking& ranking,
                  std::uint64_t key) {
  const owner_pair owners = ranking.Owners(key);
  return {{"owner", InstanceName(view, owners.owner)},
          {"successor", InstanceName(view, owners.successor)}};
}

}  // namespace

result<json> ExplainFlow(const configuration& config,
                         const fleet_view& view,
                         const flow_query& query) {
  const service_config* service = FindServiceByDestination(config, query);
  const bool mismatch = service == nullptr || service->name != query.service;
  if (!query.service.empty() && mismatch) {
    return Fail(errc::kNotFound, "service \"" + query.service +
                                     "\" has no address " +
                                     FormatEndpoint(query.destination));
  }
  null_log_sink log;
  flow_router router(flow_router_options(), log);
  router.ApplyConfiguration(WithOnlyService(config, service), time_point());
  router.ApplyView(ViewOfSelfOnly(view), time_point());
  const packet_info packet = FirstPacket(query);
  const flow_decision decision = router.Route(packet, nullptr, time_point());
  json response = {
      {"number", config.number},
      {"service", decision.service},
      {"action", kActionNames.at(static_cast<std::size_t>(decision.action))},
      {"rule", decision.rule},
      {"target", decision.target},
      {"next_hop", FormatEndpoint(decision.next_hop)}};
  const instance_info* self = FindInstance(view, view.self);
  if (service != nullptr && self != nullptr) {
    const std::uint32_t bucket =
        static_cast<std::uint32_t>(packet.flow_hash) & (service->buckets - 1);
    response["bucket"] = bucket;
    response.update(OwnersToJson(view, owner_ranking(view, self->region),
                                 BucketKey(service->name, bucket)));
  }
  return response;
}

result<json> ExplainRequest(const configuration& config,
                            const fleet_view& view,
                            const request_query& query) {
  const service_config* service = FindService(config, query.service);
  if (service == nullptr || service->plane != service_plane::kRequests) {
    return Fail(errc::kNotFound,
                "no service \"" + query.service + "\" handles requests");
  }
  json targets = json::object();
  for (const target_config& target : service->targets) {
    const data_centre_config* centre =
        FindDataCentre(config, target.data_centre);
    const std::string region = centre == nullptr ? "" : centre->region;
    json& entry = targets[target.name];
    entry = OwnersToJson(view, owner_ranking(view, region, target.data_centre),
                         TargetKey(service->name, target.name));
    entry["address"] = FormatEndpoint(target.address);
    entry["data_centre"] = target.data_centre;
    entry["new_work"] = AcceptsNewWork(config, target);
  }
  return json{{"number", config.number},
              {"service", service->name},
              {"rule", "least-busy-target"},
              {"targets", std::move(targets)}};
}

}  // namespace rosemaryreach
