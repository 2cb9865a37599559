// Builds patches for common operator tasks.
#include <algorithm>

#include "config/enum_names.h"
#include "rosemaryreach/config_json.h"
#include "rosemaryreach/patch.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

result<const service_config*> RequireService(const configuration& config,
                                             std::string_view name) {
  const service_config* service = FindService(config, name);
  if (service == nullptr) {
    return Fail(errc::kNotFound, "no service of that name",
                "/services/" + std::string(name));
  }
  return service;
}

std::string TargetPath(std::string_view service, std::string_view target) {
  return "/services/" + std::string(service) + "/targets/" +
         std::string(target);
}

bool HasTarget(const service_config& service, std::string_view name) {
  return std::any_of(
      service.targets.begin(), service.targets.end(),
      [name](const target_config& target) { return target.name == name; });
}

result<void> RequireTarget(const configuration& config,
                           std::string_view service,
                           std::string_view target) {
  BOOST_OUTCOME_TRY(found, RequireService(config, service));
  if (!HasTarget(*found, target)) {
    return Fail(errc::kNotFound, "no target of that name",
                TargetPath(service, target));
  }
  return success();
}

patch SingleOperationPatch(const configuration& config,
                           const char* op,
                           const std::string& path,
                           const json& value) {
  json operation = {{"op", op}, {"path", path}};
  if (!value.is_null()) {
    operation["value"] = value;
  }
  return {config.number, "", json::array({std::move(operation)})};
}

}  // namespace

result<patch> SetDataCentreState(const configuration& config,
                                 std::string_view data_centre,
                                 data_centre_state state) {
  const std::string path = "/data_centres/" + std::string(data_centre);
  if (FindDataCentre(config, data_centre) == nullptr) {
    return Fail(errc::kNotFound, "no data centre of that name", path);
  }
  return SingleOperationPatch(config, "replace", path + "/state",
                              EnumName(state));
}

result<patch> SetTargetState(const configuration& config,
                             std::string_view service,
                             std::string_view target,
                             target_state state) {
  BOOST_OUTCOME_TRYV(RequireTarget(config, service, target));
  return SingleOperationPatch(config, "replace",
                              TargetPath(service, target) + "/state",
                              EnumName(state));
}

result<patch> AddTarget(const configuration& config,
                        std::string_view service,
                        const target_config& target) {
  BOOST_OUTCOME_TRY(found, RequireService(config, service));
  if (HasTarget(*found, target.name)) {
    return Fail(errc::kRuleViolation, "the service has this target already",
                TargetPath(service, target.name));
  }
  service_config single_target_service;
  single_target_service.targets.push_back(target);
  const json document = ServiceToJson(single_target_service);
  return SingleOperationPatch(config, "add", TargetPath(service, target.name),
                              document.at("targets").at(target.name));
}

result<patch> RemoveTarget(const configuration& config,
                           std::string_view service,
                           std::string_view target) {
  BOOST_OUTCOME_TRYV(RequireTarget(config, service, target));
  return SingleOperationPatch(config, "remove", TargetPath(service, target),
                              json());
}

result<patch> SetServiceShare(const configuration& config,
                              std::string_view service,
                              std::uint32_t share_percent) {
  BOOST_OUTCOME_TRY(found, RequireService(config, service));
  const std::string path = "/services/" + std::string(service) + "/legacy";
  if (!found->legacy) {
    return Fail(errc::kNotFound, "the service has no legacy next hop", path);
  }
  return SingleOperationPatch(config, "replace", path + "/share_percent",
                              share_percent);
}

}  // namespace rosemaryreach
