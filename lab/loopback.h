// Addresses of the loopback for the lab's sockets.
//
//   const int fd = bindLoopback(processHost(2) + ":0");
#pragma once

#include <netinet/in.h>

#include <string>

namespace myrtleloft::lab {

// An address of the loopback that belongs to this process alone, with that last part.
std::string processHost(int last);

// "127.0.0.1:3000", or another address of the loopback, for system calls.
sockaddr_in socketAddress(const std::string& address);

// A socket bound to that address, though connections that ended may linger there; -1: it could not be had.
int bindLoopback(const std::string& address);

}  // namespace myrtleloft::lab
