// Encodes beacons as CBOR arrays, in the order of the structs' members. Later
// builds may append members, which are ignored here; builds up to 631e016
// reject them, so none is written until these are no longer in service.
#include <nlohmann/json.hpp>

#include "entry/cbor_limits.h"
#include "entry/cursor_codec.h"
#include "rosemaryreach/peer_group.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

constexpr int kFormat = 3;
constexpr std::size_t kBeaconMembers = 6;
constexpr std::size_t kSummaryMembers = 7;
// An age that wraps would make a view look newer than now, for ever.
constexpr duration kMaxViewAge = std::chrono::years(100);

json ToJson(const peer_summary& summary) {
  return json::array({summary.address, summary.incarnation,
                      summary.heartbeat_count, summary.data_centre,
                      summary.cpu_millicores, summary.leaving,
                      CursorToJson(summary.changed)});
}

peer_summary ToSummary(const json& array) {
  if (array.size() < kSummaryMembers) {
    throw std::invalid_argument("peer summary with too few members");
  }
  return {UnsignedFromJson<std::uint32_t>(array.at(0)),
          UnsignedFromJson<std::uint64_t>(array.at(1)),
          UnsignedFromJson<std::uint32_t>(array.at(2)),
          UnsignedFromJson<std::uint32_t>(array.at(3)),
          UnsignedFromJson<std::uint32_t>(array.at(4)),
          array.at(5).get<bool>(),
          CursorFromJson(array.at(6))};
}

beacon ToBeacon(const json& array) {
  if (array.size() < kBeaconMembers || array.at(0) != kFormat ||
      array.at(5).size() > kMaxBeaconPeers) {
    throw std::invalid_argument("not a beacon of the supported format");
  }
  beacon read;
  read.from = ToSummary(array.at(1));
  read.wants_answer = array.at(2).get<bool>();
  read.cursor = CursorFromJson(array.at(3));
  const std::uint64_t age = UnsignedFromJson<std::uint64_t>(array.at(4));
  if (age > static_cast<std::uint64_t>(kMaxViewAge.count())) {
    throw std::invalid_argument("age of the view out of range");
  }
  read.age = duration(age);
  for (const json& other : array.at(5)) {
    read.others.push_back(ToSummary(other));
  }
  return read;
}

}  // namespace

std::string EncodeBeacon(const beacon& beacon) {
  json others = json::array();
  for (const peer_summary& other : beacon.others) {
    others.push_back(ToJson(other));
  }
  const json array = json::array(
      {kFormat, ToJson(beacon.from), beacon.wants_answer,
       CursorToJson(beacon.cursor), beacon.age.count(), std::move(others)});
  std::string bytes;
  json::to_cbor(array, bytes);
  return bytes;
}

std::optional<beacon> DecodeBeacon(std::string_view bytes) {
  if (!HasBoundedNesting(bytes)) {
    return std::nullopt;
  }
  try {
    // from_cbor() throws on declared sizes that exceed memory even though its
    // exceptions are disabled.
    const json array = json::from_cbor(bytes, true, false);
    return array.is_array() ? std::optional<beacon>(ToBeacon(array))
                            : std::nullopt;
  } catch (const std::exception&) {
    // The caller counts invalid datagrams.
    return std::nullopt;
  }
}

}  // namespace rosemaryreach
