// Tracks which instances are alive: SWIM-style probes, suspicion, refutation
// and gossip within a data centre, links between contacts across data centres.
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
  // Gap between calls after which the member table is requested again, and one
  // after which peers may have declared this instance dead.
  std::uint32_t resync_pause_ms = 1'000;
  std::uint32_t rejoin_pause_ms = 2'000;
  std::uint32_t tombstone_ttl_ms = 900'000;
  // Numbers of members.
  std::uint32_t ring_successors = 3;
  std::uint32_t indirect_probes = 3;
  std::uint32_t gossip_fanout = 3;
  std::uint32_t gossip_rounds = 2;
  std::uint32_t contacts = 3;
  // Octets of gossip traffic.
  std::uint32_t gossip_bytes_per_s = 1'500;
  std::uint32_t gossip_burst_bytes = 10'000;
};

// A message to send over UDP. `to` is zero if the receiver's id isn't known.
struct outgoing_message {
  instance_id to;
  endpoint address;
  control_message message;
};

// A sync_request to send over gRPC.
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

// The state of one data centre as this instance sees it.
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
  // `self` has the own names, addresses and incarnation; `seeds` are control
  // endpoints of instances in any data centre.
  membership(membership_options options,
             instance_info self,
             std::span<const endpoint> seeds,
             std::uint64_t seed);
  ~membership();
  membership(membership&&) noexcept;

  // Runs timers. Must be the first call; repeat about every 50 ms.
  membership_actions Tick(time_point now);

  // Handles an authenticated message received from `source`.
  membership_actions OnMessage(time_point now,
                               const endpoint& source,
                               const control_message& message);

  // Returns the sync_reply to a sync_request received over gRPC.
  control_message MakeSyncReply(const control_message& request) const;

  // Sets the platform's list of instances, used as candidates for joining.
  void OnLiveList(std::span<const instance_info> instances);

  // Announces the own state. An instance that was declared dead returns to
  // kJoining; set kActive again when its state is current. An instance in
  // kLeaving keeps answering until Leave().
  membership_actions SetState(time_point now, instance_state state);

  // Announces that this instance leaves. Later calls send nothing.
  membership_actions Leave();

  // Announces the configuration number in force and the last sequence handled.
  membership_actions SetConfiguration(time_point now,
                                      std::uint64_t number,
                                      std::uint64_t sequence);

  // Returns a message with `body` and the sender's fields filled in.
  control_message MakeControlMessage(control_body body) const;

  // Returns the live, reachable instances of the region. Their configuration
  // numbers are lower bounds that lag by less than a second.
  const fleet_view& view() const;

  // Returns whether the view is complete enough for decisions on ownership:
  // false after a start or pause until peers have answered, or for some seconds
  // if none does.
  bool trusted() const;

  // Returns the contacts of the own data centre without this instance, highest
  // rank first.
  std::vector<instance_info> Contacts() const;

  // Returns one contact of each other data centre, or nothing if this instance
  // isn't a contact.
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
