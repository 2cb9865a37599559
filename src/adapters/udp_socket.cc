#include "adapters/udp_socket.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <string>
#include <utility>

#include "adapters/socket_address.h"

namespace rosemaryreach {
namespace {

std::string LastSystemError() {
  return std::strerror(errno);
}

bool SetOption(int fd, int level, int option, int value) {
  return setsockopt(fd, level, option, &value, sizeof(value)) == 0;
}

}  // namespace

result<udp_socket> udp_socket::Bind(const endpoint& local,
                                    port_sharing sharing,
                                    int buffer_bytes) {
  const socket_address address = ToSocketAddress(local);
  udp_socket opened(socket(address.storage.ss_family,
                           SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (opened.fd_ < 0) {
    return Fail(errc::kIo, "socket: " + LastSystemError());
  }
  if (sharing == port_sharing::kShared) {
    SetOption(opened.fd_, SOL_SOCKET, SO_REUSEPORT, 1);
  }
  SetOption(opened.fd_, SOL_SOCKET, SO_RCVBUF, buffer_bytes);
  SetOption(opened.fd_, SOL_SOCKET, SO_SNDBUF, buffer_bytes);
  if (bind(opened.fd_, address.get(), address.size) != 0) {
    return Fail(errc::kIo,
                "bind to " + FormatEndpoint(local) + ": " + LastSystemError());
  }
  return opened;
}

udp_socket::udp_socket(udp_socket&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)) {}

udp_socket& udp_socket::operator=(udp_socket&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

udp_socket::~udp_socket() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

endpoint udp_socket::local() const {
  socket_address address;
  address.size = sizeof(address.storage);
  getsockname(fd_, address.get(), &address.size);
  return FromSocketAddress(address.storage);
}

struct receive_batch::buffers {
  std::array<std::array<std::uint8_t, kMaxDatagramBytes>, kBatchDatagrams>
      bytes;
  std::array<sockaddr_storage, kBatchDatagrams> from;
  std::array<iovec, kBatchDatagrams> vectors;
  std::array<mmsghdr, kBatchDatagrams> headers;
};

// The datagrams' bytes stay uninitialized: touching 600 KB of them takes a
// process with a small share of a core longer than the rest of its start.
receive_batch::receive_batch()
    : buffers_(std::make_unique_for_overwrite<buffers>()) {
  for (std::size_t i = 0; i < kBatchDatagrams; ++i) {
    buffers_->vectors[i] = {buffers_->bytes[i].data(), kMaxDatagramBytes};
    msghdr& header = buffers_->headers[i].msg_hdr;
    header = {};
    header.msg_name = &buffers_->from[i];
    header.msg_iov = &buffers_->vectors[i];
    header.msg_iovlen = 1;
  }
}

receive_batch::~receive_batch() = default;

std::span<const datagram> receive_batch::Receive(int fd) {
  for (mmsghdr& header : buffers_->headers) {
    header.msg_hdr.msg_namelen = sizeof(sockaddr_storage);
  }
  const int received = recvmmsg(fd, buffers_->headers.data(), kBatchDatagrams,
                                MSG_DONTWAIT, nullptr);
  std::size_t count = 0;
  for (int i = 0; i < received; ++i) {
    const mmsghdr& header = buffers_->headers[i];
    if ((header.msg_hdr.msg_flags & MSG_TRUNC) != 0) {
      ++truncated_;
      continue;
    }
    datagrams_[count].bytes = {buffers_->bytes[i].data(), header.msg_len};
    datagrams_[count].from = FromSocketAddress(buffers_->from[i]);
    ++count;
  }
  return {datagrams_.data(), count};
}

struct send_batch::slots {
  std::array<std::array<std::uint8_t, kMaxFrameHeaderBytes>, kBatchDatagrams>
      frame_headers;
  std::array<socket_address, kBatchDatagrams> to;
  std::array<std::array<iovec, 2>, kBatchDatagrams> vectors;
  std::array<mmsghdr, kBatchDatagrams> headers;
};

send_batch::send_batch(int fd)
    : fd_(fd), slots_(std::make_unique_for_overwrite<slots>()) {}

send_batch::~send_batch() = default;

std::span<std::uint8_t> send_batch::NextHeader() {
  if (used_ == kBatchDatagrams) {
    Flush();
  }
  return slots_->frame_headers[used_];
}

void send_batch::Add(std::size_t header_bytes,
                     std::span<const std::uint8_t> body,
                     const endpoint& to) {
  if (used_ == kBatchDatagrams) {
    Flush();
  }
  slots_->to[used_] = ToSocketAddress(to);
  slots_->vectors[used_][0] = {slots_->frame_headers[used_].data(),
                               header_bytes};
  // sendmmsg() does not write to the buffers of an iovec.
  slots_->vectors[used_][1] = {const_cast<std::uint8_t*>(body.data()),
                               body.size()};
  msghdr& header = slots_->headers[used_].msg_hdr;
  header = {};
  header.msg_name = slots_->to[used_].get();
  header.msg_namelen = slots_->to[used_].size;
  header.msg_iov = slots_->vectors[used_].data();
  header.msg_iovlen = 2;
  ++used_;
}

void send_batch::Flush() {
  std::size_t next = 0;
  while (next < used_) {
    const int count = sendmmsg(fd_, &slots_->headers[next],
                               static_cast<unsigned>(used_ - next), 0);
    if (count > 0) {
      next += static_cast<std::size_t>(count);
      sent_ += static_cast<std::uint64_t>(count);
    } else if (errno != EINTR) {
      ++next;
      ++dropped_;
    }
  }
  used_ = 0;
}

}  // namespace rosemaryreach
