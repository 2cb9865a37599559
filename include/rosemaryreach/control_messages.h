// Control messages between instances, sent over UDP or, if they may be long,
// over gRPC. Encoded with protobuf (proto/peer.proto), sealed by peer_auth.
#ifndef ROSEMARYREACH_CONTROL_MESSAGES_H_
#define ROSEMARYREACH_CONTROL_MESSAGES_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rosemaryreach/fleet_view.h"
#include "rosemaryreach/patch_log.h"
#include "rosemaryreach/result.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Health of a member. At the same incarnation and revision, later values
// override earlier ones.
enum class liveness : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

// One version of a member's replicated record. If `compact`, only the id,
// incarnation, state and configuration number of `info` are set.
struct member_record {
  instance_info info;
  // Incremented by the member at each change of its own record.
  std::uint32_t revision = 0;
  liveness health = liveness::kAlive;
  bool compact = false;

  bool operator==(const member_record&) const = default;
};

// Address of a member that keeps the links of its data centre to others.
struct contact {
  instance_id id;
  endpoint control;
  std::uint16_t grpc_port = 0;

  bool operator==(const contact&) const = default;
};

// The state of a data centre as it is published to the others.
struct data_centre_summary {
  std::string data_centre;
  std::string region;
  // Incremented at each change; the highest version wins.
  std::uint64_t version = 0;
  // Every member covered by `members_digest` has at least this configuration
  // number.
  std::uint64_t minimum_number = 0;
  std::uint64_t highest_number = 0;
  std::uint64_t members_digest = 0;
  std::vector<contact> contacts;

  bool operator==(const data_centre_summary&) const = default;
};

// Whether `voter`, a contact of its data centre, reaches `data_centre`.
struct link_vote {
  instance_id voter;
  std::string data_centre;
  std::uint64_t version = 0;
  bool up = false;

  bool operator==(const link_vote&) const = default;
};

inline constexpr std::size_t kTableBuckets = 16;
using table_digests = std::array<std::uint64_t, kTableBuckets>;

struct ping {
  std::uint32_t sequence = 0;
};

// Answers a ping; `subject` is the member that answered it.
struct ack {
  std::uint32_t sequence = 0;
  instance_id subject;
};

// Asks the receiver to ping `subject` and to relay its ack.
struct ping_request {
  std::uint32_t sequence = 0;
  instance_id subject;
};

// Has no content of its own; carries the records of control_message.
struct gossip {};

// Requests the records of all buckets whose digests differ, or all records if
// `joining`. Sent over gRPC, like sync_reply, log_request and log_reply.
struct sync_request {
  table_digests digests{};
  bool joining = false;
};

// Answers a sync_request with records; `trusted` says whether the sender's own
// member table is complete.
struct sync_reply {
  bool trusted = false;
};

// Requests the entries of the published log after a position.
struct log_request {
  log_position after;
};

struct log_reply {
  std::vector<log_entry> entries;
};

// Probes a contact of another data centre.
struct link_ping {
  std::uint32_t sequence = 0;
  // Version of the receiver's summary that the sender has, or 0.
  std::uint64_t known_version = 0;
};

struct link_ack {
  std::uint32_t sequence = 0;
};

// Announces the position of the sender's published log.
struct configuration_digest {
  std::uint64_t number = 0;
  std::uint64_t sequence = 0;
  // Digest of the configuration in force.
  std::uint64_t content = 0;
  // Whether the sender's last watch of the platform was answered.
  bool watch_answered = false;
};

// Notifies a sender whose sequence is below what it used before a restart;
// `highest` is the highest sequence received from it.
struct sequence_notice {
  std::uint64_t highest = 0;
};

// State of the packet plane, opaque to the control plane.
struct flow_state {
  std::string payload;
};

// State of the request plane, opaque to the control plane.
struct request_state {
  std::string payload;
};

using control_body = std::variant<ping,
                                  ack,
                                  ping_request,
                                  gossip,
                                  sync_request,
                                  sync_reply,
                                  log_request,
                                  log_reply,
                                  link_ping,
                                  link_ack,
                                  configuration_digest,
                                  sequence_notice,
                                  flow_state,
                                  request_state>;

struct control_message {
  instance_id from;
  std::uint64_t incarnation = 0;
  std::uint64_t configuration_number = 0;
  std::uint64_t configuration_sequence = 0;
  // Digests of the sender's members and summaries, and of its link votes.
  std::uint64_t table_digest = 0;
  std::uint32_t votes_digest = 0;
  // Live members of the sender's data centre in its member table, including
  // itself.
  std::uint32_t live_count = 0;
  control_body body;
  std::vector<member_record> members;
  std::vector<data_centre_summary> centres;
  std::vector<link_vote> votes;
};

// Priority of control traffic in the budget, highest first.
enum class control_priority : std::uint8_t {
  kProbes,
  kOwnership,
  kPins,
  kDigests
};
inline constexpr std::size_t kControlPriorities = 4;

// Largest sealed datagram, in octets.
inline constexpr std::size_t kMaxControlDatagramBytes = 1'200;
// Largest flow_state or request_state payload in a datagram, in octets.
inline constexpr std::size_t kMaxStatePayloadBytes = 1'000;

// Returns `message` encoded, without the sender's id.
std::string EncodeMessage(const control_message& message);

// Returns the encoded size of `message`, in octets.
std::size_t EncodedSize(const control_message& message);

// Returns the message of sender `from` that `bytes` encode. Errors:
// errc::kTruncated if they don't parse, errc::kUnsupported if the kind of
// message or a value is not supported.
result<control_message> DecodeMessage(instance_id from, std::string_view bytes);

// Returns the budget priority of `message`.
control_priority PriorityOf(const control_message& message);

// Returns the name of the kind of `message`, for logs and counters.
std::string_view KindName(const control_message& message);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONTROL_MESSAGES_H_
