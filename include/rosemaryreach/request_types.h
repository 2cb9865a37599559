// Types of the request plane: requests, attempts, messages between instances
// and actions for the adapter.
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

// Identifies a request on this instance. Assigned by the adapter, never
// reused.
struct request_id {
  std::uint64_t value = 0;
  auto operator<=>(const request_id&) const = default;
};

// Identifies an attempt to send a request to a target or a peer. Assigned by
// the router.
struct attempt_id {
  std::uint64_t value = 0;
  explicit operator bool() const { return value != 0; }
  auto operator<=>(const attempt_id&) const = default;
};

// Identifies a target of a service by its TargetKey().
struct target_id {
  std::uint64_t value = 0;
  explicit operator bool() const { return value != 0; }
  auto operator<=>(const target_id&) const = default;
};

// Traffic class, which decides how requests share slots. Watches use none.
enum class request_class : std::uint8_t { kInteractive, kBulk, kWatch };

// Whether a target has run the request. kNotRun is reported only when it is
// certain.
enum class run_state : std::uint8_t { kNotRun, kRun, kUnknown };

// A request whose headers have arrived. The string views are valid during the
// call only.
struct request_info {
  request_id id;
  std::string_view service;
  std::string_view method;  // HTTP method
  std::string_view path;    // for gRPC, "/package.Service/Method"
  std::uint64_t caller = 0;
  // Timeout given by the caller; zero selects the service's default.
  duration timeout{};
  // Hash of the idempotency-key header; zero if there is none.
  std::uint64_t idempotency_key = 0;
  // The instance that forwarded the request; zero if a caller sent it.
  instance_id forwarded_by;
};

// An owner's load and limits for one service, piggybacked on responses to
// forwarded requests.
struct peer_load {
  std::uint32_t limit = 0;    // concurrency limit of its targets
  std::uint32_t running = 0;  // slots in use
  std::uint32_t queued = 0;
  std::uint32_t rate_per_s = 0;  // requests per second that the targets handle

  bool operator==(const peer_load&) const = default;
};

// How an attempt ended.
enum class attempt_outcome : std::uint8_t {
  kDone,              // the whole response was received
  kTargetNotReached,  // no connection to it, or the peer had no capacity
  kRefused,           // a target refused it without running it
  kReset,             // the target ended the stream; it may have run
  kConnectionLost,    // connection lost or unresponsive; it may still run
  kCancelConfirmed,   // cancelled; a later PING proves that this was read
};

// Why the router replies to a request itself.
enum class local_reply_reason : std::uint8_t {
  kOverloaded,       // queue full, or no slot free before the deadline
  kNoTarget,         // the service is unknown or has no usable target
  kDeadline,         // the deadline passed
  kTargetRefused,    // targets refused it and no retry was left
  kTargetFailed,     // reset or connection lost after it was sent
  kResponseAborted,  // the same after response headers were relayed
  kKeyInProgress,    // an earlier request with the key is still running
  kKeyDone,          // an earlier request with the key has run
  kKeyUnknown,       // an earlier request with the key may have run
  kKeyUnavailable,   // the key's owner did not respond
  kStopping,         // this instance is shutting down
};

// Returns the stable lower-case name of `reason` for logs and the
// rosemaryreach-reason header.
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

// Reset the attempt's stream with CANCEL. Its headers are ignored from then
// on; its end still frees the slot.
struct cancel_action {
  attempt_id attempt;
};

// Relay this attempt's headers, body and trailers to the caller.
struct relay_action {
  request_id request;
  attempt_id attempt;
};

// End the request with a reply of this instance. With kResponseAborted,
// headers have been relayed, so the stream is reset.
struct local_reply_action {
  request_id request;
  local_reply_reason reason = local_reply_reason::kOverloaded;
  run_state run = run_state::kNotRun;
  // Whether any target received the request; peers distinguish kRefused and
  // kTargetNotReached by it.
  bool reached_target = false;
  // Delay before the caller may retry; zero if a retry is not advised.
  duration retry_after{};
};

// Requests the slots of a target that the sender now owns.
struct handover_request {
  target_id target;
  std::uint64_t nonce = 0;  // echoed by the grant
};

// Response to a handover_request. `running` requests still use slots; all of
// them end within `ends_in`.
struct handover_grant {
  target_id target;
  std::uint64_t nonce = 0;
  // The instance to ask instead if the sender cannot hand over the target, else
  // zero.
  instance_id holder;
  std::uint32_t running = 0;
  duration ends_in{};
  // Progress of the target's warm-up, if the sender held the target.
  std::optional<std::uint32_t> warm_percent;
};

// Some requests counted in a handover_grant have ended; `running` of them
// still run.
struct slot_released {
  target_id target;
  std::uint64_t nonce = 0;  // of the grant
  std::uint32_t running = 0;
};

// Reserves an idempotency key before the first dispatch.
struct key_reserve {
  std::uint64_t key = 0;
  request_id request;
  duration ends_in{};  // time after which the request has surely ended
  duration window{};   // how long the key is kept
};

enum class key_verdict : std::uint8_t {
  kGranted,
  kInProgress,
  kDone,
  kUnknown,
  kUnavailable,  // the receiver is not the owner or has not taken over yet
};

struct key_reply {
  std::uint64_t key = 0;
  request_id request;
  key_verdict verdict = key_verdict::kUnavailable;
};

// Reports how the request of a reserved key ended; kNotRun frees the key.
struct key_finish {
  std::uint64_t key = 0;
  request_id request;
  run_state run = run_state::kUnknown;
};

enum class key_state : std::uint8_t { kFree, kReserved, kDone, kUnknown };

// The state of a key, replicated to the owner's successor before a grant.
struct key_record {
  std::uint64_t key = 0;
  std::uint64_t version = 0;  // increases with each change of the state
  instance_id holder;         // the instance that runs the request
  request_id request;
  key_state state = key_state::kFree;
  duration ends_in{};  // time until a reservation becomes unknown
  duration window{};   // time until the key is removed
};

struct key_copy {
  key_record record;
};

// Acknowledges a key_copy; `accepted` is false if the sender has a newer state
// or sees another owner.
struct key_copied {
  std::uint64_t key = 0;
  std::uint64_t version = 0;
  bool accepted = false;
};

// Requests all keys of which the sender is the owner or the successor. The
// receiver responds once both see the same candidates.
struct key_pull {
  std::uint64_t nonce = 0;  // echoed by the transfer
  std::uint64_t candidates_digest = 0;
};

// Part of the response to a key_pull, which is complete once all `parts` have
// arrived.
struct key_transfer {
  std::uint64_t nonce = 0;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::vector<key_record> records;
};

// A message between routers. Messages may be lost, duplicated or delayed.
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
