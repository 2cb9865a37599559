// Distinct loopback addresses for tests that run in parallel and bind sockets.
#ifndef ROSEMARYREACH_TESTS_LOOPBACK_ADDRESS_H_
#define ROSEMARYREACH_TESTS_LOOPBACK_ADDRESS_H_

#include <unistd.h>

#include <atomic>
#include <cstdint>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Returns a loopback address that no other test on this machine binds to.
inline ip_address UniqueLoopbackAddress() {
  static std::atomic<std::uint16_t> next = 0;
  const unsigned number = ++next;
  const unsigned process = static_cast<unsigned>(getpid());
  ip_address address = ParseIp("127.64.0.0").value();
  address.bytes[13] = static_cast<std::uint8_t>(64 + ((process >> 8) & 0x7f));
  // More than 255 addresses overlap the range of the next process ID, which is
  // unlikely to belong to a test that runs at the same time.
  address.bytes[14] = static_cast<std::uint8_t>(process + (number >> 8));
  address.bytes[15] = static_cast<std::uint8_t>(number);
  return address;
}

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_LOOPBACK_ADDRESS_H_
