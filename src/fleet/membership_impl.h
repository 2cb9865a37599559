// Implementation of membership: events and the view (membership.cc), joining
// (membership_join.cc), probes (membership_probe.cc), dissemination of records
// (membership_gossip.cc) and links between data centres (membership_links.cc).
#ifndef ROSEMARYREACH_FLEET_MEMBERSHIP_IMPL_H_
#define ROSEMARYREACH_FLEET_MEMBERSHIP_IMPL_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/member_table.h"
#include "rosemaryreach/membership.h"

namespace rosemaryreach {

class membership::impl {
 public:
  impl(membership_options options,
       instance_info self,
       std::span<const endpoint> seeds,
       std::uint64_t seed);

  membership_actions Tick(time_point now);
  membership_actions OnMessage(time_point now,
                               const endpoint& source,
                               const control_message& message);
  void OnLiveList(std::span<const instance_info> instances);
  membership_actions SetState(time_point now, instance_state state);
  membership_actions Leave();
  membership_actions SetConfiguration(time_point now,
                                      std::uint64_t number,
                                      std::uint64_t sequence);
  control_message MakeSyncReply(const control_message& request) const;
  control_message MakeControlMessage(control_body body) const;
  std::vector<instance_info> Contacts() const;
  std::vector<contact> LinkPeers() const;
  std::vector<data_centre_status> DataCentres() const;
  instance_state state() const { return Self().info.state; }
  std::uint64_t incarnation() const { return Self().info.incarnation; }
  const fleet_view& view() const { return view_; }
  bool trusted() const { return trusted_ && region_known_; }
  const membership_counters& counters() const { return counters_; }

 private:
  struct peer_address {
    instance_id id;
    endpoint control;
  };

  struct probe {
    instance_id subject;
    time_point sent;
    bool indirect = false;
  };

  struct relay {
    std::uint32_t sequence = 0;
    peer_address requester;
    time_point expires;
  };

  // Link of a contact to one other data centre.
  struct link {
    time_point created{};
    time_point sent{};
    time_point answered{};
    std::uint32_t sequence = 0;
    std::uint32_t attempts = 0;
    // Versions of the own summary that were last sent and last acknowledged.
    std::uint64_t sent_version = 0;
    std::uint64_t acked_version = 0;
    bool ever_answered = false;
  };

  // A record queued for gossip: remaining transmissions and time of queueing.
  struct pending_update {
    std::uint32_t rounds = 0;
    time_point queued_at;
  };

  // Keys of the records that are queued for gossip.
  struct gossip_queue {
    std::map<std::uint64_t, pending_update> members;
    std::map<std::string, pending_update, std::less<>> centres;
    std::map<std::pair<std::string, std::uint64_t>, pending_update> votes;

    bool empty() const {
      return members.empty() && centres.empty() && votes.empty();
    }
  };

  // Own record and joining.
  const member_record& Self() const { return table_.Find(self_)->record; }
  void Start(time_point now);
  void CheckGap(time_point now);
  void BeginJoin(time_point now);
  void RunJoin(time_point now);
  void SendHello(const peer_address& to);
  void OnSyncReply(time_point now, const control_message& message);
  void FinishJoin(time_point now);
  void NewIncarnation(time_point now);
  void Rejoin(time_point now, const endpoint& source, instance_id from);
  void RefuteClaim(time_point now,
                   const endpoint& source,
                   const member_record& claim,
                   const control_message& message);
  void UpdateSelf(time_point now, member_record record);
  void MarkSilentDead(time_point now, time_point since);
  bool SenderSideIsLarger(const control_message& message) const;
  std::vector<peer_address> JoinCandidates();
  void PingAbsent(time_point now);
  void RefreshLocalMembers();
  void RefreshView();
  membership_actions FlushActions();

  // Probes.
  void RunProbes(time_point now);
  void CheckProbes(time_point now);
  void CheckSuspects(time_point now);
  void CheckIsolation(time_point now);
  void Probe(time_point now, member_entry& entry);
  void Suspect(time_point now, member_entry& entry);
  void NotifySuspect(time_point now, member_entry& entry);
  void SetHealth(time_point now, member_entry& entry, liveness health);
  void OnPing(const endpoint& source, const control_message& message);
  void OnAck(time_point now, const control_message& message);
  void OnPingRequest(time_point now,
                     const endpoint& source,
                     const control_message& message);

  // Records.
  void RecordSender(time_point now,
                    const endpoint& source,
                    const control_message& message);
  void MergeRecords(time_point now,
                    const endpoint& source,
                    const control_message& message);
  bool MayMerge(const member_record& record,
                const control_message& message) const;
  bool IsRemovedMember(const member_record& record,
                       const control_message& message) const;
  bool IsOutdated(const member_record& record) const;
  void QueueMember(instance_id id);
  void ExpireUpdates(time_point now);
  pending_update MakeUpdate() const {
    return {options_.gossip_rounds, last_call_};
  }
  void FlushGossip(time_point now);
  std::size_t FillGossip(control_message& message, gossip_queue& queue) const;
  void ForwardToLinks(const control_message& message);
  void CompareDigests(time_point now, const control_message& message);
  void RequestSync(time_point now, const member_entry& peer, bool joining);
  member_record CompactForGossip(const member_record& record) const;

  // Links between data centres.
  void RunLinks(time_point now);
  std::map<std::string, std::string> OtherDataCentres() const;
  void PingLink(time_point now, const std::string& name, link& link);
  std::vector<peer_address> LinkCandidates(const std::string& name) const;
  void UpdateVote(time_point now, const std::string& name, const link& link);
  void OnLinkPing(const endpoint& source, const control_message& message);
  void OnLinkAck(time_point now, const control_message& message);
  void CountVotes(time_point now);
  void CheckRegion(time_point now);
  bool IsOnlyLocalMember(const member_entry& sender) const;
  void PublishSummary(time_point now);
  data_centre_summary MakeSummary() const;
  void ReportNumber(time_point now);
  std::uint64_t MembersDigest(const std::string& data_centre) const;
  bool IsContact() const;
  const data_centre_summary* OwnSummary() const;

  void Send(const peer_address& to, control_message message);
  void Send(const member_record& to, control_message message);
  std::vector<const member_entry*> RandomLocalMembers(std::size_t count,
                                                      instance_id except);
  bool IsLocal(const instance_info& info) const {
    return info.data_centre == data_centre_;
  }
  std::size_t RandomIndex(std::size_t size);

  membership_options options_;
  instance_id self_;
  std::string data_centre_;
  std::string region_;
  std::vector<endpoint> seeds_;
  // Data centres of the seeds that have answered.
  std::map<endpoint, std::string> seed_data_centres_;
  std::vector<instance_info> hints_;
  std::mt19937_64 random_;
  member_table table_;
  membership_actions out_;
  membership_counters counters_;
  fleet_view view_;
  std::uint64_t number_ = 0;
  std::uint64_t sequence_ = 0;

  // Live members of the own data centre without this instance, in ring order
  // from its successor; the contacts of the data centre, highest rank first;
  // and the number of suspects.
  std::vector<member_entry*> local_members_;
  std::vector<instance_id> contacts_;
  std::uint32_t suspects_ = 0;
  std::uint32_t live_count_ = 1;
  bool members_changed_ = true;
  bool view_stale_ = true;

  bool started_ = false;
  bool stopped_ = false;
  // Whether the table of the own data centre is complete, and whether the
  // reachability of the region's other data centres is known.
  bool trusted_ = false;
  bool region_known_ = false;
  time_point joined_{};
  bool joining_ = true;
  time_point last_call_{};
  time_point table_changed_{};
  time_point join_started_{};
  time_point next_join_{};
  time_point next_sync_request_{};
  std::vector<peer_address> join_hints_;
  time_point last_local_heard_{};
  time_point next_absent_ping_{};
  time_point next_expiry_{};

  std::uint32_t next_sequence_ = 1;
  std::map<std::uint32_t, probe> probes_;
  std::map<std::uint32_t, relay> relays_;
  time_point next_random_probe_{};

  gossip_queue gossip_;
  time_point gossip_refilled_{};
  double gossip_tokens_ = 0;
  time_point next_gossip_{};
  bool table_differs_ = false;
  time_point table_differs_since_{};

  std::map<std::string, link> links_;
  std::map<std::string, bool> reachable_;
  std::map<std::string, time_point> unreachable_since_;
  time_point published_{};
  time_point next_report_{};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_FLEET_MEMBERSHIP_IMPL_H_
