#include "config/snapshot.h"

#include "config/config_document.h"
#include "config/json_text.h"
#include "config/schema_check.h"
#include "config/schemas.h"
#include "rosemaryreach/config_json.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

const json_schema& Schema() {
  static const json_schema kSchema(kSnapshotSchema);
  return kSchema;
}

// Returns the services of `config` in parts of about `part_bytes`; the first
// part also has the data centres and the legacy next hop.
std::vector<json> SplitDocument(const configuration& config,
                                std::size_t part_bytes) {
  std::vector<json> parts = {GlobalSectionsToJson(config)};
  std::size_t bytes = 0;
  for (const service_config& service : config.services) {
    json document = ServiceToJson(service);
    const std::size_t size = DumpJson(document).size();
    if (bytes > 0 && bytes + size > part_bytes) {
      parts.push_back({{"services", json::object()}});
      bytes = 0;
    }
    bytes += size;
    parts.back()["services"][service.name] = std::move(document);
  }
  return parts;
}

}  // namespace

result<json> ReadPartHeader(const log_entry& entry, const json& body) {
  const std::vector<error> errors = Schema().Check(body);
  if (!errors.empty()) {
    return boost::outcome_v2::failure(errors.front());
  }
  if (body.at("part") != entry.part || body.at("parts") != entry.parts ||
      entry.part > entry.parts) {
    return Fail(errc::kInvalidJson,
                "got " + body.at("part").dump() + ", expected part " +
                    std::to_string(entry.part) + " of " +
                    std::to_string(entry.parts),
                "/part");
  }
  json header = body;
  for (const char* member :
       {"part", "services", "data_centres", "default_legacy"}) {
    header.erase(member);
  }
  return header;
}

void MergePart(const json& body, json& document) {
  for (const char* member : {"data_centres", "default_legacy"}) {
    if (body.contains(member)) {
      document[member] = body.at(member);
    }
  }
  document["services"].update(body.at("services"));
}

bool IsPeerStateEntry(const log_entry& entry) {
  if (entry.parts == 0) {
    return false;
  }
  const result<json> body = ParseJson(entry.text);
  return body && body.value().is_object() &&
         body.value().value("kind", json()) == "state";
}

std::uint64_t GlobalSectionsDigest(const configuration& config) {
  return HashBytes(DumpJson(GlobalSectionsToJson(config)));
}

std::vector<log_entry> MakeSnapshot(const configuration& config,
                                    snapshot_kind kind,
                                    std::uint64_t sequence,
                                    std::size_t part_bytes) {
  std::vector<json> parts = SplitDocument(config, part_bytes);
  const std::string digest = FormatHex(ConfigurationDigest(config));
  std::vector<log_entry> entries;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i]["kind"] = kind == snapshot_kind::kPeerState ? "state" : "snapshot";
    parts[i]["number"] = config.number;
    parts[i]["digest"] = digest;
    parts[i]["part"] = i + 1;
    parts[i]["parts"] = parts.size();
    entries.push_back({sequence, static_cast<std::uint32_t>(i + 1),
                       static_cast<std::uint32_t>(parts.size()),
                       DumpJson(parts[i])});
  }
  return entries;
}

}  // namespace rosemaryreach
