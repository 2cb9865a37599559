// UDP sockets with batched receive and send. Receiving and sending allocate no
// memory after construction.
#ifndef ROSEMARYREACH_ADAPTERS_UDP_SOCKET_H_
#define ROSEMARYREACH_ADAPTERS_UDP_SOCKET_H_

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

inline constexpr std::size_t kBatchDatagrams = 64;
inline constexpr std::size_t kMaxDatagramBytes = 9'216;
inline constexpr std::size_t kMaxFrameHeaderBytes = 128;

// Whether several sockets may bind the same address and share its datagrams.
enum class port_sharing : std::uint8_t { kExclusive, kShared };

// A non-blocking bound UDP socket. Movable; closes its descriptor.
class udp_socket {
 public:
  // Binds to `local`; port 0 selects any free port. Returns errc::kIo with the
  // system's error text on failure.
  static result<udp_socket> Bind(const endpoint& local,
                                 port_sharing sharing,
                                 int buffer_bytes);

  udp_socket(udp_socket&& other) noexcept;
  udp_socket& operator=(udp_socket&& other) noexcept;
  udp_socket(const udp_socket&) = delete;
  udp_socket& operator=(const udp_socket&) = delete;
  ~udp_socket();

  int fd() const { return fd_; }

  // Returns the bound address.
  endpoint local() const;

 private:
  explicit udp_socket(int fd) : fd_(fd) {}

  int fd_ = -1;
};

// One received datagram; valid until the next Receive() of its batch.
struct datagram {
  std::span<std::uint8_t> bytes;
  endpoint from;
};

// Buffers for one batch of received datagrams.
class receive_batch {
 public:
  receive_batch();
  ~receive_batch();

  // Receives up to kBatchDatagrams without blocking. Datagrams longer than
  // kMaxDatagramBytes are dropped and counted in truncated().
  std::span<const datagram> Receive(int fd);

  std::uint64_t truncated() const { return truncated_; }

 private:
  struct buffers;

  std::unique_ptr<buffers> buffers_;
  std::array<datagram, kBatchDatagrams> datagrams_;
  std::uint64_t truncated_ = 0;
};

// Collects datagrams and sends them with few system calls. Bodies are not
// copied: they must outlive the next Flush().
class send_batch {
 public:
  explicit send_batch(int fd);
  ~send_batch();

  // Returns where the caller writes the frame header of the next datagram.
  std::span<std::uint8_t> NextHeader();

  // Adds a datagram: the first `header_bytes` of NextHeader(), then `body`.
  // Flushes first if the batch is full.
  void Add(std::size_t header_bytes,
           std::span<const std::uint8_t> body,
           const endpoint& to);

  // Sends all added datagrams. Those that the kernel rejects are dropped and
  // counted in dropped().
  void Flush();

  std::uint64_t sent() const { return sent_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct slots;

  int fd_;
  std::unique_ptr<slots> slots_;
  std::size_t used_ = 0;
  std::uint64_t sent_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_UDP_SOCKET_H_
