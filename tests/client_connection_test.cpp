// ClientConnection against a peer that fails at critical moments.
#include "net/client_connection.h"

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <optional>
#include <string>
#include <thread>

#include "net/clock.h"

using namespace myrtleloft;

namespace {

struct Peer {
  Peer() {
    std::string error;
    listener = listenOn(parseAddress("127.0.0.1:0").value(), error);
    address = parseAddress(localAddress(listener)).value();
  }
  void accept() { fd = Fd(::accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC)); }
  void readAll() const {
    std::string chunk(1 << 16, ' ');
    while (::recv(fd.get(), chunk.data(), chunk.size(), MSG_DONTWAIT) > 0) {
    }
  }
  bool send(const std::string& bytes) const {
    return ::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
  }
  void reset() {
    const linger now{1, 0};
    ::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    fd.reset();
  }
  Fd listener, fd;
  Address address;
};

void turn(Loop& loop) {
  loop.after(0, [] {});  // a due timer keeps the poll from waiting
  loop.runOnce();
}

}  // namespace

// Another handler of the same turn sends the answer and resets the connection after poll(2) has reported the
// connection as writable, and before the write.
TEST_CASE("an answer is read even if the call's next write fails because the connection is reset") {
  Clock clock;
  Loop loop(clock);
  int ends[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) == 0);
  const Fd first(ends[0]), trigger(ends[1]);  // created first, because lower descriptors are handled first
  for (const bool begun : {true, false}) {
    Peer peer;
    ClientConnection connection(loop, peer.address);
    peer.accept();
    while (!connection.connected()) turn(loop);
    std::optional<ClientConnection::Result> result;
    connection.send(std::string(begun ? 64 << 20 : 100, 'x'),
                    [&](ClientConnection::Result r) { result = r; });
    while (begun && !connection.begun()) turn(loop);
    peer.readAll();  // makes the connection writable
    loop.watch(first.get(), POLLIN, [&](short) {
      loop.unwatch(first.get());
      peer.send("HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n");
      peer.reset();
    });
    REQUIRE(::send(trigger.get(), "x", 1, 0) == 1);
    turn(loop);
    REQUIRE(result);
    // Bytes that arrive before the call's first byte is written cannot be its answer.
    CHECK(result->end == (begun ? ClientConnection::End::kAnswered : ClientConnection::End::kNotSent));
    CHECK(result->answer.status == (begun ? 503 : 0));
    char byte = 0;
    REQUIRE(::recv(first.get(), &byte, 1, 0) == 1);
  }
}

// A thread fills the connection as fast as it is read. Each chunk has one byte of body and 10 KiB of framing,
// so that the body limit allows 640 MiB.
TEST_CASE("an endless answer does not block the loop") {
  Clock clock;
  Loop loop(clock);
  Peer peer;
  ClientConnection connection(loop, peer.address);
  peer.accept();
  while (!connection.connected()) turn(loop);
  std::optional<ClientConnection::Result> result;
  connection.send("GET / HTTP/1.1\r\n\r\n", [&](ClientConnection::Result r) { result = r; });
  std::thread writer([&] {
    const std::string chunk = "1;" + std::string(10240, 'e') + "\r\na\r\n";
    if (!peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
    while (peer.send(chunk)) {
    }
  });
  int turns = 0;
  for (; !result; ++turns) loop.runOnce();
  CHECK(turns > 20);  // each reads at most 256 KiB
  CHECK(result->end == ClientConnection::End::kInvalidAnswer);
  writer.join();
}

// Guards against a call whose outcome is taken from bytes that arrived before the endpoint had received it.
TEST_CASE("bytes before a call's last byte are not its answer, unless they reject it") {
  const std::string noBody = "Content-Length: 0\r\n\r\n";
  struct Scenario {
    std::string bytes;
    ClientConnection::End end;
  };
  const Scenario scenarios[] = {
      {"HTTP/1.1 200 OK\r\n" + noBody, ClientConnection::End::kNotSent},
      {"HTTP/1.1 204 No Content\r\n\r\n", ClientConnection::End::kNotSent},
      {"HTTP/1.1 410 Gone\r\n" + noBody, ClientConnection::End::kNotSent},
      {"HTTP/1.1 500 Failed\r\n" + noBody, ClientConnection::End::kNotSent},
      {"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n" + noBody, ClientConnection::End::kNotSent},
      {"HTTP/1.1 200 OK\r\nno header\r\n\r\n", ClientConnection::End::kNotSent},
      {"HTTP/1.1 503 Full\r\n" + noBody, ClientConnection::End::kAnswered},
      {"HTTP/1.1 429 Wait\r\nRetry-After: 1\r\n" + noBody, ClientConnection::End::kAnswered},
  };
  Clock clock;
  Loop loop(clock);
  for (const bool begun : {false, true}) {
    for (const Scenario& scenario : scenarios) {
      Peer peer;
      ClientConnection connection(loop, peer.address);
      std::optional<ClientConnection::Result> result;
      connection.send(std::string(begun ? 64 << 20 : 100, 'x'),
                      [&](ClientConnection::Result r) { result = r; });
      peer.accept();
      while (begun && !connection.begun()) turn(loop);
      REQUIRE(peer.send(scenario.bytes));
      while (!result) turn(loop);
      INFO("begun ", begun, ", bytes ", scenario.bytes);
      CHECK(result->end == scenario.end);
    }
  }
}
