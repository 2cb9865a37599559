// Synchronises an instance's copy of the store, by its own reads and by pulls
// from peers that announce newer items.
#ifndef ROSEMARYREACH_ENTRYD_STORE_SYNC_H_
#define ROSEMARYREACH_ENTRYD_STORE_SYNC_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "adapters/event_loop.h"
#include "adapters/udp_socket.h"
#include "entryd/departed_sync.h"
#include "entryd/entry_log.h"
#include "entryd/entry_metrics.h"
#include "rosemaryreach/entry_types.h"
#include "rosemaryreach/item_cache.h"
#include "rosemaryreach/peer_group.h"
#include "rosemaryreach/serving_budget.h"
#include "rosemaryreach/store_read_scheduler.h"
#include "store_client.h"

namespace rosemaryreach {

class store_sync {
 public:
  // Called with the changes of one answer.
  using changed_hook = std::function<void(const view_change&)>;

  // Targets that left are kept for `departed_retention`; `on_departed` gets
  // those learned from peers. `clock_offset` is added to the wall clock.
  store_sync(event_loop& loop,
             const entry_settings& settings,
             item_decoder decode,
             changed_hook on_changed,
             duration departed_retention,
             departed_sync::departed_hook on_departed,
             entry_log& log,
             entry_metrics& metrics,
             std::uint64_t seed,
             duration clock_offset);

  // Binds the socket for beacons and starts to read the store.
  result<void> Start();

  // Applies the seeds and the store's address of changed settings.
  void Reload(const entry_settings& settings);

  // Reads the store at once, for example after a pause of the process.
  void Refresh();

  // Announces to the peers that this instance is about to stop.
  void AnnounceLeaving();

  void Tick();

  // Logs the peers found, leaving and timed out since the last call, in one
  // line.
  void LogPeers();

  // Records that a packet was dropped, as no target with its cookie is known.
  void OnUnknownCookie() { departed_.OnUnknownCookie(); }

  // Returns the items changed after `cursor`, deflated, for a peer; nothing
  // without a view or while the bandwidth budget for such answers is used up.
  // The last answer is cached, since many peers ask the same after a change.
  std::optional<std::string> ItemsAfter(store_cursor cursor);

  // Returns the targets that left recently, deflated, for a peer that has
  // started; nothing without a view or while the bandwidth budget is used up.
  std::optional<std::string> DepartedTargets();

  const peer_group& peers() const { return peers_; }
  time_point synced_at() const { return read_scheduler_.synced_at(); }
  duration age() const { return BootTimeNow() - read_scheduler_.synced_at(); }
  bool store_unavailable() const {
    return read_scheduler_.store_unavailable(BootTimeNow());
  }
  store_cursor cursor() const { return cache_.cursor(); }
  store_cursor changed() const { return cache_.changed(); }

 private:
  // The view that a beacon announced, kept while the pull it triggered runs.
  struct peer_view {
    store_cursor changed;
    time_point synced_at{};
  };

  void ScheduleRead();
  void StartRead();
  void ReadPage();
  void OnListingPage(const result<store_answer>& answer);
  void OnWatchAnswer(const result<store_answer>& answer);
  // Returns an error if an answer of this era can't be merged.
  result<void> CheckEra(std::uint64_t era) const;
  void OnReadFailed(const error& error);
  void OnReadSucceeded(read_kind kind);
  void NotifyChanged(const view_change& change);
  void LogEra(const era_change& change);
  void OnDatagrams();
  void OnBeacon(const beacon& received);
  // Pulls from the sender of a beacon; a first view is pulled from any peer
  // that has one.
  void PullAfterBeacon(std::uint32_t sender);
  void Pull(std::uint32_t source);
  void RetryPull();
  bool PullInProgress() const;
  void OnPulled(const result<store_answer>& answer, std::uint32_t source);
  void AnnounceView();
  void PurgeTombstones(time_point now);
  void SendBeacon(std::span<const std::uint32_t> to, bool wants_answer);
  void SendUpdateBeacon();
  void OnBeaconTimer();
  // Tells silent seeds of the view, at a rate that the fleet shares.
  void OnSeedTimer();
  void OnPeerChange(std::uint32_t address, const char* outcome);
  void LogStore(const char* outcome, const std::string& detail);

  event_loop& loop_;
  entry_settings settings_;
  changed_hook on_changed_;
  entry_log& log_;
  entry_metrics& metrics_;
  item_cache cache_;
  store_read_scheduler read_scheduler_;
  peer_group peers_;
  departed_sync departed_;
  std::optional<udp_socket> socket_;
  std::unique_ptr<descriptor_watch> watch_;
  receive_batch received_;
  std::unique_ptr<store_client> store_client_;
  std::unique_ptr<store_client> peer_client_;
  std::vector<store_item> listed_items_;
  std::size_t page_count_ = 0;
  bool first_listing_ = false;
  std::optional<store_cursor> listing_cursor_;  // of its first page
  store_cursor watched_from_;                   // by the last watch
  // The changes after the cursor can't be watched any more.
  bool history_lost_ = false;
  time_point read_started_{};
  bool reading_ = false;
  read_kind read_kind_ = read_kind::kList;  // of the present or last read
  bool store_was_unavailable_ = false;
  time_point started_;
  serving_budget budget_;
  std::string cached_answer_;  // last answer of ItemsAfter()
  store_cursor cached_answer_after_;
  store_cursor cached_answer_changed_;
  peer_view pull_goal_;  // view that the last pull should reach
  // The first view came from a restored store, which may lack what peers know.
  bool needs_peer_view_ = false;
  std::uint32_t failed_pull_source_ = 0;
  std::size_t pull_failures_ = 0;    // consecutive
  time_point tombstone_mark_set_{};  // time of tombstone_mark_
  store_cursor tombstone_mark_;
  time_point last_update_beacon_{};
  std::string peer_changes_;  // the first ones since the last log line
  std::size_t peer_change_count_ = 0;
  loop_timer read_timer_;
  loop_timer page_timer_;
  loop_timer pull_timer_;
  loop_timer beacon_timer_;
  loop_timer seed_timer_;
  std::mt19937_64 random_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRYD_STORE_SYNC_H_
