// The control plane of one instance: membership, configuration sync, peer
// authentication and the control budget, driven by events that return actions.
#ifndef ROSEMARYREACH_CONTROL_PLANE_H_
#define ROSEMARYREACH_CONTROL_PLANE_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "rosemaryreach/config_sync.h"
#include "rosemaryreach/control_budget.h"
#include "rosemaryreach/membership.h"
#include "rosemaryreach/patch_log.h"
#include "rosemaryreach/peer_auth.h"
#include "rosemaryreach/platform_source.h"

namespace rosemaryreach {

struct control_plane_options {
  membership_options membership;
  config_sync_options configuration;
  control_queue::options queue;
  patch_log_limits log;
  // Limit on the log text in the answer to one pull, in octets.
  std::size_t pull_bytes = 1'000'000;
  std::uint32_t live_list_ms = 30'000;
  // Time without an answer from the seeds after which the platform's list of
  // live instances is read.
  std::uint32_t seeds_wait_ms = 700;
};

// The plane that a state payload belongs to.
enum class state_kind : std::uint8_t { kFlows, kRequests };

// A state payload received from a peer.
struct received_state {
  state_kind kind = state_kind::kFlows;
  instance_id from;
  std::string payload;
};

// A sealed request to send over gRPC; answer with OnGrpcResponse() and its
// token.
struct grpc_request {
  std::uint64_t token = 0;
  endpoint grpc;
  std::string bytes;
};

// Actions for the caller, to be done in any order.
struct control_actions {
  std::vector<queued_datagram> send;
  std::vector<read_platform> reads;
  std::vector<grpc_request> grpc_requests;
  std::vector<received_state> states;
  std::vector<entry_outcome> refused_entries;
  bool read_live_list = false;
  // The view, membership::trusted() or a configuration number in the view has
  // changed.
  bool view_changed = false;
};

// Datagrams that were dropped: those that don't decode, those whose message is
// not allowed over UDP or bound to an address, and those that are too large.
struct control_plane_counters {
  std::uint64_t undecodable = 0;
  std::uint64_t disallowed = 0;
  std::uint64_t oversized = 0;
};

class control_plane {
 public:
  // `first_sequence` must exceed every sequence used before a restart.
  control_plane(control_plane_options options,
                const instance_info& self,
                std::span<const endpoint> seeds,
                peer_keys keys,
                std::uint64_t first_sequence,
                std::uint64_t seed,
                accepted_handler on_accepted);
  ~control_plane();

  // Runs timers. Must be the first call; repeat about every 50 ms.
  control_actions Tick(time_point now);

  control_actions OnDatagram(time_point now,
                             const endpoint& source,
                             std::string_view bytes);
  control_actions OnPlatformPage(time_point now,
                                 std::uint64_t token,
                                 const result<platform_page>& page);
  // Handles the response to a grpc_request.
  control_actions OnGrpcResponse(time_point now,
                                 std::uint64_t token,
                                 const result<std::string>& response);

  // Returns the sealed response to a sealed request received over gRPC. Errors:
  // kUnauthenticated, kStale, kTruncated, kUnsupported.
  result<std::string> OnGrpcRequest(time_point now, std::string_view bytes);
  void OnLiveList(std::span<const listed_instance> instances);

  control_actions SetState(time_point now, instance_state state);

  // Announces that this instance leaves and returns the last actions.
  control_actions Leave(time_point now);

  // Queues a payload for a peer. Errors: kNotFound if it isn't in the view,
  // kTooLarge above kMaxStatePayloadBytes.
  result<void> SendState(time_point now,
                         state_kind kind,
                         instance_id to,
                         std::string_view payload);

  void SetKeys(peer_keys keys) { auth_.SetKeys(std::move(keys)); }

  // Returns whether the view is trusted and a configuration is in force.
  bool ready() const { return membership_.trusted() && sync_.ready(); }

  // Returns a readable reason for not being ready; empty if ready.
  std::string WaitingFor() const;

  const membership& members() const { return membership_; }
  const config_sync& sync() const { return sync_; }
  const patch_log& log() const { return log_; }
  const peer_auth& auth() const { return auth_; }
  const control_queue& queue() const { return queue_; }
  const control_plane_counters& counters() const { return counters_; }

 private:
  // A request without a response yet; `pull_token` is zero for a sync_request.
  struct pending_request {
    std::uint64_t token = 0;
    std::uint64_t pull_token = 0;
    contact peer;
  };

  void ApplyActions(time_point now, const membership_actions& actions);
  void ApplyActions(time_point now, std::vector<config_sync_action> actions);
  void SealAndQueue(time_point now,
                    instance_id to,
                    const endpoint& address,
                    const control_message& message);
  void SendRequest(const contact& peer,
                   std::uint64_t pull_token,
                   const control_message& message);
  result<control_message> OpenResponse(const pending_request& request,
                                       const result<std::string>& response);
  void AnnounceHead(time_point now);
  void Receive(time_point now,
               const endpoint& source,
               const control_message& message);
  void SendSequenceNotice(time_point now, const endpoint& source);
  void MaybeReadLiveList(time_point now);
  control_actions FlushActions(time_point now);

  control_plane_options options_;
  instance_info self_;
  peer_auth auth_;
  control_queue queue_;
  patch_log log_;
  membership membership_;
  config_sync sync_;
  control_plane_counters counters_;
  control_actions out_;
  log_head announced_head_;
  std::vector<pending_request> pending_requests_;
  std::uint64_t next_request_token_ = 1;
  time_point start_time_{};
  time_point next_live_list_{};
  time_point next_notice_{};
  bool started_ = false;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONTROL_PLANE_H_
