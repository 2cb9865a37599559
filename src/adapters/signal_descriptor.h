// Delivers SIGTERM, SIGINT and SIGHUP through a descriptor that an event loop
// can watch.
#ifndef ROSEMARYREACH_ADAPTERS_SIGNAL_DESCRIPTOR_H_
#define ROSEMARYREACH_ADAPTERS_SIGNAL_DESCRIPTOR_H_

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>

namespace rosemaryreach {

// Blocks the signals that stop or reload a daemon on the calling thread and
// returns a non-blocking signalfd for them, or -1 on failure.
inline int OpenSignalDescriptor() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
}

class signal_descriptor {
 public:
  signal_descriptor() : fd_(OpenSignalDescriptor()) {}
  ~signal_descriptor() { close(fd_); }
  signal_descriptor(const signal_descriptor&) = delete;
  signal_descriptor& operator=(const signal_descriptor&) = delete;

  int fd() const { return fd_; }

  // Returns the number of the next pending signal, or 0 if there is none.
  int Read() const {
    signalfd_siginfo info{};
    const ssize_t bytes = read(fd_, &info, sizeof(info));
    return bytes == sizeof(info) ? static_cast<int>(info.ssi_signo) : 0;
  }

 private:
  int fd_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_SIGNAL_DESCRIPTOR_H_
