// The messages that instances send each other, over UDP or, where they may be
// long, over gRPC. Encoded by protobuf (proto/peer.proto), sealed by peer_auth.
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

// What the fleet holds of a member. Later values override earlier ones at the
// same incarnation and revision.
enum class liveness : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

// One version of what is known of a member. `info` is complete unless
// `compact`: then only id, incarnation, state and number are set.
struct member_record {
  instance_info info;
  // Raised by the member at each change of its own record.
  std::uint32_t revision = 0;
  liveness health = liveness::kAlive;
  bool compact = false;

  bool operator==(const member_record&) const = default;
};

// How to reach a member that speaks for its data centre.
struct contact {
  instance_id id;
  endpoint control;
  std::uint16_t grpc_port = 0;

  bool operator==(const contact&) const = default;
};

// What a data centre says of itself to the others.
struct data_centre_summary {
  std::string data_centre;
  std::string region;
  // Raised by each change; the highest version wins.
  std::uint64_t version = 0;
  // Every member of `members_digest` has at least this configuration number.
  std::uint64_t minimum_number = 0;
  std::uint64_t highest_number = 0;
  std::uint64_t members_digest = 0;
  std::vector<contact> contacts;

  bool operator==(const data_centre_summary&) const = default;
};

// Whether `voter`, a contact of the sender's data centre, reaches another.
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

// Answers a ping; `subject` is the member that is alive.
struct ack {
  std::uint32_t sequence = 0;
  instance_id subject;
};

// Asks the receiver to ping `subject` and to pass its ack on.
struct ping_request {
  std::uint32_t sequence = 0;
  instance_id subject;
};

// Carries records only.
struct gossip {};

// Asks for the records of the buckets whose digests differ, or for all of them
// if `joining`. Goes over gRPC, as do the three that follow.
struct sync_request {
  table_digests digests{};
  bool joining = false;
};

// The records, and whether the sender trusts its own table.
struct sync_reply {
  bool trusted = false;
};

// Asks for the entries of the published log that follow a position.
struct log_request {
  log_position after;
};

struct log_reply {
  std::vector<log_entry> entries;
};

// Asks a contact of another data centre whether it is there.
struct link_ping {
  std::uint32_t sequence = 0;
  // Version of the receiver's summary that the sender holds, or 0.
  std::uint64_t known_version = 0;
};

struct link_ack {
  std::uint32_t sequence = 0;
};

// Announces how far the sender's published log has come.
struct configuration_digest {
  std::uint64_t number = 0;
  std::uint64_t sequence = 0;
  // Digest of the configuration in force.
  std::uint64_t content = 0;
  // Whether the sender's last watch of the platform was answered.
  bool watch_answered = false;
};

// Tells a sender that its sequence is behind what it sent before a restart.
struct sequence_notice {
  std::uint64_t highest = 0;
};

// State of the packet plane; the bytes are its own.
struct flow_state {
  std::string payload;
};

// State of the request plane; the bytes are its own.
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
  // Digest of the sender's members and summaries, and of its link votes.
  std::uint64_t table_digest = 0;
  std::uint32_t votes_digest = 0;
  // Members of its own data centre that the sender holds alive.
  std::uint32_t live_count = 0;
  control_body body;
  std::vector<member_record> members;
  std::vector<data_centre_summary> centres;
  std::vector<link_vote> votes;
};

// Order in which kinds of control traffic keep their share of the budget.
enum class control_priority : std::uint8_t {
  kProbes,
  kOwnership,
  kPins,
  kDigests
};
inline constexpr std::size_t kControlPriorities = 4;

// Largest sealed datagram, in octets.
inline constexpr std::size_t kMaxControlDatagramBytes = 1'200;
// Largest flow_state or request_state payload that a datagram holds.
inline constexpr std::size_t kMaxStatePayloadBytes = 1'000;

// Returns the encoded form of `message`; the sender's id is not part of it.
std::string EncodeMessage(const control_message& message);

// Returns the size of the encoded form, in octets.
std::size_t EncodedSize(const control_message& message);

// Returns the message that `from` encoded; errc::kTruncated or
// errc::kUnsupported if `bytes` are not a whole, known message.
result<control_message> DecodeMessage(instance_id from, std::string_view bytes);

// Returns the priority that the budget gives `message`.
control_priority PriorityOf(const control_message& message);

// Returns a short name of the kind of `message`, for logs and counters.
std::string_view KindName(const control_message& message);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONTROL_MESSAGES_H_
