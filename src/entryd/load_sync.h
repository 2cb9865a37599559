// Runs the load exchange over a UDP socket while the configuration declares a
// latency objective and the settings allow it.
#ifndef ROSEMARYREACH_ENTRYD_LOAD_SYNC_H_
#define ROSEMARYREACH_ENTRYD_LOAD_SYNC_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>

#include "adapters/event_loop.h"
#include "adapters/udp_socket.h"
#include "entry/own_load_counter.h"
#include "entryd/entry_log.h"
#include "entryd/load_metrics.h"
#include "rosemaryreach/entry_types.h"
#include "rosemaryreach/load_exchange.h"
#include "rosemaryreach/peer_group.h"
#include "rosemaryreach/shared_load.h"

namespace rosemaryreach {

class load_sync {
 public:
  load_sync(event_loop& loop,
            const entry_settings& settings,
            const target_directory& directory,
            const flow_tracker& tracker,
            const peer_group& peers,
            entry_log& log,
            metrics_registry& registry);

  // Starts or stops the exchange when the settings or the configuration have
  // changed. An address that is in use is tried again with each call.
  void Update(const entry_settings& settings);

  // Logs what could not be logged within the rate limit. Called each second.
  void OnSecond();

  // The observations of this instance; packet handling and the tracker's hooks
  // call these.
  void OnInFlightChanged(target_index target);
  void OnAnswered(target_index target, duration elapsed);
  void OnStalled(target_index target);
  void OnSuspected();
  void OnOffered(const std::string& service);
  void OnRemoved(target_index target) { own_load_.OnRemoved(target); }

  // Returns hooks for the load of the other instances, valid as long as this
  // object. They return nothing while sharing is off.
  shared_load_hooks Hooks() const;

  void UpdateMetrics();
  nlohmann::json StatusDocument() const;
  // Returns the load of the other instances on a target; null if not known.
  nlohmann::json TargetDocument(std::uint32_t cookie) const;

 private:
  bool Wanted(const entry_settings& settings) const;
  void StartExchange(const entry_settings& settings);
  void StopExchange(const char* reason);
  void OnDatagrams();
  void OnTimer();
  void StartTimer();
  void SendTo(std::span<const std::uint32_t> to, const std::string& bytes);
  void OnChanged(const char* outcome, std::uint32_t collector);
  void Log(const char* outcome, const std::string& detail);

  event_loop& loop_;
  const target_directory& directory_;
  const peer_group& peers_;
  entry_log& log_;
  load_metrics metrics_;
  own_load_counter own_load_;
  std::uint16_t port_ = 0;
  std::optional<udp_socket> socket_;
  std::unique_ptr<descriptor_watch> watch_;
  receive_batch received_;
  std::unique_ptr<load_exchange> exchange_;
  bool bind_failed_ = false;
  std::size_t lines_left_ = 0;
  std::size_t skipped_lines_ = 0;
  loop_timer timer_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRYD_LOAD_SYNC_H_
