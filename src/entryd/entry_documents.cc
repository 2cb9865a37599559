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

const char* NameOf(probe_outcome outcome) {
  static constexpr std::array<const char*, 4> kNames = {"none", "no_answer",
                                                        "refused", "reached"};
  return kNames.at(static_cast<std::size_t>(outcome));
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

// Returns the version and age of the view; included in every status and
// explanation.
json ViewDocument(const entry_components& components) {
  return {{"configuration_version", components.directory.config().version},
          {"store_era", components.sync.cursor().era},
          {"store_revision", components.sync.cursor().revision},
          {"changed_revision", components.sync.changed().revision},
          {"view_age_ms", ToMillis(components.sync.age())},
          {"store_away", components.sync.store_unavailable()},
          {"departed_targets", components.directory.departed()}};
}

json TargetDocument(const entry_components& components,
                    target_index index,
                    time_point now) {
  const known_target& target = *components.directory.Find(index);
  const target_status& status = components.tracker.StatusOf(index);
  return {{"id", target.record.id},
          {"cookie", target.cookie},
          {"service", target.record.service},
          {"address", FormatIpv4Endpoint(target.record.address)},
          {"data_centre", target.record.data_centre},
          {"listing", NameOf(target.listing)},
          {"listing_age_ms", ToMillis(now - target.listing_changed)},
          {"draining", target.record.state == target_state::kDraining},
          {"cold", now < target.cold_until},
          {"out", components.directory.evacuated(target.record.data_centre)},
          {"new_flows", components.picker.RuleFor(index, now)},
          {"doubted", status.suspected},
          {"last_doubt", status.suspect_reason},
          {"failed_probes", status.failed_probes},
          {"last_probe", NameOf(status.last_probe)},
          {"last_probe_ms", status.last_probed == time_point{}
                                ? json(nullptr)
                                : json(ToMillis(now - status.last_probed))},
          {"open", status.open},
          {"running", status.running}};
}

json TrackedFlowDocument(const flow_state& flow, time_point now) {
  return {{"phase", NameOf(flow.phase)},
          {"phase_ms", ToMillis(now - flow.phase_began)},
          {"last_packet_ms", ToMillis(now - flow.last_packet)},
          {"stalled", flow.stalled}};
}

bool HasService(const entry_route& route, const std::string& name) {
  return std::any_of(route.services.begin(), route.services.end(),
                     [&name](const weighted_service& candidate) {
                       return candidate.service == name;
                     });
}

json ExplanationJson(const entry_components& components,
                     const flow_explanation& explanation,
                     time_point now) {
  json answer = ViewDocument(components);
  answer["route"] = explanation.route == nullptr ? "" : explanation.route->name;
  answer["service"] = explanation.service;
  answer["action"] = NameOf(explanation.next.verdict);
  answer["rule"] = explanation.next.rule;
  answer["targets"] = json::object();
  for (const rule_count& count : explanation.targets) {
    answer["targets"][count.rule] = count.targets;
  }
  answer["followed"] = explanation.tracked == nullptr
                           ? json(nullptr)
                           : TrackedFlowDocument(*explanation.tracked, now);
  if (explanation.tracked != nullptr) {
    answer["target"] =
        TargetDocument(components, explanation.tracked->target, now);
  }
  return answer;
}

}  // namespace

json StatusDocument(const entry_components& components,
                    const readiness& state) {
  json peers = json::array();
  for (const peer_summary& peer : components.sync.peers().peers()) {
    peers.push_back({{"address", FormatIpv4Endpoint({peer.address, 0})},
                     {"incarnation", peer.incarnation},
                     {"leaving", peer.leaving}});
  }
  json answer = ViewDocument(components);
  answer["instance"] = components.settings.instance;
  answer["build"] = components.build;
  answer["data_centre"] = components.settings.data_centre;
  answer["ready"] = state.ready;
  answer["waiting_for"] = state.waiting_for;
  answer["flows"] = components.tracker.size();
  answer["peers"] = std::move(peers);
  return answer;
}

json TargetsDocument(const entry_components& components) {
  json all = json::array();
  const time_point now = BootTimeNow();
  for (target_index i = 0; i < components.directory.targets().size(); ++i) {
    if (components.directory.Find(i) != nullptr) {
      all.push_back(TargetDocument(components, i, now));
    }
  }
  return all;
}

result<json> FlowExplanationDocument(const entry_components& components,
                                     const view_freshness& freshness,
                                     const flow_query& question) {
  if (!question.source.address.is_v4() ||
      !question.destination.address.is_v4()) {
    return Fail(errc::kUnsupported, "expected IPv4 addresses");
  }
  const time_point now = BootTimeNow();
  const flow_key flow{ToIpv4Endpoint(question.source),
                      ToIpv4Endpoint(question.destination)};
  const flow_explanation explanation =
      components.director.Explain(flow, freshness, now);
  const bool service_mismatch =
      !question.service.empty() &&
      (explanation.route == nullptr ||
       !HasService(*explanation.route, question.service));
  if (service_mismatch) {
    return Fail(errc::kNotFound, "service \"" + question.service +
                                     "\" is not routed at " +
                                     FormatEndpoint(question.destination));
  }
  return ExplanationJson(components, explanation, now);
}

}  // namespace rosemaryreach
