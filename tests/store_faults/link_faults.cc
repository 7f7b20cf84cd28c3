// Test library that the rig loads into nodes: connections to the nodes' transport port go to the
// relay of the rig in place of the other node. The relay listens on the address of the other node
// with the highest bit of the third byte set, and knows the caller by its address.

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdlib>
#include <cstring>

namespace {
constexpr in_addr_t kRelayBit = 0x00008000;
constexpr in_addr_t kLoopback = 127;
constexpr int kNetworkShift = 24;

using Connect = int (*)(int, const sockaddr*, socklen_t);
}  // namespace

extern "C" int connect(int fd, const sockaddr* address, socklen_t length) {
  const auto next = reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
  const char* const port = std::getenv("LINK_FAULTS_PORT");
  const char* const source = std::getenv("LINK_FAULTS_SOURCE");
  sockaddr_in relay{};
  if (port == nullptr || source == nullptr || length < sizeof(relay) ||
      address->sa_family != AF_INET) {
    return next(fd, address, length);
  }
  std::memcpy(&relay, address, sizeof(relay));
  if (ntohs(relay.sin_port) != std::atoi(port) ||
      ntohl(relay.sin_addr.s_addr) >> kNetworkShift != kLoopback) {
    return next(fd, address, length);
  }
  sockaddr_in own{};
  own.sin_family = AF_INET;
  inet_pton(AF_INET, source, &own.sin_addr);
  // Fails on a socket that is connecting already, whose state connect() then reports.
  static_cast<void>(bind(fd, reinterpret_cast<const sockaddr*>(&own), sizeof(own)));
  relay.sin_addr.s_addr |= htonl(kRelayBit);
  return next(fd, reinterpret_cast<const sockaddr*>(&relay), sizeof(relay));
}
