// What the request plane is told and what it decides: requests, attempts,
// messages between instances and actions for the adapter.
#ifndef ROSEMARYREACH_REQUEST_TYPES_H_
#define ROSEMARYREACH_REQUEST_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// A request on this instance; the adapter numbers them and never reuses one.
struct request_id {
  std::uint64_t value = 0;
  auto operator<=>(const request_id&) const = default;
};

// One sending of a request to a target or a peer; the router numbers them.
struct attempt_id {
  std::uint64_t value = 0;
  explicit operator bool() const { return value != 0; }
  auto operator<=>(const attempt_id&) const = default;
};

// A target of a service: its TargetKey().
struct target_id {
  std::uint64_t value = 0;
  explicit operator bool() const { return value != 0; }
  auto operator<=>(const target_id&) const = default;
};

// How requests share slots. Watches hold none.
enum class request_class : std::uint8_t { kInteractive, kBulk, kWatch };

// What the caller may rely on: kNotRun is only said when it is certain.
enum class run_state : std::uint8_t { kNotRun, kRun, kUnknown };

// A request whose headers have arrived. Views live as long as the call.
struct request_info {
  request_id id;
  std::string_view service;
  std::string_view method;  // HTTP method
  std::string_view path;    // for gRPC, "/package.Service/Method"
  std::uint64_t caller = 0;
  // Time left as the caller said it; zero takes the service's default.
  duration timeout{};
  // Hash of the idempotency-key header; zero if there is none.
  std::uint64_t idempotency_key = 0;
  // The instance that forwarded the request; zero if a caller sent it.
  instance_id forwarded_by;
};

// What an owner tells of its room for one service; piggybacked on answers to
// forwarded requests.
struct peer_load {
  std::uint32_t limit = 0;    // requests that its targets bear at once
  std::uint32_t running = 0;  // slots taken
  std::uint32_t queued = 0;
  std::uint32_t rate_per_s = 0;  // requests a second that the targets bear

  bool operator==(const peer_load&) const = default;
};

// How an attempt ended.
enum class attempt_outcome : std::uint8_t {
  kDone,              // the whole answer was received
  kTargetNotReached,  // reached no target: connection never opened, peer had no
                      // room
  kRefused,           // a target refused it without running it
  kReset,             // the target ended the stream after it may have run
  kConnectionLost,    // the connection was lost or silent; it may still run
  kCancelConfirmed,   // cancelled by us, and a later PING proves that it was
                      // read
};

// Why the router answers a request itself.
enum class local_reply_reason : std::uint8_t {
  kOverloaded,       // queue full, or no slot free before the deadline
  kNoTarget,         // the service is unknown or has no usable target
  kDeadline,         // the deadline passed
  kTargetRefused,    // targets refused it and no retry was left
  kTargetFailed,     // reset or lost after it was sent
  kResponseAborted,  // reset or lost after answer headers were relayed
  kKeyInProgress,    // an earlier request with the key is still running
  kKeyDone,          // an earlier request with the key has run
  kKeyUnknown,       // an earlier request with the key may have run
  kKeyUnavailable,   // the key's owner did not answer
  kStopping,         // this instance is leaving
};

// Returns the stable lower-case name of `reason`, as logs show it.
std::string_view LocalReplyReasonName(local_reply_reason reason);

// Returns "not-run", "run" or "unknown".
std::string_view RunStateName(run_state state);

// Send the request to a target, with `timeout` as its deadline.
struct dispatch_action {
  request_id request;
  attempt_id attempt;
  target_id target;
  endpoint address;
  duration timeout{};
};

// Send the request to a peer instance, with `timeout` as its deadline.
struct forward_action {
  request_id request;
  attempt_id attempt;
  instance_id instance;
  duration timeout{};
};

// Reset the attempt's stream with CANCEL. No event of it matters any more.
struct cancel_action {
  attempt_id attempt;
};

// Pass this attempt's headers, body and trailers to the caller.
struct relay_action {
  request_id request;
  attempt_id attempt;
};

// End the request with an answer of our own. With kResponseAborted, headers
// have been relayed, so the stream is reset.
struct local_reply_action {
  request_id request;
  local_reply_reason reason = local_reply_reason::kOverloaded;
  run_state run = run_state::kNotRun;
  // Whether any target got the request; tells kRefused from kTargetNotReached
  // at peers.
  bool reached_target = false;
  // When the caller may come again; zero if not before something changes.
  duration retry_after{};
};

// Asks for the slots of a target that the sender now owns.
struct handover_request {
  target_id target;
  std::uint64_t nonce = 0;  // echoed by the grant
};

// Answers a handover_request. `running` requests still count and end by
// `ends_in` at the latest.
struct handover_grant {
  target_id target;
  std::uint64_t nonce = 0;
  // Not zero if the sender cannot give the target: whom to ask instead.
  instance_id holder;
  std::uint32_t running = 0;
  duration ends_in{};
  // How far the target's ramp had come, if the sender held the target.
  std::optional<std::uint32_t> warm_percent;
};

// Requests counted in a handover_grant have ended; `running` still do.
struct slot_released {
  target_id target;
  std::uint64_t nonce = 0;  // of the grant
  std::uint32_t running = 0;
};

// Reserves an idempotency key before the first dispatch.
struct key_reserve {
  std::uint64_t key = 0;
  request_id request;
  duration ends_in{};  // the request has ended after this time
  duration window{};   // how long the key is remembered
};

enum class key_verdict : std::uint8_t {
  kGranted,
  kInProgress,
  kDone,
  kUnknown,
  kUnavailable,  // the receiver does not own the key or has not taken over yet
};

struct key_reply {
  std::uint64_t key = 0;
  request_id request;
  key_verdict verdict = key_verdict::kUnavailable;
};

// Says how a reserved key's request ended; kNotRun frees the key.
struct key_finish {
  std::uint64_t key = 0;
  request_id request;
  run_state run = run_state::kUnknown;
};

enum class key_state : std::uint8_t { kFree, kReserved, kDone, kUnknown };

// A key's state, copied to the owner's successor before a grant.
struct key_record {
  std::uint64_t key = 0;
  std::uint64_t version = 0;  // raised by each change of the key's state
  instance_id holder;         // the instance that runs the request
  request_id request;
  key_state state = key_state::kFree;
  duration ends_in{};  // left until a reservation becomes unknown
  duration window{};   // left until the key is forgotten
};

struct key_copy {
  key_record record;
};

// Confirms a key_copy; `accepted` is false if the sender knows a newer state or
// sees another owner.
struct key_copied {
  std::uint64_t key = 0;
  std::uint64_t version = 0;
  bool accepted = false;
};

// Asks for all keys that the sender owns or succeeds to. Answered once both
// see the same candidates.
struct key_pull {
  std::uint64_t nonce = 0;  // echoed by the transfer
  std::uint64_t candidates_digest = 0;
};

// Part of the answer to a key_pull; complete once `parts` of them arrived.
struct key_transfer {
  std::uint64_t nonce = 0;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::vector<key_record> records;
};

// A message between routers. Any may be lost, repeated or late.
using request_message = std::variant<handover_request,
                                     handover_grant,
                                     slot_released,
                                     key_reserve,
                                     key_reply,
                                     key_finish,
                                     key_copy,
                                     key_copied,
                                     key_pull,
                                     key_transfer>;

struct send_action {
  instance_id instance;
  request_message message;
};

using request_action = std::variant<dispatch_action,
                                    forward_action,
                                    cancel_action,
                                    relay_action,
                                    local_reply_action,
                                    send_action>;

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_REQUEST_TYPES_H_
