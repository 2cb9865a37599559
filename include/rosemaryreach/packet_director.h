// Decides where a packet of a caller goes: packets of open flows by their
// cookie alone, first packets by their route and the target picker.
#ifndef ROSEMARYREACH_PACKET_DIRECTOR_H_
#define ROSEMARYREACH_PACKET_DIRECTOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rosemaryreach/data_centre_reachability.h"
#include "rosemaryreach/flow_packet.h"
#include "rosemaryreach/flow_tracker.h"
#include "rosemaryreach/overload_guard.h"
#include "rosemaryreach/target_directory.h"
#include "rosemaryreach/target_picker.h"

namespace rosemaryreach {

// Rule of packets of open flows whose target is not known.
inline constexpr const char* kUnknownCookieRule = "unknown_cookie";

enum class packet_verdict : std::uint8_t {
  kForward,
  kReset,  // refuses a first packet that is no copy; its caller learns at once
  kDrop,   // silently; the caller retransmits
};

struct packet_decision {
  packet_verdict verdict = packet_verdict::kDrop;
  target_index target = kNoTarget;
  std::uint32_t cookie = 0;  // to write into the packet; 0 keeps its cookie
  const char* rule = "";
};

// Where a packet of an open flow goes. There is no refusal: an instance can't
// tell a target that has ended from one that it doesn't know or reach.
struct open_flow_decision {
  target_index target = kNoTarget;  // kNoTarget: nowhere
  const char* rule = "";
};

// Which decisions the age of the view of the store permits.
struct view_freshness {
  // False from a pause of the process until the view is confirmed or a timeout
  // expires; no flow is opened meanwhile.
  bool settled = false;
  // Whether the view is new enough to reset flows to addresses without a route.
  bool recent = false;
  // Whether packets are handled as they arrive. Otherwise a first packet may
  // have waited here until a copy opened its flow through another instance.
  bool prompt = true;
};

// The predicted decision on the next packet of a flow, for diagnostics.
struct flow_explanation {
  const entry_route* route = nullptr;   // nullptr if the address has none
  std::string service;                  // a new flow would go to this one
  const flow_state* tracked = nullptr;  // nullptr if it isn't tracked here
  // The decision on the next data packet of a tracked flow, or on a first
  // packet. For a first packet no target is set: the choice depends on the load
  // at that time.
  packet_decision next;
  std::vector<rule_count> targets;  // of the service, for a new flow
};

class packet_director {
 public:
  packet_director(const target_directory& directory,
                  flow_tracker& tracker,
                  const data_centre_reachability& reachability,
                  target_picker& picker,
                  overload_guard& guard);

  packet_decision Direct(const flow_packet& packet,
                         const view_freshness& freshness,
                         time_point now);

  // Returns what Direct() would decide, without side effects. The pointers are
  // valid until the directory or the tracker changes.
  flow_explanation Explain(const flow_key& flow,
                           const view_freshness& freshness,
                           time_point now) const;

 private:
  packet_decision HandleFirstPacket(const flow_packet& packet,
                                    const view_freshness& freshness,
                                    time_point now);
  // Forwards a copy of a first packet to the target of its flow if that is
  // open, or had no time to answer; nothing for other first packets.
  std::optional<packet_decision> ForwardCopy(const flow_packet& packet,
                                             time_point now);
  packet_decision AssignTarget(const flow_packet& packet,
                               const entry_route& route,
                               const view_freshness& freshness,
                               time_point now);
  // Refuses a first packet that no target can get. It is dropped instead if a
  // copy is likely to reach another instance.
  packet_decision RefuseWithoutTarget(const pick_result& none,
                                      time_point now) const;
  // Returns the refusal of a first packet. It is dropped instead of reset if
  // another packet of its flow, sent here or to another instance, may have
  // opened the flow.
  packet_decision Refuse(const flow_packet& packet,
                         packet_decision refusal,
                         const view_freshness& freshness) const;
  open_flow_decision HandleOpenFlow(const flow_packet& packet, time_point now);
  packet_decision ExplainOpening(const flow_explanation& explanation,
                                 const view_freshness& freshness,
                                 time_point now) const;
  // Returns the decision if a first packet must be refused before a target is
  // picked; otherwise nothing.
  std::optional<packet_decision> RefuseOpening(
      const entry_route* route,
      const view_freshness& freshness) const;
  // Returns the decision on a packet with this cookie.
  open_flow_decision FindOpenFlow(std::uint32_t cookie) const;
  packet_decision ForwardTo(target_index target, const char* rule) const;

  const target_directory& directory_;
  flow_tracker& tracker_;
  const data_centre_reachability& reachability_;
  target_picker& picker_;
  overload_guard& guard_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_PACKET_DIRECTOR_H_
