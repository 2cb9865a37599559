// Conversion between endpoint and the system's socket addresses.
#ifndef ROSEMARYREACH_ADAPTERS_SOCKET_ADDRESS_H_
#define ROSEMARYREACH_ADAPTERS_SOCKET_ADDRESS_H_

#include <sys/socket.h>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// An address in the form that socket calls take.
struct socket_address {
  sockaddr_storage storage{};
  socklen_t size = 0;

  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
  const sockaddr* get() const {
    return reinterpret_cast<const sockaddr*>(&storage);
  }
};

// Returns `endpoint` as sockaddr_in or sockaddr_in6, by its address.
socket_address ToSocketAddress(const endpoint& endpoint);

// Returns the endpoint in `storage`; all zero for families other than IP.
endpoint FromSocketAddress(const sockaddr_storage& storage);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_SOCKET_ADDRESS_H_
