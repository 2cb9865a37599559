// A caller that sends raw bytes, for malformed and hostile input.
#ifndef ROSEMARYREACH_TESTS_RAW_CALLER_H_
#define ROSEMARYREACH_TESTS_RAW_CALLER_H_

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <string>
#include <string_view>

#include "adapters/socket_address.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

inline constexpr std::string_view kPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

// Returns a frame: its 9-octet header and `payload`.
inline std::string RawFrame(std::uint8_t type,
                            std::uint8_t flags,
                            std::uint32_t stream,
                            std::string_view payload) {
  const std::size_t size = payload.size();
  std::string frame;
  for (const std::size_t octet :
       {size >> 16U, size >> 8U, size, std::size_t{type}, std::size_t{flags},
        std::size_t{stream >> 24U}, std::size_t{stream >> 16U},
        std::size_t{stream >> 8U}, std::size_t{stream}}) {
    frame.push_back(static_cast<char>(octet & 0xffU));
  }
  frame.append(payload);
  return frame;
}

class raw_caller {
 public:
  explicit raw_caller(const endpoint& remote)
      : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const socket_address address = ToSocketAddress(remote);
    connected_ = connect(descriptor_, address.get(), address.size) == 0;
  }
  ~raw_caller() { close(descriptor_); }
  raw_caller(const raw_caller&) = delete;
  raw_caller& operator=(const raw_caller&) = delete;

  bool connected() const { return connected_; }

  // Sends what the socket accepts without blocking.
  void Send(std::string_view bytes) {
    send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }

  // Reads all available bytes; returns whether the peer has closed.
  bool PollClosed() {
    std::array<char, 4'096> buffer;
    while (true) {
      const ssize_t received =
          recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (received <= 0) {
        return received == 0 || errno != EAGAIN;
      }
      received_.append(buffer.data(), static_cast<std::size_t>(received));
    }
  }

  const std::string& received() const { return received_; }

 private:
  int descriptor_;
  bool connected_ = false;
  std::string received_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_RAW_CALLER_H_
