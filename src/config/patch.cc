#include "rosemaryreach/patch.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

#include "config/change_rules.h"
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

// Returns the checksum over all members but the checksum itself.
std::string Checksum(json document) {
  document.erase("checksum");
  return FormatHex(HashBytes(DumpJson(document)));
}

// The services that a patch touches; `all` if it addresses them as a whole.
struct touched_services {
  bool all = false;
  std::set<std::string, std::less<>> names;

  bool Has(std::string_view name) const {
    return all || names.find(name) != names.end();
  }
};

void AddTouched(const std::string& pointer, touched_services& touched) {
  const bool escaped = pointer.find('~') != std::string::npos;
  if (pointer.empty() || pointer == "/services" || escaped) {
    touched.all = true;
    return;
  }
  if (pointer.starts_with(kServicesPrefix)) {
    const std::string rest = pointer.substr(kServicesPrefix.size());
    touched.names.insert(rest.substr(0, rest.find('/')));
  }
}

touched_services TouchedServices(const json& operations) {
  touched_services touched;
  for (const json& operation : operations) {
    for (const char* member : {"path", "from"}) {
      if (operation.contains(member)) {
        AddTouched(operation.at(member).get<std::string>(), touched);
      }
    }
  }
  return touched;
}

// Returns the document of `config` with only the touched services.
json TouchedDocument(const configuration& config,
                     const touched_services& touched) {
  json document = GlobalSectionsToJson(config);
  json& services = document["services"];
  for (const service_config& service : config.services) {
    if (touched.Has(service.name)) {
      services[service.name] = ServiceToJson(service);
    }
  }
  return document;
}

// Merges the untouched services of `before` into `after`, sorted by name.
void MergeUntouched(const configuration& before,
                    const touched_services& touched,
                    configuration& after) {
  const std::vector<service_config> changed =
      std::exchange(after.services, std::vector<service_config>());
  std::vector<service_config> kept;
  std::copy_if(before.services.begin(), before.services.end(),
               std::back_inserter(kept),
               [&touched](const service_config& service) {
                 return !touched.Has(service.name);
               });
  std::merge(std::make_move_iterator(kept.begin()),
             std::make_move_iterator(kept.end()), changed.begin(),
             changed.end(), std::back_inserter(after.services),
             [](const service_config& a, const service_config& b) {
               return a.name < b.name;
             });
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
  const touched_services touched = TouchedServices(patch.operations);
  json document = TouchedDocument(config, touched);
  BOOST_OUTCOME_TRYV(ApplyOperations(patch.operations, document));
  if (document.is_object() && document.contains("number")) {
    return Fail(errc::kRuleViolation, "a patch can't set the number",
                "/number");
  }
  configuration_check next = ReadDocument(document);
  BOOST_OUTCOME_TRYV(FirstError(next.errors));
  MergeUntouched(config, touched, next.value);
  BOOST_OUTCOME_TRYV(FirstError(CheckRules(next.value)));
  BOOST_OUTCOME_TRYV(FirstError(CheckChange(config, next.value)));
  next.value.number = config.number + 1;
  return std::move(next.value);
}

result<patch> ParsePatch(std::string_view text) {
  if (text.size() >= kValueLimitBytes) {
    return Fail(errc::kTooLarge, "got " + std::to_string(text.size()) +
                                     " octets, expected fewer than " +
                                     std::to_string(kValueLimitBytes));
  }
  BOOST_OUTCOME_TRY(document, ParseJson(text));
  return ReadPatch(document);
}

result<patch> ReadPatch(const json& document) {
  if (document.is_object() && document.contains("checksum") &&
      document.at("checksum") != Checksum(document)) {
    return Fail(errc::kInvalidJson,
                "got " + DescribeValue(document.at("checksum")) +
                    ", expected " + Checksum(document),
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
