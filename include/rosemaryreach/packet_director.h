// Decides where one packet of a caller goes: open flows by their cookie
// alone, first packets by their route and the picker.
#ifndef ROSEMARYREACH_PACKET_DIRECTOR_H_
#define ROSEMARYREACH_PACKET_DIRECTOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rosemaryreach/flow_packet.h"
#include "rosemaryreach/flow_tracker.h"
#include "rosemaryreach/target_directory.h"
#include "rosemaryreach/target_picker.h"

namespace rosemaryreach {

enum class packet_verdict : std::uint8_t {
  kForward,
  kReset,  // the caller is told at once
  kDrop,   // in silence: the caller sends it again
};

struct packet_decision {
  packet_verdict verdict = packet_verdict::kDrop;
  target_index target = kNoTarget;
  std::uint32_t cookie = 0;  // to write into the packet; 0 leaves it
  const char* rule = "";
};

// How far the instance may act on what it believes.
struct view_freshness {
  // False from a pause of the process until the view was confirmed: no flow
  // is opened by old knowledge.
  bool settled = false;
  // Whether an address without a route surely has none.
  bool recent = false;
};

// What would happen to a flow's next packet, for an operator who asks.
struct flow_explanation {
  const entry_route* route = nullptr;   // nullptr if the address has none
  std::string service;                  // that a new flow would go to
  const flow_state* tracked = nullptr;  // nullptr if it isn't known here
  // The decision on the next data of a followed flow, or on a first packet;
  // which of the good targets that gets depends on their load then.
  packet_decision next;
  std::vector<rule_count> targets;  // of the service, as a new flow finds them
};

class packet_director {
 public:
  packet_director(const target_directory& directory,
                  flow_tracker& tracker,
                  target_picker& picker);

  packet_decision Direct(const flow_packet& packet,
                         const view_freshness& freshness,
                         time_point now);

  // Returns what Direct() would decide, and changes nothing. The pointers are
  // good until the next call of another function.
  flow_explanation Explain(const flow_key& flow,
                           const view_freshness& freshness,
                           time_point now) const;

  // Gives up the flows that wait for a target found out of reach, and returns
  // a packet of each for its reset: their callers would send again only after
  // up to 1.6 s.
  std::vector<flow_packet> AbortWaitingFlows(target_index target);

 private:
  packet_decision HandleFirstPacket(const flow_packet& packet,
                                    const view_freshness& freshness,
                                    time_point now);
  packet_decision AssignTarget(const flow_packet& packet,
                               const entry_route& route,
                               time_point now);
  packet_decision HandleOpenFlow(const flow_packet& packet, time_point now);
  // Whether requests to `address` may be sent again elsewhere.
  bool IsRetryable(const ipv4_endpoint& address) const;
  packet_decision ExplainOpening(const flow_explanation& found,
                                 const view_freshness& freshness) const;
  packet_decision ExplainData(const flow_key& flow, target_index target) const;
  // Returns the decision on a first packet that no target can be looked for;
  // nothing if one can.
  std::optional<packet_decision> RefuseOpening(
      const entry_route* route,
      const view_freshness& freshness) const;
  // Returns why an open flow is given up; nullptr if it isn't.
  const char* ResetReason(const flow_packet& packet,
                          const known_target& target,
                          const target_status& status) const;
  packet_decision ForwardTo(target_index target, const char* rule) const;

  const target_directory& directory_;
  flow_tracker& tracker_;
  target_picker& picker_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_PACKET_DIRECTOR_H_
