#include "adapters/connect_prober.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "adapters/socket_address.h"

namespace rosemaryreach {

namespace {

connect_outcome OutcomeOfError(int socket_error) {
  return socket_error == ECONNREFUSED || socket_error == ECONNRESET
             ? connect_outcome::kRefused
             : connect_outcome::kNoAnswer;
}

}  // namespace

struct connect_prober::probe {
  probe(connect_prober& owner, int descriptor, probe_callback callback)
      : fd(descriptor),
        done(std::move(callback)),
        // A delayed loop may run the timer before the write event of a
        // connection that completed in time, so the timer checks as well.
        deadline(owner.loop_,
                 [this, &owner] { owner.Finish(*this, Outcome()); }),
        writable(owner.loop_, descriptor, io_event::kWrite, [this, &owner] {
          owner.Finish(*this, Outcome());
        }) {}
  ~probe() { close(fd); }
  probe(const probe&) = delete;
  probe& operator=(const probe&) = delete;

  connect_outcome Outcome() const {
    pollfd poller{fd, POLLOUT, 0};
    int socket_error = 0;
    socklen_t size = sizeof(socket_error);
    if (poll(&poller, 1, 0) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &socket_error, &size) != 0) {
      return connect_outcome::kNoAnswer;
    }
    return socket_error == 0 ? connect_outcome::kConnected
                             : OutcomeOfError(socket_error);
  }

  int fd;
  probe_callback done;
  loop_timer deadline;
  descriptor_watch writable;
};

connect_prober::connect_prober(event_loop& loop, std::size_t max_probes)
    : loop_(loop), max_probes_(max_probes) {}

connect_prober::~connect_prober() = default;

bool connect_prober::Probe(const endpoint& address,
                           duration deadline,
                           probe_callback done) {
  finished_.clear();
  if (running_.size() >= max_probes_) {
    return false;
  }
  socket_address to = ToSocketAddress(address);
  const int fd = socket(to.storage.ss_family,
                        SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return false;
  }
  if (connect(fd, to.get(), to.size) != 0 && errno != EINPROGRESS) {
    const connect_outcome outcome = OutcomeOfError(errno);
    close(fd);
    loop_.Post([done = std::move(done), outcome] { done(outcome); });
    return true;
  }
  running_.push_back(std::make_unique<probe>(*this, fd, std::move(done)));
  running_.back()->deadline.Start(deadline);
  return true;
}

void connect_prober::Finish(probe& finished, connect_outcome outcome) {
  const auto found = std::find_if(
      running_.begin(), running_.end(),
      [&finished](const auto& one) { return one.get() == &finished; });
  finished.deadline.Stop();
  finished.writable.Pause();
  const probe_callback done = std::move(finished.done);
  finished_.splice(finished_.end(), running_, found);
  done(outcome);
}

}  // namespace rosemaryreach
