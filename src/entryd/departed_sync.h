// Serves the targets that left recently to instances that start, and pulls them
// from instances that have run longer.
#ifndef ROSEMARYREACH_ENTRYD_DEPARTED_SYNC_H_
#define ROSEMARYREACH_ENTRYD_DEPARTED_SYNC_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "adapters/event_loop.h"
#include "entryd/entry_log.h"
#include "rosemaryreach/departed_targets.h"
#include "rosemaryreach/peer_group.h"
#include "store_client.h"

namespace rosemaryreach {

class departed_sync {
 public:
  // Called with the targets that an answer of a peer added.
  using departed_hook = std::function<void(std::span<const departed_target>)>;

  // Peers are asked at `control_port`. Targets are kept for `retention`.
  departed_sync(event_loop& loop,
                const peer_group& peers,
                std::uint16_t control_port,
                item_decoder decode,
                duration retention,
                departed_hook on_departed,
                entry_log& log);

  void Apply(const view_change& change, time_point now);

  // Pulls from the peer that has run longest until two peers have answered.
  // Called periodically once there is a view.
  void Tick(time_point now);

  // Returns the message for a peer, deflated.
  const std::string& Answer(time_point now);

  std::size_t size() const { return departed_.size(); }

 private:
  bool PullInProgress() const;
  void OnAnswer(const result<departed_answer>& answer, std::uint32_t source);

  event_loop& loop_;
  const peer_group& peers_;
  std::uint16_t control_port_;
  departed_targets departed_;
  departed_hook on_departed_;
  entry_log& log_;
  std::unique_ptr<store_client> client_;
  std::vector<std::uint32_t> asked_;
  std::size_t unanswered_ = 0;  // of `asked_`
  std::size_t failures_ = 0;
  std::size_t answers_ = 0;
  time_point retry_at_{};
  bool viewed_ = false;
  std::string cached_answer_;
  time_point answer_made_{};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRYD_DEPARTED_SYNC_H_
