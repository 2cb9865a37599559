// Accepts TCP connections on one endpoint.
#ifndef ROSEMARYREACH_ADAPTERS_H2_LISTENER_H_
#define ROSEMARYREACH_ADAPTERS_H2_LISTENER_H_

#include <functional>
#include <memory>

#include "adapters/event_loop.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

class h2_listener {
 public:
  // Receives each accepted, non-blocking descriptor and takes ownership of it.
  using accept_handler = std::function<void(int descriptor)>;

  // Listens on `local`; port 0 selects a free port. Returns errc::kIo with the
  // system's error text on failure.
  static result<std::unique_ptr<h2_listener>> Listen(event_loop& loop,
                                                     const endpoint& local,
                                                     accept_handler accept);

  h2_listener(event_loop& loop, int descriptor, accept_handler accept);
  ~h2_listener();
  h2_listener(const h2_listener&) = delete;
  h2_listener& operator=(const h2_listener&) = delete;

  // Accepts all connections that wait in the backlog, for example before the
  // listener is destroyed, which resets them.
  void AcceptWaiting();

  // Returns the bound address.
  endpoint local() const;

 private:
  // Accepts one connection; returns false if none waits.
  bool AcceptOne();

  int descriptor_;
  accept_handler accept_;
  descriptor_watch watch_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_H2_LISTENER_H_
