// Serves the targets that left recently to instances that start, and learns of
// them from instances that have run longer and from the history of the store.
#ifndef ROSEMARYREACH_ENTRYD_DEPARTED_SYNC_H_
#define ROSEMARYREACH_ENTRYD_DEPARTED_SYNC_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "adapters/event_loop.h"
#include "entryd/entry_log.h"
#include "entryd/entry_metrics.h"
#include "rosemaryreach/departed_schedule.h"
#include "rosemaryreach/departed_targets.h"
#include "rosemaryreach/item_cache.h"
#include "rosemaryreach/peer_group.h"
#include "store_client.h"

namespace rosemaryreach {

class departed_sync {
 public:
  // Called with the targets that an answer added.
  using departed_hook = std::function<void(std::span<const departed_target>)>;

  // Targets are kept for `retention`. `view` is what this instance holds of the
  // store.
  departed_sync(event_loop& loop,
                const entry_settings& settings,
                const peer_group& peers,
                const item_cache& view,
                item_decoder decode,
                duration retention,
                departed_hook on_departed,
                entry_log& log,
                entry_metrics& metrics);

  void Apply(const view_change& change, time_point now);

  // Applies the store's address of changed settings.
  void Reload(const entry_settings& settings);

  // Asks what departed_schedule finds due. Called periodically once there is a
  // view.
  void Tick(time_point now);

  // Records that a packet was dropped, as no target with its cookie is known.
  void OnUnknownCookie() { schedule_.OnUnknownCookie(); }

  // Returns the message for a peer, deflated.
  const std::string& Answer(time_point now);

  std::size_t size() const { return departed_.size(); }

 private:
  bool busy() const { return client_ != nullptr && client_->busy(); }
  void AskPeer(std::uint32_t peer);
  void ReadHistory();
  void OnAnswer(const result<departed_answer>& answer, std::uint32_t peer);
  void PassOn(std::span<const departed_target> added);
  void OnHistory(const result<store_answer>& answer, std::uint64_t after);
  void OnHistoryFailed(const error& error);
  void LogLearned(std::string_view giver,
                  std::size_t count,
                  duration known_for);
  void LogFailed(std::string_view giver, const error& error);

  event_loop& loop_;
  entry_settings settings_;
  const peer_group& peers_;
  const item_cache& view_;
  departed_targets departed_;
  departed_schedule schedule_;
  departed_hook on_departed_;
  entry_log& log_;
  entry_metrics& metrics_;
  std::unique_ptr<store_client> client_;
  std::string cached_answer_;
  time_point answer_made_{};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRYD_DEPARTED_SYNC_H_
