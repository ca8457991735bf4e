#include "lab/loopback.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

namespace myrtleloft::lab {

sockaddr_in socketAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.substr(colon + 1).c_str())));
  ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &raw.sin_addr);
  return raw;
}

int bindLoopback(const std::string& address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in raw = socketAddress(address);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) == 0) return fd;
  ::close(fd);
  return -1;
}

std::string processHost(int last) {
  constexpr int kHosts = 250;
  const int process = static_cast<int>(::getpid());
  return "127." + std::to_string(1 + process / kHosts % kHosts) + "." + std::to_string(process % kHosts) +
         "." + std::to_string(last);
}

}  // namespace myrtleloft::lab
