// The state behind membership. Its parts: events and the view (membership.cc),
// joining (membership_join.cc), probes (membership_probe.cc), the spreading of
// records (membership_gossip.cc) and links between data centres
// (membership_links.cc).
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
  bool trusted() const { return trusted_ && region_settled_; }
  const membership_counters& counters() const { return counters_; }

 private:
  struct address {
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
    address requester;
    time_point expires;
  };

  // The exchange with one other data centre, kept by contacts.
  struct link {
    time_point created{};
    time_point sent{};
    time_point answered{};
    std::uint32_t sequence = 0;
    std::uint32_t attempts = 0;
    // Versions of the own summary last sent and known to have arrived.
    std::uint64_t sent_version = 0;
    std::uint64_t told_version = 0;
    bool ever_answered = false;
  };

  // One piece of news: how many more times it is told, and since when.
  struct news {
    std::uint32_t rounds = 0;
    time_point since;
  };

  // What of the table still has to be told.
  struct gossip_queue {
    std::map<std::uint64_t, news> members;
    std::map<std::string, news, std::less<>> centres;
    std::map<std::pair<std::string, std::uint64_t>, news> votes;

    bool empty() const {
      return members.empty() && centres.empty() && votes.empty();
    }
  };

  // The own record and joining.
  const member_record& Self() const { return table_.Find(self_)->record; }
  void Start(time_point now);
  void CheckGap(time_point now);
  void BeginJoin(time_point now);
  void RunJoin(time_point now);
  void SendHello(const address& to);
  void OnSyncReply(time_point now, const control_message& message);
  void FinishJoin(time_point now);
  void NewIncarnation(time_point now);
  void Rejoin(time_point now, const endpoint& source, instance_id from);
  void DefendSelf(time_point now,
                  const endpoint& source,
                  const member_record& claim,
                  const control_message& message);
  void UpdateSelf(time_point now, member_record record);
  void DropUnheard(time_point now, time_point since);
  bool YieldsTo(const control_message& message) const;
  std::vector<address> JoinCandidates();
  void Knock(time_point now);
  void RefreshLocals();
  void RefreshView();
  membership_actions Take();

  // Probes.
  void RunProbes(time_point now);
  void CheckProbes(time_point now);
  void CheckSuspects(time_point now);
  void CheckIsolation(time_point now);
  void Probe(time_point now, member_entry& entry);
  void Suspect(time_point now, member_entry& entry);
  void TellSuspect(time_point now, member_entry& entry);
  void SetHealth(time_point now, member_entry& entry, liveness health);
  void OnPing(const endpoint& source, const control_message& message);
  void OnAck(time_point now, const control_message& message);
  void OnPingRequest(time_point now,
                     const endpoint& source,
                     const control_message& message);

  // Records.
  void HearSender(time_point now,
                  const endpoint& source,
                  const control_message& message);
  void MergeRecords(time_point now,
                    const endpoint& source,
                    const control_message& message);
  bool MayMerge(const member_record& record,
                const control_message& message) const;
  bool IsForgotten(const member_record& record,
                   const control_message& message) const;
  bool IsBehind(const member_record& record) const;
  void QueueMember(instance_id id);
  void DropOldNews(time_point now);
  news News() const { return {options_.gossip_rounds, last_call_}; }
  void FlushGossip(time_point now);
  std::size_t FillGossip(control_message& message, gossip_queue& queue) const;
  void ForwardToLinks(const control_message& message);
  void CompareDigests(time_point now, const control_message& message);
  void Ask(time_point now, const member_entry& peer, bool joining);
  member_record Brief(const member_record& record) const;

  // Links between data centres.
  void RunLinks(time_point now);
  std::map<std::string, std::string> OtherCentres() const;
  void PingLink(time_point now, const std::string& name, link& link);
  std::vector<address> LinkTargets(const std::string& name) const;
  void Vote(time_point now, const std::string& name, const link& link);
  void OnLinkPing(const endpoint& source, const control_message& message);
  void OnLinkAck(time_point now, const control_message& message);
  void CountVotes(time_point now);
  void CheckRegion(time_point now);
  bool IsOnlyOne(const member_entry& sender) const;
  void PublishSummary(time_point now);
  data_centre_summary MakeSummary() const;
  void ReportNumber(time_point now);
  std::uint64_t MembersDigest(const std::string& data_centre) const;
  bool IsContact() const;
  const data_centre_summary* OwnSummary() const;

  void Send(const address& to, control_message message);
  void Send(const member_record& to, control_message message);
  std::vector<const member_entry*> RandomLocals(std::size_t count,
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
  std::map<endpoint, std::string> seed_centres_;
  std::vector<instance_info> hints_;
  std::mt19937_64 random_;
  member_table table_;
  membership_actions out_;
  membership_counters counters_;
  fleet_view view_;
  std::uint64_t number_ = 0;
  std::uint64_t sequence_ = 0;

  // Live members of the own data centre without this one, next on the ring
  // first; the contacts of the data centre, best first; and the suspects.
  std::vector<member_entry*> locals_;
  std::vector<instance_id> contacts_;
  std::uint32_t suspects_ = 0;
  std::uint32_t live_count_ = 1;
  bool members_changed_ = true;
  bool view_stale_ = true;

  bool started_ = false;
  bool stopped_ = false;
  // Whether the table of the own data centre may be acted on, and whether it
  // is known which others of the region are within reach.
  bool trusted_ = false;
  bool region_settled_ = false;
  time_point joined_{};
  bool joining_ = true;
  time_point last_call_{};
  time_point table_changed_{};
  time_point join_started_{};
  time_point next_join_{};
  time_point next_ask_{};
  std::vector<address> join_hints_;
  time_point heard_local_{};
  time_point next_knock_{};
  time_point next_expiry_{};

  std::uint32_t next_sequence_ = 1;
  std::map<std::uint32_t, probe> probes_;
  std::map<std::uint32_t, relay> relays_;
  time_point next_random_probe_{};

  gossip_queue gossip_;
  time_point gossip_paced_{};
  double gossip_allowance_ = 0;
  time_point next_gossip_{};
  bool differs_ = false;
  time_point differs_since_{};

  std::map<std::string, link> links_;
  std::map<std::string, bool> reachable_;
  std::map<std::string, time_point> unreachable_since_;
  time_point published_{};
  time_point next_report_{};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_FLEET_MEMBERSHIP_IMPL_H_
