#include "rosemaryreach/patch.h"

#include <algorithm>
#include <set>
#include <vector>

#include "config/config_document.h"
#include "config/json_patch.h"
#include "config/json_text.h"
#include "config/schema_check.h"
#include "config/schemas.h"
#include "rosemaryreach/config_json.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

constexpr std::string_view kServicesPrefix = "/services/";

const json_schema& Schema() {
  static const json_schema kSchema(kPatchSchema);
  return kSchema;
}

json PatchToJson(const patch& patch) {
  return {{"kind", "patch"},
          {"base", patch.base},
          {"author", patch.author},
          {"operations", patch.operations}};
}

// Covers all members but the checksum itself.
std::string Checksum(json document) {
  document.erase("checksum");
  return FormatHex(HashBytes(DumpJson(document)));
}

// Returns the rule that a change of `service` from `before` breaks, or "".
std::string FixedMember(const service_config& before,
                        const service_config& after) {
  if (before.buckets != after.buckets) {
    return "buckets";
  }
  if (before.protocol != after.protocol) {
    return "protocol";
  }
  return before.plane != after.plane ? "plane" : "";
}

result<void> CheckFixedMembers(const configuration& before,
                               const configuration& after) {
  for (const service_config& service : after.services) {
    const service_config* old = FindService(before, service.name);
    const std::string member = old == nullptr ? "" : FixedMember(*old, service);
    if (!member.empty()) {
      return Fail(errc::kRuleViolation,
                  "expected no change during a service's life",
                  "/services/" + service.name + "/" + member);
    }
  }
  return success();
}

result<void> FirstError(const std::vector<error>& errors) {
  if (errors.empty()) {
    return success();
  }
  const std::string more =
      errors.size() == 1
          ? ""
          : " (and " + std::to_string(errors.size() - 1) + " more)";
  return Fail(errors.front().code, errors.front().detail + more,
              errors.front().path);
}

}  // namespace

result<configuration> ApplyPatch(const configuration& config,
                                 const patch& patch) {
  if (patch.base != config.number) {
    return Fail(errc::kWrongBase,
                "got " + std::to_string(patch.base) +
                    ", expected the number in force, " +
                    std::to_string(config.number),
                "/base");
  }
  BOOST_OUTCOME_TRYV(FirstError(Schema().Check(PatchToJson(patch))));
  json document = ConfigurationToJson(config);
  document.erase("number");
  BOOST_OUTCOME_TRYV(ApplyOperations(patch.operations, document));
  if (document.is_object() && document.contains("number")) {
    return Fail(errc::kRuleViolation, "a patch can't set the number",
                "/number");
  }
  configuration_check next = ReadDocument(document);
  BOOST_OUTCOME_TRYV(FirstError(next.errors));
  BOOST_OUTCOME_TRYV(FirstError(CheckRules(next.value)));
  BOOST_OUTCOME_TRYV(CheckFixedMembers(config, next.value));
  next.value.number = config.number + 1;
  return std::move(next.value);
}

result<patch> ParsePatch(std::string_view text) {
  if (text.size() >= kMaxValueBytes) {
    return Fail(errc::kTooLarge, "got " + std::to_string(text.size()) +
                                     " octets, expected fewer than " +
                                     std::to_string(kMaxValueBytes));
  }
  BOOST_OUTCOME_TRY(document, ParseJson(text));
  return ReadPatch(document);
}

result<patch> ReadPatch(const json& document) {
  if (document.is_object() && document.contains("checksum") &&
      document.at("checksum") != Checksum(document)) {
    return Fail(errc::kInvalidJson,
                "got " + ShowValue(document.at("checksum")) + ", expected " +
                    Checksum(document),
                "/checksum");
  }
  BOOST_OUTCOME_TRYV(FirstError(Schema().Check(document)));
  patch parsed;
  parsed.base = document.at("base").get<std::uint64_t>();
  parsed.author = document.at("author").get<std::string>();
  parsed.operations = document.at("operations");
  return parsed;
}

std::string FormatPatch(const patch& patch) {
  json document = PatchToJson(patch);
  document["checksum"] = Checksum(document);
  return document.dump(2, ' ', true, json::error_handler_t::replace) + "\n";
}

patch DiffConfigurations(const configuration& from,
                         const configuration& to,
                         std::string author) {
  json before = ConfigurationToJson(from);
  json after = ConfigurationToJson(to);
  before.erase("number");
  after.erase("number");
  return {from.number, std::move(author), json::diff(before, after)};
}

}  // namespace rosemaryreach
