// A testbed for entry instances: store, targets, callers and fabric. Checks the
// guarantees of the service that callers and targets can observe.
#ifndef ROSEMARYREACH_TESTS_STANDINS_ENTRY_TESTBED_H_
#define ROSEMARYREACH_TESTS_STANDINS_ENTRY_TESTBED_H_

#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "entry_caller.h"
#include "entry_store.h"
#include "entry_target.h"
#include "loopback_address.h"

namespace rosemaryreach {

inline constexpr std::uint16_t kPacketPort = 7'000;
inline constexpr std::uint16_t kReadyPort = 7'001;
inline constexpr std::uint16_t kControlPort = 7'002;
inline constexpr std::uint16_t kPeerPort = 7'003;
inline constexpr std::uint16_t kTargetPort = 8'000;
inline constexpr std::uint16_t kStorePort = 8'001;

// Outcomes of calls so far.
struct call_counts {
  std::uint64_t answered = 0;
  std::uint64_t reset_opening = 0;
  std::uint64_t reset_open = 0;
  std::uint64_t timeouts = 0;
};

class entry_testbed {
 public:
  entry_testbed(event_loop& loop,
                std::size_t instances,
                std::size_t callers,
                std::uint64_t seed)
      : loop_(loop),
        random_(seed),
        rewrite_timer_(loop, [this] { RewriteStore(); }) {
    store_address_ = {UniqueLoopbackAddress(), kStorePort};
    proxy_address_ = {UniqueLoopbackAddress(), kStorePort};
    store_ = std::make_unique<entry_store>(loop, store_address_);
    std::vector<entry_fabric::instance> fabric;
    for (std::size_t i = 0; i < instances; ++i) {
      addresses_.push_back(UniqueLoopbackAddress());
      fabric.push_back(
          {{addresses_[i], kPacketPort}, {addresses_[i], kReadyPort}});
    }
    fabric_ = std::make_unique<entry_fabric>(loop, fabric);
    for (std::size_t i = 0; i < callers; ++i) {
      callers_.push_back(std::make_unique<entry_caller>(
          loop, *fabric_, endpoint{UniqueLoopbackAddress(), kPacketPort},
          [this](const ipv4_endpoint& caller,
                 const std::optional<endpoint>& open_at, const endpoint& from) {
            OnResetPacket(caller, open_at, from);
          }));
    }
  }

  // Publishes a configuration with routes for the services "ledger" (watches
  // and bookings) and "files". Every other configuration also has a route
  // "spare" to "files".
  void PublishConfiguration() {
    ++version_;
    toggled_route_ = version_ % 2 == 0;
    route_toggled_ = loop_.now();
    const auto route = [](const char* name, const char* host, const char* port,
                          const char* type, const char* service) {
      return nlohmann::json{{"name", name},
                            {"host", host},
                            {"prefix", port},
                            {"type", type},
                            {"service", service}};
    };
    nlohmann::json routes = {
        route("watch", "198.18.0.1", "/8443/", "idempotent", "ledger"),
        route("book", "198.18.0.1", "/8080/", "non_idempotent", "ledger"),
        route("files", "198.18.0.2", "/8443/", "download", "files")};
    if (toggled_route_) {
      routes.push_back(
          route("spare", "198.18.0.3", "/8443/", "download", "files"));
    }
    const nlohmann::json config = {
        {"version", version_},
        {"routes", std::move(routes)},
        {"services", {{{"name", "ledger"}}, {{"name", "files"}}}}};
    published_config_ = config.dump();
    store_->Put("op/config", published_config_);
  }

  // Brings the store back from a copy of at least this age. What operators and
  // targets had written is written again some time later.
  void RestoreStore(duration age) {
    store_->Restore(age);
    rewrite_timer_.Start(kRewriteDelay);
  }

  // Adds a target, at `address` or a new one; returns its id.
  std::string AddTarget(const std::string& service,
                        const std::string& data_centre,
                        std::optional<endpoint> address = std::nullopt) {
    entry_target_options options;
    options.id = "i-" + std::to_string(100'000 + ++targets_added_);
    options.service = service;
    options.data_centre = data_centre;
    options.address =
        address.value_or(endpoint{UniqueLoopbackAddress(), kTargetPort});
    options.caller_port = kPacketPort;
    targets_[options.id] = std::make_unique<entry_target>(
        loop_, *store_, options,
        entry_target_hooks{
            [this](const entry_target& target) { OnOpened(target); },
            [this](const entry_target& target, const std::string& request) {
              OnRequestRun(target, request);
            },
            [this](const entry_target& target, const ipv4_endpoint& caller) {
              OnUnknownFlow(target, caller);
            }});
    return options.id;
  }

  void RemoveTarget(const std::string& id) {
    targets_.at(id)->Deregister();
    targets_.erase(id);
  }

  // Removes a target; another one takes its address at once.
  void ReplaceAtAddress(const std::string& id) {
    const entry_target_options left = targets_.at(id)->options();
    RemoveTarget(id);
    AddTarget(left.service, left.data_centre, left.address);
  }

  // Removes all targets of a data centre and adds as many new ones.
  void ReplaceDataCentre(const std::string& data_centre) {
    std::vector<std::string> leaving;
    for (const auto& [id, target] : targets_) {
      if (target->options().data_centre == data_centre && !target->silent() &&
          !target->draining() && !target->full()) {
        leaving.push_back(id);
      }
    }
    for (const std::string& id : leaving) {
      AddTarget(targets_.at(id)->options().service, data_centre);
      RemoveTarget(id);
    }
  }

  // Has a target lose power and its entry expire. Another one with a new id
  // starts, at the same address if `same_address`.
  void ReplaceTarget(const std::string& id, bool same_address) {
    const entry_target_options old = targets_.at(id)->options();
    RemoveTarget(id);
    AddTarget(old.service, old.data_centre,
              same_address ? old.address
                           : endpoint{UniqueLoopbackAddress(), kTargetPort});
  }

  void Evacuate(const std::string& data_centre, bool out) {
    const std::string key = "op/evacuate/" + data_centre;
    if (out) {
      store_->Put(key, "{}");
      evacuated_[data_centre] = loop_.now();
    } else {
      store_->Delete(key);
      evacuated_.erase(data_centre);
    }
  }

  // Has callers keep open flows in use for some time after a timeout.
  // `check_lost`: no flow of a live target may get no answer in all that time.
  void KeepFlowsAfterTimeouts(bool check_lost) {
    check_lost_flows_ = check_lost;
    for (const std::unique_ptr<entry_caller>& caller : callers_) {
      caller->SetPatience(kPatience);
    }
  }

  // Opens a random flow: a watch with 10 requests, a booking or a file; one in
  // kToggledRouteShare goes to the address of the route "spare".
  void OpenFlow() {
    if (random_() % kToggledRouteShare == 0) {
      OpenToggledRouteFlow();
      return;
    }
    static constexpr ipv4_endpoint kWatchRoute{0xC6120001, 8443};
    static constexpr ipv4_endpoint kBookingRoute{0xC6120001, 8080};
    static constexpr ipv4_endpoint kFilesRoute{0xC6120002, 8443};
    entry_caller& caller = *callers_[random_() % callers_.size()];
    const std::uint64_t kind = random_() % 10;
    const std::string name = std::to_string(++flows_opened_);
    std::vector<std::string> requests = {"ledger book " + name};
    ipv4_endpoint to = kBookingRoute;
    if (kind < 4) {
      to = kWatchRoute;
      requests.clear();
      for (int i = 0; i < 10; ++i) {
        requests.push_back("ledger watch " + name + "." + std::to_string(i));
      }
    } else if (kind < 6) {
      to = kFilesRoute;
      requests = {"files file " + name};
    }
    caller.Open(to, requests, std::chrono::milliseconds(150),
                [this](const call_report& report) { OnCall(report); });
  }

  // Opens a watch that is idle for `pause` between its three requests.
  void OpenIdleFlow(duration pause) {
    const std::string name = "ledger watch " + std::to_string(++flows_opened_);
    callers_[random_() % callers_.size()]->Open(
        {0xC6120001, 8443}, {name + ".1", name + ".2", name + ".3"}, pause,
        [this](const call_report& report) { OnCall(report); });
  }

  // Opens a flow whose calls are reported to `report`; returns its key.
  flow_key OpenCall(const ipv4_endpoint& to,
                    std::vector<std::string> requests,
                    entry_flow::report_hook report,
                    duration pause = std::chrono::milliseconds(50)) {
    return callers_[0]->Open(to, std::move(requests), pause, std::move(report));
  }

  endpoint ControlAddress(std::size_t i) const {
    return {addresses_[i], kControlPort};
  }

  // Sets whether faults are active. Time bounds are not checked from then until
  // some seconds after the faults have ended.
  void SetFaultsActive(bool active) {
    faults_active_ = active;
    faults_changed_ = loop_.now();
  }
  bool RecoveredFromFaults() const {
    return !faults_active_ && loop_.now() - faults_changed_ >= kRecoveryTime;
  }

  // Writes the settings file of instance `i`; returns its path.
  std::string WriteSettings(std::size_t i, const std::string& directory) const {
    std::string path = directory + "/" + std::to_string(i) + ".yaml";
    const std::string ip = FormatIp(addresses_[i]);
    std::ofstream file(path);
    file << "nodeName: \"e-" << i << "\"\nzone: \"dc-"
         << "abc"[i % 3] << "\"\nlisten:\n  packetAddr: \"" << ip << ":"
         << kPacketPort << "\"\n  ready: \"" << ip << ":" << kReadyPort
         << "\"\n  control: \"" << ip << ":" << kControlPort
         << "\"\nportRange: [" << kPeerPort << ", " << kPeerPort + 15
         << "]\nseedAddrs:\n";
    for (std::size_t seed = 0; seed < 3 && seed < addresses_.size(); ++seed) {
      file << "  - \"" << FormatIp(addresses_[seed]) << ":" << kControlPort
           << "\"\n";
    }
    file << "bounds:\n  gracePeriodS: 6\n  flowTtlS: 60\nplatform:\n"
         << "  address: \""
         << FormatEndpoint(proxied_ ? proxy_address_ : store_address_)
         << "\"\n";
    return path;
  }

  // The address of the store. ProxyAddress() returns the address for a proxy in
  // front of it, and makes WriteSettings() use that one.
  const endpoint& StoreAddress() const { return store_address_; }
  const endpoint& ProxyAddress() {
    proxied_ = true;
    return proxy_address_;
  }

  // Sets whether time bounds are checked; disable on a busy machine.
  void SetCheckTimeBounds(bool check) { check_time_bounds_ = check; }

  entry_store& store() { return *store_; }
  const entry_fabric& fabric() const { return *fabric_; }
  std::map<std::string, std::unique_ptr<entry_target>>& targets() {
    return targets_;
  }
  const call_counts& counts() const { return counts_; }
  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t open_flows() const {
    std::size_t open = 0;
    for (const std::unique_ptr<entry_caller>& caller : callers_) {
      open += caller->open();
    }
    return open;
  }

 private:
  // Time bounds of the guarantees, which the requirements give as "a few
  // seconds".
  static constexpr duration kDrainBound = std::chrono::seconds(3);
  static constexpr duration kEvacuationBound = std::chrono::seconds(5);
  static constexpr duration kConfigBound = std::chrono::seconds(3);
  static constexpr duration kPatience = std::chrono::seconds(3);
  // Longer than a caller waits for an answer, with its patience.
  static constexpr duration kLostTime = std::chrono::seconds(5);
  // Longer than a target's heartbeats are apart.
  static constexpr duration kHeartbeatBound = std::chrono::seconds(1);
  static constexpr int kMaxStrayedPackets = 3;
  static constexpr std::uint64_t kToggledRouteShare = 15;
  static constexpr duration kRecoveryTime = std::chrono::seconds(4);
  static constexpr duration kRewriteDelay = std::chrono::milliseconds(700);

  void RewriteStore() {
    store_->Put("op/config", published_config_);
    for (const char* data_centre : {"dc-a", "dc-b", "dc-c"}) {
      const std::string key = "op/evacuate/" + std::string(data_centre);
      if (evacuated_.contains(data_centre)) {
        store_->Put(key, "{}");
      } else {
        store_->Delete(key);
      }
    }
    // Entries that no target renews run out.
    for (const std::string& key : store_->Keys("servers/")) {
      const auto target = targets_.find(key.substr(key.find('/') + 1));
      if (target == targets_.end() || !target->second->registered()) {
        store_->Delete(key);
      }
    }
  }

  // Opens a flow to the address of the route "spare". It must not be answered
  // if the configuration of kConfigBound ago lacks the route, and not be
  // refused if it has it.
  void OpenToggledRouteFlow() {
    static constexpr ipv4_endpoint kToggledRoute{0xC6120003, 8443};
    const bool timing_applies = check_time_bounds_ && RecoveredFromFaults() &&
                                loop_.now() - route_toggled_ > kConfigBound;
    const std::uint64_t version = version_;
    const std::string name = "files spare " + std::to_string(++flows_opened_);
    callers_[random_() % callers_.size()]->Open(
        kToggledRoute, {name}, std::chrono::milliseconds(150),
        [this, timing_applies, version](const call_report& report) {
          // Checked only if the configuration did not change and no fault was
          // active in the meantime.
          if (timing_applies && RecoveredFromFaults() && version == version_) {
            OnToggledRouteCall(report);
          }
        });
  }

  void OnToggledRouteCall(const call_report& report) {
    if (report.outcome == call_outcome::kAnswered && !toggled_route_) {
      AddViolation("\"" + report.request + "\" was answered without a route");
    } else if (report.outcome == call_outcome::kReset && !report.opened &&
               toggled_route_ && evacuated_.empty()) {
      AddViolation("\"" + report.request +
                   "\" was refused though it has a route");
    }
  }

  void AddViolation(const std::string& what) { violations_.push_back(what); }

  void OnOpened(const entry_target& target) {
    if (!check_time_bounds_ || !RecoveredFromFaults()) {
      return;
    }
    const time_point now = loop_.now();
    if (target.draining() && now - target.draining_since() > kDrainBound) {
      AddViolation("new flow at draining target " + target.options().id);
    }
    const auto out = evacuated_.find(target.options().data_centre);
    if (out != evacuated_.end() && now - out->second > kEvacuationBound) {
      AddViolation("new flow in evacuated data centre at " +
                   target.options().id);
    }
  }

  void OnRequestRun(const entry_target& target, const std::string& request) {
    if (!request.starts_with(target.options().service + " ")) {
      AddViolation("\"" + request + "\" ran at " + target.options().service);
    }
    const bool once = request.find(" book ") != std::string::npos;
    if (once && !booked_requests_.insert(request).second) {
      AddViolation("\"" + request + "\" ran twice");
    }
  }

  void OnUnknownFlow(const entry_target& target, const ipv4_endpoint& caller) {
    const bool held =
        std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
          return entry.second.get() != &target && entry.second->Holds(caller);
        });
    if (held && ++strayed_packets_[caller] == kMaxStrayedPackets) {
      AddViolation("packets of a flow that another target holds came to " +
                   target.options().id);
    }
  }

  // No fault explains a reset that reaches a flow that a live target holds,
  // whoever sent it and whichever packet it answers. A target resets no flow
  // that it holds.
  void OnResetPacket(const ipv4_endpoint& caller,
                     const std::optional<endpoint>& open_at,
                     const endpoint& from) {
    for (const auto& [id, target] : targets_) {
      const bool open =
          target->Holds(caller) ||
          (open_at == target->options().address && target->Accepted(caller));
      if (open && !target->silent() && reset_flows_.insert(caller).second) {
        AddViolation("flow of " + FormatEndpoint(ToEndpoint(caller)) +
                     (target->Holds(caller) ? " held" : " accepted") +
                     " by live target " + id + " was reset by " +
                     FormatEndpoint(from));
      }
    }
  }

  void OnCall(const call_report& report) {
    switch (report.outcome) {
      case call_outcome::kAnswered:
        ++counts_.answered;
        return;
      case call_outcome::kTimeout:
        ++counts_.timeouts;
        return;
      case call_outcome::kMismatched:
        AddViolation("\"" + report.request + "\" got another request's answer");
        return;
      case call_outcome::kReset:
        OnReset(report);
        return;
      case call_outcome::kLost:
        OnLost(report);
        return;
    }
  }

  // Instances learn of a target that left the store before their start from
  // each other, or from the store's history unless that was dropped.
  void OnLost(const call_report& report) {
    const auto found = targets_.find(report.target);
    if (!check_lost_flows_ || !check_time_bounds_ || !RecoveredFromFaults() ||
        found == targets_.end()) {
      return;
    }
    const entry_target& target = *found->second;
    const bool may_be_forgotten =
        !target.registered() &&
        store_->compacted_at() + kHeartbeatBound >= target.deregistered_at();
    if (!target.silent() && !may_be_forgotten &&
        !target.CutOffSince(loop_.now() - kLostTime)) {
      AddViolation("open flow of \"" + report.request + "\" at live target " +
                   report.target + " was lost");
    }
  }

  void OnReset(const call_report& report) {
    ++(report.opened ? counts_.reset_open : counts_.reset_opening);
    const auto target = targets_.find(report.target);
    if (!report.opened || target == targets_.end()) {
      return;
    }
    // No fault of paths, store or instances explains the reset of a live
    // target's flow.
    if (!target->second->silent()) {
      AddViolation("open flow to live target " + report.target + " was reset");
    }
  }

  event_loop& loop_;
  std::mt19937_64 random_;
  loop_timer rewrite_timer_;
  endpoint store_address_;
  endpoint proxy_address_;
  bool proxied_ = false;
  bool check_time_bounds_ = true;
  bool check_lost_flows_ = false;
  std::vector<ip_address> addresses_;
  std::unique_ptr<entry_store> store_;
  std::unique_ptr<entry_fabric> fabric_;
  std::map<std::string, std::unique_ptr<entry_target>> targets_;
  std::vector<std::unique_ptr<entry_caller>> callers_;
  std::map<std::string, time_point> evacuated_;
  std::set<std::string> booked_requests_;
  std::map<ipv4_endpoint, int> strayed_packets_;
  std::set<ipv4_endpoint> reset_flows_;
  std::vector<std::string> violations_;
  call_counts counts_;
  bool faults_active_ = false;
  time_point faults_changed_{};
  std::string published_config_;
  std::uint64_t version_ = 0;
  bool toggled_route_ = false;
  time_point route_toggled_{};
  std::uint64_t targets_added_ = 0;
  std::uint64_t flows_opened_ = 0;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_STANDINS_ENTRY_TESTBED_H_
