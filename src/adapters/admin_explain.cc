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

std::string NameOf(const fleet_view& view, instance_id id) {
  const instance_info* instance = FindInstance(view, id);
  return instance == nullptr ? "" : instance->name;
}

bool HasAddress(const service_config& service, const flow_query& question) {
  return service.protocol == question.protocol &&
         std::find(service.addresses.begin(), service.addresses.end(),
                   question.destination) != service.addresses.end();
}

const service_config* ServiceAt(const configuration& config,
                                const flow_query& question) {
  const auto found =
      std::find_if(config.services.begin(), config.services.end(),
                   [&question](const service_config& service) {
                     return HasAddress(service, question);
                   });
  return found == config.services.end() ? nullptr : &*found;
}

// Returns `config` with at most the one service, which is all a flow needs.
std::shared_ptr<const configuration> Reduce(const configuration& config,
                                            const service_config* service) {
  std::shared_ptr<configuration> reduced = std::make_shared<configuration>();
  reduced->number = config.number;
  reduced->data_centres = config.data_centres;
  reduced->default_legacy = config.default_legacy;
  if (service != nullptr) {
    reduced->services.push_back(*service);
  }
  return reduced;
}

// Returns a view of this instance alone, which asks no one.
fleet_view Alone(const fleet_view& view) {
  fleet_view alone;
  alone.self = view.self;
  const instance_info* self = FindInstance(view, view.self);
  if (self != nullptr) {
    alone.instances.push_back(*self);
  }
  return alone;
}

packet_info FirstPacket(const flow_query& question) {
  packet_info packet;
  packet.kind = packet_kind::kFlow;
  packet.flow = {question.source, question.destination, question.protocol};
  packet.flow_hash = FlowHash(packet.flow);
  packet.syn = question.protocol == transport_protocol::kTcp;
  return packet;
}

json OwnersToJson(const fleet_view& view,
                  const owner_ranking& ranking,
                  std::uint64_t key) {
  const owner_pair owners = ranking.Owners(key);
  return {{"owner", NameOf(view, owners.owner)},
          {"successor", NameOf(view, owners.successor)}};
}

}  // namespace

result<json> ExplainFlow(const configuration& config,
                         const fleet_view& view,
                         const flow_query& question) {
  const service_config* service = ServiceAt(config, question);
  const bool other = service == nullptr || service->name != question.service;
  if (!question.service.empty() && other) {
    return Fail(errc::kNotFound, "service \"" + question.service +
                                     "\" doesn't have " +
                                     FormatEndpoint(question.destination));
  }
  null_log_sink log;
  flow_router router(flow_router_options(), log);
  router.ApplyConfiguration(Reduce(config, service), time_point());
  router.ApplyView(Alone(view), time_point());
  const packet_info packet = FirstPacket(question);
  const flow_decision made = router.Route(packet, nullptr, time_point());
  json answer = {
      {"number", config.number},
      {"service", made.service},
      {"action", kActionNames.at(static_cast<std::size_t>(made.action))},
      {"rule", made.rule},
      {"target", made.target},
      {"next_hop", FormatEndpoint(made.next_hop)}};
  const instance_info* self = FindInstance(view, view.self);
  if (service != nullptr && self != nullptr) {
    const std::uint32_t bucket =
        static_cast<std::uint32_t>(packet.flow_hash) & (service->buckets - 1);
    answer["bucket"] = bucket;
    answer.update(OwnersToJson(view, owner_ranking(view, self->region),
                               BucketKey(service->name, bucket)));
  }
  return answer;
}

result<json> ExplainRequest(const configuration& config,
                            const fleet_view& view,
                            const request_query& question) {
  const service_config* service = FindService(config, question.service);
  if (service == nullptr || service->plane != service_plane::kRequests) {
    return Fail(errc::kNotFound,
                "no service \"" + question.service + "\" takes requests");
  }
  json targets = json::object();
  for (const target_config& target : service->targets) {
    const data_centre_config* centre =
        FindDataCentre(config, target.data_centre);
    const std::string region = centre == nullptr ? "" : centre->region;
    json& row = targets[target.name];
    row = OwnersToJson(view, owner_ranking(view, region, target.data_centre),
                       TargetKey(service->name, target.name));
    row["address"] = FormatEndpoint(target.address);
    row["data_centre"] = target.data_centre;
    row["new_work"] = AcceptsNewWork(config, target);
  }
  return json{{"number", config.number},
              {"service", service->name},
              {"rule", "least-busy-target"},
              {"targets", std::move(targets)}};
}

}  // namespace rosemaryreach
