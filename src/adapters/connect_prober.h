// Checks whether a TCP port accepts connections; sends no application data.
#ifndef ROSEMARYREACH_ADAPTERS_CONNECT_PROBER_H_
#define ROSEMARYREACH_ADAPTERS_CONNECT_PROBER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "adapters/event_loop.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

enum class connect_outcome : std::uint8_t { kNoAnswer, kRefused, kConnected };

class connect_prober {
 public:
  using probe_callback = std::function<void(connect_outcome outcome)>;

  // Runs at most `max_probes` probes at a time.
  connect_prober(event_loop& loop, std::size_t max_probes);
  ~connect_prober();
  connect_prober(const connect_prober&) = delete;
  connect_prober& operator=(const connect_prober&) = delete;

  // Connects to `address`, closes the connection and calls `done` once: with
  // kRefused if the other end refused or reset it, with kNoAnswer if the
  // connect failed otherwise or did not complete before the deadline. Returns
  // false, without calling `done`, if `max_probes` are already running or no
  // socket could be opened.
  bool Probe(const endpoint& address, duration deadline, probe_callback done);

 private:
  struct probe;

  void Finish(probe& finished, connect_outcome outcome);

  event_loop& loop_;
  std::size_t max_probes_;
  std::list<std::unique_ptr<probe>> running_;
  // Finished probes. A probe can't be freed in its own callback; the next
  // Probe() frees these.
  std::list<std::unique_ptr<probe>> finished_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_CONNECT_PROBER_H_
