#include "rosemaryreach/config_json.h"

#include <nlohmann/json.hpp>

#include "config/config_document.h"
#include "config/enum_names.h"
#include "config/json_reader.h"
#include "config/json_text.h"
#include "config/schema_check.h"
#include "config/schemas.h"
#include "config/snapshot.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

const json_schema& Schema() {
  static const json_schema kSchema(kConfigurationSchema);
  return kSchema;
}

template <typename Enum>
void ReadEnumMember(const json_reader& reader, const char* name, Enum& out) {
  std::string value_name(EnumName(out));
  reader.Read(name, value_name);
  out = EnumValue<Enum>(value_name);
}

data_centre_config ReadDataCentre(const json_reader& reader,
                                  const std::string& name) {
  data_centre_config centre;
  centre.name = name;
  reader.Read("region", centre.region);
  ReadEnumMember(reader, "state", centre.state);
  return centre;
}

target_config ReadTarget(const json_reader& reader, const std::string& name) {
  target_config target;
  target.name = name;
  reader.ReadEndpoint("address", target.address);
  reader.Read("data_centre", target.data_centre);
  reader.Read("weight", target.weight);
  reader.Read("slots", target.slots);
  reader.Read("cold_rate_per_s", target.cold_rate_per_s);
  reader.Read("warmup_ms", target.warmup_ms);
  ReadEnumMember(reader, "state", target.state);
  if (reader.Has("probe")) {
    target.probe.emplace();
    reader.ReadEndpoint("probe", *target.probe);
  }
  return target;
}

legacy_config ReadLegacy(const json_reader& reader) {
  legacy_config legacy;
  reader.ReadEndpoint("next_hop", legacy.next_hop);
  reader.Read("share_percent", legacy.share_percent);
  return legacy;
}

request_policy ReadRequests(const json_reader& reader) {
  request_policy policy;
  reader.Read("idempotent_methods", policy.idempotent_methods);
  reader.Read("bulk_prefixes", policy.bulk_prefixes);
  reader.Read("watch_prefixes", policy.watch_prefixes);
  reader.Read("queue_limit", policy.queue_limit);
  reader.Read("default_deadline_ms", policy.default_deadline_ms);
  reader.Read("max_deadline_ms", policy.max_deadline_ms);
  reader.Read("retry_budget_percent", policy.retry_budget_percent);
  reader.Read("idempotency_window_ms", policy.idempotency_window_ms);
  return policy;
}

service_config ReadService(const json_reader& reader, const std::string& name) {
  service_config service;
  service.name = name;
  reader.ReadEndpoints("addresses", service.addresses);
  ReadEnumMember(reader, "protocol", service.protocol);
  ReadEnumMember(reader, "plane", service.plane);
  reader.Read("buckets", service.buckets);
  reader.Read("flow_idle_timeout_ms", service.flow_idle_timeout_ms);
  if (reader.Has("legacy")) {
    service.legacy = ReadLegacy(reader.Member("legacy"));
  }
  if (reader.Has("requests")) {
    service.requests = ReadRequests(reader.Member("requests"));
  }
  if (reader.Has("targets")) {
    const json_reader targets = reader.Member("targets");
    for (const auto& item : targets.object().items()) {
      service.targets.push_back(
          ReadTarget(targets.Member(item.key()), item.key()));
    }
  }
  return service;
}

json TargetToJson(const target_config& target) {
  json document = {{"address", FormatEndpoint(target.address)},
                   {"data_centre", target.data_centre},
                   {"weight", target.weight},
                   {"slots", target.slots},
                   {"cold_rate_per_s", target.cold_rate_per_s},
                   {"warmup_ms", target.warmup_ms},
                   {"state", EnumName(target.state)}};
  if (target.probe) {
    document["probe"] = FormatEndpoint(*target.probe);
  }
  return document;
}

json RequestsToJson(const request_policy& policy) {
  return {{"idempotent_methods", policy.idempotent_methods},
          {"bulk_prefixes", policy.bulk_prefixes},
          {"watch_prefixes", policy.watch_prefixes},
          {"queue_limit", policy.queue_limit},
          {"default_deadline_ms", policy.default_deadline_ms},
          {"max_deadline_ms", policy.max_deadline_ms},
          {"retry_budget_percent", policy.retry_budget_percent},
          {"idempotency_window_ms", policy.idempotency_window_ms}};
}

json AddressesToJson(const std::vector<endpoint>& addresses) {
  json list = json::array();
  for (const endpoint& address : addresses) {
    list.push_back(FormatEndpoint(address));
  }
  return list;
}

}  // namespace

json ServiceToJson(const service_config& service) {
  json document = {{"addresses", AddressesToJson(service.addresses)},
                   {"protocol", EnumName(service.protocol)},
                   {"plane", EnumName(service.plane)},
                   {"buckets", service.buckets},
                   {"flow_idle_timeout_ms", service.flow_idle_timeout_ms},
                   {"requests", RequestsToJson(service.requests)},
                   {"targets", json::object()}};
  if (service.legacy) {
    document["legacy"] = {
        {"next_hop", FormatEndpoint(service.legacy->next_hop)},
        {"share_percent", service.legacy->share_percent}};
  }
  json& targets = document["targets"];
  for (const target_config& target : service.targets) {
    targets[target.name] = TargetToJson(target);
  }
  return document;
}

json GlobalSectionsToJson(const configuration& config) {
  json document = {{"data_centres", json::object()},
                   {"services", json::object()}};
  json& centres = document["data_centres"];
  for (const data_centre_config& centre : config.data_centres) {
    centres[centre.name] = {{"region", centre.region},
                            {"state", EnumName(centre.state)}};
  }
  if (config.default_legacy) {
    document["default_legacy"] = FormatEndpoint(*config.default_legacy);
  }
  return document;
}

json ConfigurationToJson(const configuration& config) {
  json document = GlobalSectionsToJson(config);
  document["number"] = config.number;
  json& services = document["services"];
  for (const service_config& service : config.services) {
    services[service.name] = ServiceToJson(service);
  }
  return document;
}

std::string FormatConfiguration(const configuration& config) {
  return ConfigurationToJson(config).dump(2, ' ', true,
                                          json::error_handler_t::replace) +
         "\n";
}

configuration_check ReadDocument(const json& document) {
  configuration_check check;
  check.errors = Schema().Check(document);
  if (!check.ok()) {
    return check;
  }
  const json_reader reader(document, "", check.errors);
  reader.Read("number", check.value.number);
  if (reader.Has("default_legacy")) {
    check.value.default_legacy.emplace();
    reader.ReadEndpoint("default_legacy", *check.value.default_legacy);
  }
  const json_reader centres = reader.Member("data_centres");
  for (const auto& item : centres.object().items()) {
    check.value.data_centres.push_back(
        ReadDataCentre(centres.Member(item.key()), item.key()));
  }
  const json_reader services = reader.Member("services");
  for (const auto& item : services.object().items()) {
    check.value.services.push_back(
        ReadService(services.Member(item.key()), item.key()));
  }
  return check;
}

configuration_check CheckConfiguration(std::string_view text) {
  const result<json> document = ParseJson(text);
  if (!document) {
    return {{}, {document.error()}};
  }
  configuration_check check = ReadDocument(document.value());
  if (check.ok()) {
    check.errors = CheckRules(check.value);
  }
  return check;
}

result<configuration> ParseConfiguration(std::string_view text) {
  configuration_check check = CheckConfiguration(text);
  if (!check.ok()) {
    return boost::outcome_v2::failure(check.errors.front());
  }
  return std::move(check.value);
}

std::uint64_t ServiceDigest(const service_config& service) {
  return HashBytes(DumpJson(ServiceToJson(service)), HashBytes(service.name));
}

std::uint64_t ConfigurationDigest(const configuration& config) {
  std::uint64_t digest = GlobalSectionsDigest(config);
  for (const service_config& service : config.services) {
    digest += ServiceDigest(service);
  }
  return digest;
}

}  // namespace rosemaryreach
