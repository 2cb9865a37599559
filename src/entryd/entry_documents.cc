#include "entryd/entry_documents.h"

#include <algorithm>
#include <array>
#include <utility>

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

const char* NameOf(target_listing listing) {
  static constexpr std::array<const char*, 3> kNames = {"listed", "missing",
                                                        "gone"};
  return kNames.at(static_cast<std::size_t>(listing));
}

const char* NameOf(flow_phase phase) {
  static constexpr std::array<const char*, 3> kNames = {"opening", "open",
                                                        "running"};
  return kNames.at(static_cast<std::size_t>(phase));
}

const char* NameOf(packet_verdict verdict) {
  static constexpr std::array<const char*, 3> kNames = {"target", "reset",
                                                        "drop"};
  return kNames.at(static_cast<std::size_t>(verdict));
}

// Returns what is known and how old it is; part of every answer.
json ViewDocument(const entry_parts& parts) {
  return {{"configuration_version", parts.directory.config().version},
          {"store_revision", parts.sync.revision()},
          {"view_age_ms", ToMillis(parts.sync.age())},
          {"store_away", parts.sync.store_away()}};
}

json TargetDocument(const entry_parts& parts,
                    target_index index,
                    time_point now) {
  const known_target& target = *parts.directory.Find(index);
  const target_status& contact = parts.ledger.StatusOf(index);
  return {{"id", target.record.id},
          {"service", target.record.service},
          {"address", FormatIpv4Endpoint(target.record.address)},
          {"data_centre", target.record.data_centre},
          {"listing", NameOf(target.listing)},
          {"listing_age_ms", ToMillis(now - target.listing_changed)},
          {"draining", target.record.state == target_state::kDraining},
          {"cold", now < target.cold_until},
          {"out", parts.directory.evacuated(target.record.data_centre)},
          {"new_flows", parts.picker.RuleFor(index, now)},
          {"doubted", contact.suspected},
          {"last_doubt", contact.suspect_reason},
          {"failed_probes", contact.failed_probes},
          {"open", contact.open},
          {"running", contact.running}};
}

json FollowedDocument(const flow_state& flow, time_point now) {
  return {{"phase", NameOf(flow.phase)},
          {"phase_ms", ToMillis(now - flow.phase_began)},
          {"last_packet_ms", ToMillis(now - flow.last_packet)},
          {"stalled", flow.stalled}};
}

bool HasService(const entry_route& route, const std::string& name) {
  return std::any_of(
      route.services.begin(), route.services.end(),
      [&name](const weighted_service& one) { return one.service == name; });
}

json ExplanationDocument(const entry_parts& parts,
                         const flow_explanation& found,
                         time_point now) {
  json answer = ViewDocument(parts);
  answer["route"] = found.route == nullptr ? "" : found.route->name;
  answer["service"] = found.service;
  answer["action"] = NameOf(found.next.verdict);
  answer["rule"] = found.next.rule;
  answer["targets"] = json::object();
  for (const rule_count& count : found.targets) {
    answer["targets"][count.rule] = count.targets;
  }
  answer["followed"] = found.tracked == nullptr
                           ? json(nullptr)
                           : FollowedDocument(*found.tracked, now);
  if (found.tracked != nullptr) {
    answer["target"] = TargetDocument(parts, found.tracked->target, now);
  }
  return answer;
}

}  // namespace

json StatusDocument(const entry_parts& parts, const readiness& state) {
  json peers = json::array();
  for (const peer_summary& peer : parts.sync.peers().peers()) {
    peers.push_back({{"address", FormatIpv4Endpoint({peer.address, 0})},
                     {"incarnation", peer.incarnation},
                     {"leaving", peer.leaving}});
  }
  json answer = ViewDocument(parts);
  answer["instance"] = parts.settings.instance;
  answer["data_centre"] = parts.settings.data_centre;
  answer["ready"] = state.ready;
  answer["waiting_for"] = state.waiting_for;
  answer["flows"] = parts.ledger.size();
  answer["peers"] = std::move(peers);
  return answer;
}

json TargetsDocument(const entry_parts& parts) {
  json all = json::array();
  const time_point now = BootTimeNow();
  for (target_index i = 0; i < parts.directory.targets().size(); ++i) {
    if (parts.directory.Find(i) != nullptr) {
      all.push_back(TargetDocument(parts, i, now));
    }
  }
  return all;
}

result<json> FlowDocument(const entry_parts& parts,
                          const view_freshness& trust,
                          const flow_question& question) {
  if (!question.source.address.is_v4() ||
      !question.destination.address.is_v4()) {
    return Fail(errc::kUnsupported, "expected IPv4 addresses");
  }
  const time_point now = BootTimeNow();
  const flow_key flow{ToIpv4Endpoint(question.source),
                      ToIpv4Endpoint(question.destination)};
  const flow_explanation found = parts.director.Explain(flow, trust, now);
  const bool wrong =
      !question.service.empty() &&
      (found.route == nullptr || !HasService(*found.route, question.service));
  if (wrong) {
    return Fail(errc::kNotFound, "service \"" + question.service +
                                     "\" is not behind " +
                                     FormatEndpoint(question.destination));
  }
  return ExplanationDocument(parts, found, now);
}

}  // namespace rosemaryreach
