// Decides which instances are alive: probes, suspicion, refutation and gossip
// within a data centre, links by a few contacts between data centres.
#ifndef ROSEMARYREACH_MEMBERSHIP_H_
#define ROSEMARYREACH_MEMBERSHIP_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "rosemaryreach/control_messages.h"
#include "rosemaryreach/fleet_view.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

struct membership_options {
  // Times in milliseconds.
  std::uint32_t probe_interval_ms = 1'000;
  std::uint32_t ack_timeout_ms = 250;
  std::uint32_t indirect_timeout_ms = 350;
  std::uint32_t suspicion_timeout_ms = 1'500;
  std::uint32_t gossip_interval_ms = 100;
  std::uint32_t link_interval_ms = 500;
  std::uint32_t remote_link_interval_ms = 1'500;
  std::uint32_t link_timeout_ms = 2'000;
  std::uint32_t join_retry_ms = 300;
  std::uint32_t isolation_timeout_ms = 2'000;
  // A pause after which the table is asked for anew, and one after which
  // others may hold this instance dead.
  std::uint32_t resync_pause_ms = 1'000;
  std::uint32_t rejoin_pause_ms = 2'000;
  std::uint32_t tombstone_ttl_ms = 900'000;
  // Members.
  std::uint32_t ring_successors = 3;
  std::uint32_t indirect_probes = 3;
  std::uint32_t gossip_fanout = 3;
  std::uint32_t gossip_rounds = 2;
  std::uint32_t contacts = 3;
  // Octets of gossip.
  std::uint32_t gossip_bytes_per_s = 1'500;
  std::uint32_t gossip_burst_bytes = 10'000;
};

// A message to send. `to` is zero if the receiver's id is not known yet.
struct outgoing_message {
  instance_id to;
  endpoint address;
  control_message message;
};

// A request for records, to be sent over gRPC.
struct outgoing_sync_request {
  contact peer;
  control_message message;
};

struct membership_actions {
  std::vector<outgoing_message> send;
  std::vector<outgoing_sync_request> sync_requests;
  bool view_changed = false;
};

struct membership_counters {
  std::uint64_t suspicions = 0;
  std::uint64_t refutations = 0;
  std::uint64_t deaths = 0;
  std::uint64_t rejoins = 0;
  std::uint64_t pauses = 0;
  std::uint64_t syncs = 0;
};

// One data centre as this instance sees it.
struct data_centre_status {
  std::string name;
  std::string region;
  bool reachable = false;
  std::uint32_t live_members = 0;
  std::uint64_t minimum_number = 0;
  std::uint64_t highest_number = 0;
};

class membership {
 public:
  // `self` carries the addresses, names and the incarnation of this start;
  // `seeds` are control endpoints of other instances of any data centre.
  membership(membership_options options,
             instance_info self,
             std::span<const endpoint> seeds,
             std::uint64_t seed);
  ~membership();
  membership(membership&&) noexcept;

  // Call each 50 ms or so, and first of all with the time of the start.
  membership_actions Tick(time_point now);

  // Takes in an authenticated message that came from `source`.
  membership_actions OnMessage(time_point now,
                               const endpoint& source,
                               const control_message& message);

  // Answers a sync_request that came over gRPC.
  control_message MakeSyncReply(const control_message& request) const;

  // Takes the platform's list of instances as a hint of whom to ask.
  void OnLiveList(std::span<const instance_info> instances);

  // Announces the own state. A member that was declared dead falls back to
  // kJoining; make it active again once its state is fresh. kLeaving keeps
  // answering until Leave().
  membership_actions SetState(time_point now, instance_state state);

  // Announces that this instance is gone. Nothing is sent after it.
  membership_actions Leave();

  // Announces the configuration number in force here and the sequence judged.
  membership_actions SetConfiguration(time_point now,
                                      std::uint64_t number,
                                      std::uint64_t sequence);

  // Fills in the sender's fields of a message of another module.
  control_message MakeControlMessage(control_body body) const;

  // The live instances of the region that are within reach. The number of an
  // instance is a lower bound that lags by less than a second.
  const fleet_view& view() const;

  // Returns whether the view may be acted on: false after a start or a pause
  // until peers have answered, or none has for some seconds.
  bool trusted() const;

  // Returns the members of the own data centre, without this one, in the
  // order in which they speak for it.
  std::vector<instance_info> Contacts() const;

  // Returns one contact of each other data centre if this instance is a
  // contact itself, otherwise nothing.
  std::vector<contact> LinkPeers() const;

  std::vector<data_centre_status> DataCentres() const;
  instance_state state() const;
  std::uint64_t incarnation() const;
  const membership_counters& counters() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_MEMBERSHIP_H_
