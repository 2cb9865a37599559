#include "adapters/socket_address.h"

#include <netinet/in.h>

#include <algorithm>
#include <cstring>

namespace rosemaryreach {
namespace {

constexpr std::size_t kV4Offset = 12;

socket_address ToV4(const endpoint& endpoint) {
  socket_address address;
  sockaddr_in* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
  v4->sin_family = AF_INET;
  v4->sin_port = htons(endpoint.port);
  std::memcpy(&v4->sin_addr, &endpoint.address.bytes[kV4Offset],
              sizeof(v4->sin_addr));
  address.size = sizeof(sockaddr_in);
  return address;
}

socket_address ToV6(const endpoint& endpoint) {
  socket_address address;
  sockaddr_in6* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
  v6->sin6_family = AF_INET6;
  v6->sin6_port = htons(endpoint.port);
  std::memcpy(&v6->sin6_addr, endpoint.address.bytes.data(),
              sizeof(v6->sin6_addr));
  address.size = sizeof(sockaddr_in6);
  return address;
}

}  // namespace

socket_address ToSocketAddress(const endpoint& endpoint) {
  return endpoint.address.is_v4() ? ToV4(endpoint) : ToV6(endpoint);
}

endpoint FromSocketAddress(const sockaddr_storage& storage) {
  endpoint read;
  if (storage.ss_family == AF_INET) {
    const sockaddr_in* v4 = reinterpret_cast<const sockaddr_in*>(&storage);
    read.address.bytes[kV4Offset - 2] = 0xff;
    read.address.bytes[kV4Offset - 1] = 0xff;
    std::memcpy(&read.address.bytes[kV4Offset], &v4->sin_addr,
                sizeof(v4->sin_addr));
    read.port = ntohs(v4->sin_port);
  } else if (storage.ss_family == AF_INET6) {
    const sockaddr_in6* v6 = reinterpret_cast<const sockaddr_in6*>(&storage);
    std::memcpy(read.address.bytes.data(), &v6->sin6_addr,
                sizeof(v6->sin6_addr));
    read.port = ntohs(v6->sin6_port);
  }
  return read;
}

}  // namespace rosemaryreach
