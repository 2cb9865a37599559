// Unary gRPC requests between instances; request and response are opaque sealed
// messages. All use of gRPC is behind this header.
#ifndef ROSEMARYREACH_ADAPTERS_GRPC_PEER_H_
#define ROSEMARYREACH_ADAPTERS_GRPC_PEER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "adapters/event_loop.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Serves and sends requests. Handlers and callbacks run on the loop's thread;
// gRPC's own threads only post to it.
class grpc_peer {
 public:
  // Returns the response to a request, or an error.
  using request_handler = std::function<result<std::string>(std::string_view)>;
  using response_callback = std::function<void(result<std::string>)>;

  explicit grpc_peer(event_loop& loop);

  // Cancels outstanding requests; no callback runs afterwards.
  ~grpc_peer();
  grpc_peer(const grpc_peer&) = delete;
  grpc_peer& operator=(const grpc_peer&) = delete;

  // Listens on `local`; port 0 picks any free port. Returns the bound endpoint,
  // or errc::kIo if it can't be bound.
  result<endpoint> Listen(const endpoint& local, request_handler handler);

  // Sends `bytes` to `peer`. `done` receives the response, or kTimeout,
  // kUnavailable or kUnauthenticated.
  void Ask(const endpoint& peer,
           std::string bytes,
           duration timeout,
           response_callback done);

 private:
  class server;
  class client;

  std::unique_ptr<server> server_;
  std::unique_ptr<client> client_;
  event_loop& loop_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_GRPC_PEER_H_
