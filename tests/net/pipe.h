// A pair of connected sockets for tests of Loop.
#pragma once

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <array>

#include "net/socket.h"

namespace myrtleloft::testing {

// `here` is watched by the loop, and `there` is used by the test.
struct Pipe {
  Pipe() {
    std::array<int, 2> ends{};
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0, ends.data()) == 0);
    here = Fd(ends[0]);
    there = Fd(ends[1]);
  }
  void fill() const { REQUIRE(::send(there.get(), "x", 1, 0) == 1); }
  void drain() const {
    char byte = 0;
    ::recv(here.get(), &byte, 1, 0);
  }
  Fd here, there;
};

}  // namespace myrtleloft::testing
