// Builders and a fixture for the tests of the entry modules.
#ifndef ROSEMARYREACH_TESTS_ENTRY_FIXTURE_H_
#define ROSEMARYREACH_TESTS_ENTRY_FIXTURE_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rosemaryreach/flow_tracker.h"
#include "rosemaryreach/packet_director.h"
#include "rosemaryreach/suspicion_accuracy.h"
#include "rosemaryreach/target_directory.h"
#include "rosemaryreach/target_picker.h"

namespace rosemaryreach {

inline time_point At(std::int64_t ms) {
  return time_point(std::chrono::milliseconds(ms));
}

inline constexpr ipv4_endpoint kWatchAddress{0xC6120001, 8443};
inline constexpr ipv4_endpoint kBookAddress{0xC6120001, 8080};
inline constexpr ipv4_endpoint kFilesAddress{0xC6120002, 8443};

inline entry_route Route(const char* name,
                         const ipv4_endpoint& address,
                         const char* service,
                         request_kind kind) {
  entry_route route;
  route.name = name;
  route.address = address;
  route.services = {{service, 1}};
  route.kind = kind;
  return route;
}

inline entry_config Config(std::uint64_t version) {
  entry_config config;
  config.version = version;
  config.routes = {
      Route("watch", kWatchAddress, "ledger", request_kind::kIdempotent),
      Route("book", kBookAddress, "ledger", request_kind::kNonIdempotent),
      Route("files", kFilesAddress, "files", request_kind::kBulk)};
  config.services = {{"ledger", 0, 0}, {"files", 0, 0}};
  return config;
}

// Returns the record of an active target; its address ends with `host`.
inline target_record Target(const std::string& id,
                            std::uint32_t host,
                            const std::string& data_centre = "dc-a",
                            const std::string& service = "ledger") {
  target_record record;
  record.id = id;
  record.wire_id = host;
  record.incarnation = 1;
  record.service = service;
  record.address = {0x0A800000 + host, 8080};
  record.data_centre = data_centre;
  record.slots = 2;
  return record;
}

// The directory, tracker, picker and director of one instance in dc-a.
struct entry_fixture {
  explicit entry_fixture(const std::string& in_data_centre = "dc-a",
                         std::uint64_t picker_seed = 7)
      : data_centre(in_data_centre), seed(picker_seed) {
    directory.Apply({}, Config(1), At(0));
  }

  target_index Add(const target_record& record, time_point now = At(0)) {
    directory.Apply({}, target_item{record}, now);
    return directory.FindCookie(MakeCookie(record.id, record.incarnation));
  }

  void Remove(const std::string& id, time_point now) {
    directory.Apply({}, removed_target{id}, now);
  }

  void Drain(target_record record, time_point now) {
    record.state = target_state::kDraining;
    directory.Apply({}, target_item{record}, now);
  }

  void Evacuate(const std::string& data_centre, bool out, time_point now) {
    directory.Apply({}, evacuation_item{data_centre, out}, now);
  }

  // Makes a target unreachable by failed probes.
  void MakeUnreachable(target_index target, time_point now) {
    tracker.MarkSuspected(target, "test");
    for (std::uint32_t i = 0; i < kUnreachableProbes; ++i) {
      tracker.OnProbeResult(target, probe_outcome::kNoAnswer, now);
    }
  }

  packet_decision Direct(const flow_packet& packet, time_point now) {
    return director.Direct(packet, freshness, now);
  }

  std::string data_centre;
  std::uint64_t seed;
  std::vector<directory_change> changes;
  std::vector<target_index> suspected;
  target_directory directory{
      std::chrono::seconds(75),
      [this](const directory_change& change) { changes.push_back(change); },
      [this](target_index target) { tracker.ResetTarget(target); }};
  flow_tracker tracker{
      1'000,
      {[this](target_index target, const char* /*reason*/) {
         suspected.push_back(target);
       },
       [](target_index, duration) {},
       [](const flow_key&, target_index, duration) {},
       [this](target_index target, duration elapsed, time_point now) {
         const target_record& record = directory.Find(target)->record;
         guard.OnAnswered(record.service, record.data_centre, elapsed, now);
       },
       [this](target_index target, time_point now) {
         accuracy.OnDisproved(target, now);
       },
       [this](target_index target, time_point now) {
         return accuracy.ProvesUnreachable(target, now);
       },
       [this](target_index target) {
         return Unreachable(tracker.StatusOf(target)) ||
                reachability.DataCentreUnreachable(
                    directory.Find(target)->record.data_centre);
       }}};
  suspicion_accuracy accuracy{directory, tracker};
  overload_guard guard;
  std::uint32_t local_instances = 1;
  std::size_t instances = 1;
  bool owns = true;
  data_centre_reachability reachability{directory, tracker, data_centre};
  target_picker picker{
      directory,
      tracker,
      reachability,
      data_centre,
      entry_bounds{},
      {[this] { return local_instances; }, [this] { return instances; },
       [this](std::uint32_t /*cookie*/) { return owns; }},
      seed};
  packet_director director{directory, tracker, reachability, picker, guard};
  view_freshness freshness{true, true};
};

inline flow_key Flow(std::uint16_t caller_port,
                     const ipv4_endpoint& to = kWatchAddress) {
  return {{0x64400007, caller_port}, to};
}

// Returns the first packet of a flow, or its n-th retransmission.
inline flow_packet FirstPacket(const flow_key& flow,
                               std::uint32_t retransmit_count = 0) {
  flow_packet packet;
  packet.flow = flow;
  packet.opens = true;
  packet.retransmit_count = retransmit_count;
  packet.sequence = 1'000;
  return packet;
}

// Returns a later packet of a flow with the cookie of its target.
inline flow_packet LaterPacket(const flow_key& flow,
                               std::uint32_t cookie,
                               std::uint32_t sequence,
                               std::uint32_t acknowledged,
                               std::uint16_t data_bytes) {
  flow_packet packet;
  packet.flow = flow;
  packet.cookie = cookie;
  packet.sequence = sequence;
  packet.acknowledged = acknowledged;
  packet.data_bytes = data_bytes;
  return packet;
}

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_ENTRY_FIXTURE_H_
