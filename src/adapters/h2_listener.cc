#include "adapters/h2_listener.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "adapters/socket_address.h"

namespace rosemaryreach {
namespace {

constexpr int kBacklog = 4'096;
constexpr int kMaxAcceptsPerEvent = 64;

}  // namespace

result<std::unique_ptr<h2_listener>> h2_listener::Listen(
    event_loop& loop,
    const endpoint& local,
    accept_handler accept) {
  const socket_address address = ToSocketAddress(local);
  const int descriptor = socket(address.storage.ss_family,
                                SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return Fail(errc::kIo, std::strerror(errno), FormatEndpoint(local));
  }
  const int reuse = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  if (bind(descriptor, address.get(), address.size) != 0 ||
      listen(descriptor, kBacklog) != 0) {
    const std::string reason = std::strerror(errno);
    close(descriptor);
    return Fail(errc::kIo, reason, FormatEndpoint(local));
  }
  return std::make_unique<h2_listener>(loop, descriptor, std::move(accept));
}

h2_listener::h2_listener(event_loop& loop,
                         int descriptor,
                         accept_handler accept)
    : descriptor_(descriptor),
      accept_(std::move(accept)),
      watch_(loop, descriptor, io_event::kRead, [this] {
        for (int i = 0; i < kMaxAcceptsPerEvent && AcceptOne(); ++i) {
        }
      }) {}

h2_listener::~h2_listener() {
  close(descriptor_);
}

endpoint h2_listener::local() const {
  socket_address address;
  address.size = sizeof(address.storage);
  getsockname(descriptor_, address.get(), &address.size);
  return FromSocketAddress(address.storage);
}

void h2_listener::AcceptWaiting() {
  // Bounded, since callers may connect faster than this accepts.
  for (int i = 0; i < 2 * kBacklog && AcceptOne(); ++i) {
  }
}

bool h2_listener::AcceptOne() {
  const int accepted =
      accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (accepted >= 0) {
    accept_(accepted);
  }
  return accepted >= 0;
}

}  // namespace rosemaryreach
