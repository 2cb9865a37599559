// Decides whether the first packet of a flow is forwarded, held until there is
// room at the targets of its service, or refused.
#ifndef ROSEMARYREACH_FLOW_ADMISSION_H_
#define ROSEMARYREACH_FLOW_ADMISSION_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rosemaryreach/first_packet_queue.h"
#include "rosemaryreach/flow_tracker.h"
#include "rosemaryreach/service_limit.h"
#include "rosemaryreach/shared_load.h"
#include "rosemaryreach/target_directory.h"

namespace rosemaryreach {

enum class admission_verdict : std::uint8_t {
  kAdmit,
  kHold,
  kRefuse,  // nothing of the flow was forwarded; its caller may be told so
  kDrop,    // a copy may have been forwarded by another instance
};

struct admission_decision {
  admission_verdict verdict = admission_verdict::kAdmit;
  const char* rule = "";
};

// A held packet that was decided.
struct released_packet {
  held_packet held;
  admission_decision decision;
};

// Returns whether the caller may be told that nothing has run: no copy of the
// packet can have been forwarded, neither here nor by another instance.
bool MayReset(const held_packet& held, time_point now);

struct admission_hooks {
  // Returns the live instances of all data centres, including this one.
  std::function<std::size_t()> instances;
  // Returns the speed of a target relative to its service; 1 if empty.
  std::function<double(target_index)> speed;
  // Returns the load of the other instances; nothing known if empty.
  std::function<std::optional<shared_service_load>(const std::string& service)>
      service_load;
  // Observes each decision on a first packet other than kHold of a copy, with
  // the time that it was held. Optional.
  std::function<void(std::uint32_t priority,
                     const admission_decision& decision,
                     duration waited)>
      decided;
};

// The state of a service, for operators.
struct admission_summary {
  std::string service;
  bool limited = false;  // an objective is declared and there are targets
  double limit = 0;
  double room = 0;
  std::int64_t in_flight = 0;
  std::size_t held = 0;
  duration work_time{};
  duration expected_response{};
};

class flow_admission {
 public:
  // `data_centre` is the hash of the own one's name, as in peer_summary.
  flow_admission(const target_directory& directory,
                 const flow_tracker& tracker,
                 std::uint32_t data_centre,
                 admission_hooks hooks,
                 std::uint64_t seed);

  // Admission takes part in decisions only while it is enabled. What is held
  // when it is disabled is admitted.
  void SetEnabled(bool enabled) { enabled_ = enabled; }

  // Decides on a first packet that was not forwarded before by this instance.
  admission_decision Offer(const flow_packet& packet,
                           const entry_route& route,
                           const std::string& service,
                           time_point now);

  // Returns the next held packet that is decided now, until there is none. An
  // admitted one must be counted by OnInFlight() before the next call. While
  // `may_open` is false, none is admitted.
  std::optional<released_packet> Release(bool may_open, time_point now);

  // Returns all held packets, for a stop of the process.
  std::vector<held_packet> TakeAll();

  // The hooks of flow_tracker.
  void OnInFlight(target_index target, int change);
  void OnAnswered(target_index target, duration elapsed);

  // Computes the limits of all services again; to be called every kLimitPeriod.
  void Recompute(time_point now);

  // Returns what Offer() would decide, without side effects.
  admission_decision Explain(const flow_key& flow,
                             const entry_route& route,
                             const std::string& service) const;

  std::vector<admission_summary> Summaries() const;
  // Returns the number of packets that Release() has not returned yet.
  std::size_t held() const { return Queued() + decided_.size(); }

 private:
  struct service_state {
    explicit service_state(std::uint64_t seed)
        : queue(kMaxHeldPackets, kMaxHeldBytes, seed) {}

    std::string name;
    duration objective{};  // the least of its routes; 0 if none is declared
    bool has_targets = false;
    double slots = 0;
    service_limit limit;
    first_packet_queue queue;
    std::int64_t in_flight = 0;
    std::int64_t peak = 0;    // of in_flight, since the last Recompute()
    double lower_credit = 0;  // admissions owed to less urgent packets
    // Recent admissions, decaying: by priority, and of returning callers.
    std::array<double, kLeastUrgent + 1> admitted{};
    double returning = 0;
    double contention = 0;    // packets held recently, decaying
    double spare_factor = 1;  // above 1 while the fleet has capacity to spare
  };

  // The first arrival of a refused caller, which may come back.
  struct kept_place {
    std::uint64_t caller = 0;
    time_point first_arrival{};
    time_point refused{};
  };

  service_state& StateOf(const std::string& service);
  const service_state* FindState(const std::string& service) const;
  bool Limited(const service_state& state) const {
    return enabled_ && state.objective > duration::zero() && state.has_targets;
  }
  // Returns whether a flow of this priority may be forwarded now.
  bool HasRoom(const service_state& state, std::uint32_t priority) const;
  std::size_t Queued() const;
  bool JoinHeld(const flow_packet& packet, time_point now);
  held_packet MakeHeld(const flow_packet& packet,
                       const entry_route& route,
                       const service_state& state,
                       time_point now);
  // Refuses the last packets of each priority that can't be served in time.
  void RefuseHopeless(service_state& state, time_point now);
  bool Hopeless(const service_state& state,
                std::uint32_t priority,
                std::size_t ahead,
                time_point now) const;
  std::optional<held_packet> TakeNext(service_state& state);
  void CountAdmitted(service_state& state,
                     std::uint32_t priority,
                     bool returning);
  void Decide(const held_packet& held, const char* rule, time_point now);
  admission_decision Report(std::uint32_t priority,
                            admission_verdict verdict,
                            const char* rule,
                            duration waited) const;
  double ShareOf(const service_state& state,
                 const std::optional<shared_service_load>& load,
                 double instances) const;
  void ComputeLimit(service_state& state, double instances, time_point now);
  kept_place& PlaceOf(const flow_key& flow, std::uint64_t& caller);
  void KeepPlace(const held_packet& held, time_point now);

  const target_directory& directory_;
  const flow_tracker& tracker_;
  std::uint32_t data_centre_;
  admission_hooks hooks_;
  std::uint64_t seed_;
  bool enabled_ = true;
  std::uint64_t config_version_ = 0;
  instance_count instances_;
  std::map<std::string, std::unique_ptr<service_state>> services_;
  std::vector<service_state*> state_of_target_;
  std::vector<kept_place> places_;
  std::deque<released_packet> decided_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_FLOW_ADMISSION_H_
