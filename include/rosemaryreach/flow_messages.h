// Messages between the flow routers of two instances, and their encoding.
#ifndef ROSEMARYREACH_FLOW_MESSAGES_H_
#define ROSEMARYREACH_FLOW_MESSAGES_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "rosemaryreach/result.h"
#include "rosemaryreach/target_health.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

enum class flow_message_kind : std::uint8_t {
  kSyncRequest,       // asks for the open buckets that the receiver owns
  kSyncReply,         // all of them, in one or more parts
  kPins,              // pins of open buckets, for the successor or new owner
  kBucketUpdates,     // changed unpinned targets and closed buckets
  kHandoverRequest,   // asks the previous owner for the listed buckets
  kHandover,          // the sender no longer routes the listed buckets
  kTargetConditions,  // target conditions known to the sender
};

// One bucket of the message's service.
struct bucket_record {
  std::uint32_t bucket = 0;
  std::uint64_t unpinned_target = 0;  // target of flows without a pin
  std::uint32_t pins = 0;             // number of pins at the sender
  bool open = false;

  bool operator==(const bucket_record&) const = default;
};

// One flow whose target is not the unpinned target of its bucket.
struct pin_record {
  std::uint64_t flow_hash = 0;  // low 48 bits
  std::uint64_t target = 0;

  bool operator==(const pin_record&) const = default;
};

// The condition of one target. Each change has a higher epoch.
struct target_record {
  std::uint64_t target = 0;
  std::uint32_t epoch = 0;
  target_condition condition = target_condition::kHealthy;

  bool operator==(const target_record&) const = default;
};

struct flow_message {
  flow_message_kind kind = flow_message_kind::kSyncRequest;
  std::uint16_t worker = 0;                // of the sender
  std::uint64_t configuration_number = 0;  // of the sender
  std::uint64_t service = 0;
  // kSyncReply: index of this message and number of messages.
  std::uint16_t part = 0;
  std::uint16_t parts = 1;
  std::vector<bucket_record> buckets;
  std::vector<pin_record> pins;
  std::vector<target_record> targets;

  bool operator==(const flow_message&) const = default;
};

// A message and the instance it goes to.
struct outgoing_flow_message {
  instance_id to;
  flow_message message;
};

// Maximum size of an encoded message, so that it fits into one datagram.
inline constexpr std::size_t kMaxFlowMessageBytes = 1'000;

// Returns the protobuf encoding of `message`.
std::string EncodeFlowMessage(const flow_message& message);

// Parses an encoded message; errc::kSchemaViolation if malformed.
result<flow_message> DecodeFlowMessage(std::span<const std::uint8_t> bytes);

// Returns an upper bound for the encoded size of `message`.
std::size_t MaxEncodedBytes(const flow_message& message);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_FLOW_MESSAGES_H_
