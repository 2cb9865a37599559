// Runs the control plane of an instance: owns the control socket and the gRPC
// service for peers, the fleet membership and the published log.
#ifndef ROSEMARYREACH_ADAPTERS_CONTROL_TASK_H_
#define ROSEMARYREACH_ADAPTERS_CONTROL_TASK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/event_loop.h"
#include "rosemaryreach/config_sync.h"
#include "rosemaryreach/control_budget.h"
#include "rosemaryreach/fleet_view.h"
#include "rosemaryreach/log.h"
#include "rosemaryreach/membership.h"
#include "rosemaryreach/patch_log.h"
#include "rosemaryreach/peer_auth.h"
#include "rosemaryreach/platform_source.h"
#include "rosemaryreach/settings.h"

namespace rosemaryreach {

// Callbacks, all called on the task's loop.
struct control_hooks {
  // Called for each configuration, in order.
  accepted_handler on_configuration;
  // Called when the live instances or the trust in the view change. An
  // untrusted view must not be used for decisions.
  std::function<void(const fleet_view& view, bool trusted)> on_view;
  std::function<void(instance_id from, std::string_view payload)> on_flow_state;
  std::function<void(instance_id from, std::string_view payload)>
      on_request_state;
};

// Snapshot of the control plane's state for the admin interface.
struct control_status {
  fleet_view view;
  bool trusted = false;
  bool ready = false;
  std::string waiting_for;  // empty if ready
  instance_state state = instance_state::kJoining;
  std::vector<data_centre_status> data_centres;
  membership_counters membership;
  config_sync_status configuration;
  std::vector<entry_outcome> verdicts;
  peer_auth::counters auth;
  control_queue::counters budget;
};

class control_task {
 public:
  // `keys` may not be empty: messages of peers without these keys are dropped.
  control_task(event_loop& loop,
               const settings& settings,
               peer_keys keys,
               platform_source& platform,
               log_sink& log,
               control_hooks hooks);
  ~control_task();

  // Binds the sockets and joins the fleet; returns errc::kIo if that fails.
  result<void> Start();

  // Announces the state of this instance; kActive makes it an owner.
  void SetState(instance_state state);

  // Announces that this instance leaves the fleet and stops receiving.
  void Leave();

  // Queue state for a peer, sent within the control budget. Errors: kNotFound
  // if the peer isn't in the view, kTooLarge above kMaxStatePayloadBytes.
  result<void> SendFlowState(instance_id to, std::string_view payload);
  result<void> SendRequestState(instance_id to, std::string_view payload);

  // Replaces the keys that authenticate control traffic.
  void SetKeys(peer_keys keys);

  const fleet_view& view() const;
  bool trusted() const;
  std::shared_ptr<const configuration> current_configuration() const;
  control_status Status() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_CONTROL_TASK_H_
