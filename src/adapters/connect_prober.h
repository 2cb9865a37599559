// Tells whether a TCP port answers, without asking anything of its program.
#ifndef ROSEMARYREACH_ADAPTERS_CONNECT_PROBER_H_
#define ROSEMARYREACH_ADAPTERS_CONNECT_PROBER_H_

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

#include "adapters/event_loop.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

class connect_prober {
 public:
  using probe_callback = std::function<void(bool reached)>;

  // At most `max_probes` run at a time.
  connect_prober(event_loop& loop, std::size_t max_probes);
  ~connect_prober();
  connect_prober(const connect_prober&) = delete;
  connect_prober& operator=(const connect_prober&) = delete;

  // Connects to `address` and closes; calls `done` once, false at the
  // deadline or on a refusal. Returns false, without a call, if too many
  // probes run.
  bool Probe(const endpoint& address, duration deadline, probe_callback done);

 private:
  struct probe;

  void Finish(probe& finished, bool reached);

  event_loop& loop_;
  std::size_t max_probes_;
  std::list<std::unique_ptr<probe>> running_;
  // Ended probes, which can't be freed in their own callbacks.
  std::list<std::unique_ptr<probe>> finished_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_CONNECT_PROBER_H_
