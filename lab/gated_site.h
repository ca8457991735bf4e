// One relay that a test can hold (lab/gate.h) among an endpoint of destination 7, a directory and raw
// clients. One thread: whatever waits for something does it through `until`, which lets the stand-ins go on.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>

#include "lab/gate.h"
#include "lab/hub.h"
#include "lab/site.h"
#include "lab/stand_ins.h"

namespace myrtleloft::lab {

inline constexpr int kPatienceMs = 20000;  // a bound for a test that fails, never a pause

// A client's socket with all that can happen to it: what came, and whether its end was a FIN or an RST.
class RawClient {
 public:
  // Connects to "127.0.0.1:PORT", at once. `receiveBuffer`: bytes of SO_RCVBUF; 0: as the system has it.
  explicit RawClient(const std::string& address, int receiveBuffer = 0)
      : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (receiveBuffer > 0) ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port =
        htons(static_cast<std::uint16_t>(std::atoi(address.substr(address.rfind(':') + 1).c_str())));
    raw.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connected_ = ::connect(fd_, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) == 0;
    socklen_t size = sizeof raw;
    if (::getsockname(fd_, reinterpret_cast<sockaddr*>(&raw), &size) == 0) port_ = ntohs(raw.sin_port);
  }
  ~RawClient() { close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  bool connected() const { return connected_; }
  std::uint32_t port() const { return port_; }
  // What the kernel takes of it now; loopback has it at the relay's socket when this returns.
  std::size_t send(const std::string& bytes) {
    const ssize_t put = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return put < 0 ? 0 : static_cast<std::size_t>(put);
  }
  void shut() { ::shutdown(fd_, SHUT_WR); }
  void reset() {
    const linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  // Takes what is there; true once the relay's side has ended.
  bool take() {
    char chunk[65536];
    while (fd_ >= 0 && !ended_ && !wasReset_) {
      const ssize_t got = ::recv(fd_, chunk, sizeof chunk, MSG_DONTWAIT);
      if (got > 0) in.append(chunk, static_cast<std::size_t>(got));
      if (got == 0) ended_ = true;
      if (got < 0 && errno != EINTR && errno != EAGAIN) wasReset_ = true;
      if (got < 0 && errno == EAGAIN) break;
    }
    return ended_ || wasReset_;
  }
  bool has(const char* text) {
    take();
    return in.find(text) != std::string::npos;
  }
  bool ended() const { return ended_; }        // by a FIN
  bool wasReset() const { return wasReset_; }  // by an RST

  std::string in;

 private:
  int fd_;
  std::uint32_t port_ = 0;
  bool connected_ = false, ended_ = false, wasReset_ = false;
};

// A request to destination 7 with `body` in full.
inline std::string postOf(const std::string& id, const std::string& body = "hello",
                          const std::string& more = "") {
  return "POST /status-update HTTP/1.1\r\nX-Request-ID: " + id +
         "\r\nX-Timeout: 15\r\nX-Addressing: dest=7\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class GatedSite {
 public:
  // `program`: MYRTLELOFT_GATED. `limits`: of the configuration, as JSON's members.
  explicit GatedSite(const std::string& program, const std::string& limits = R"("sockets":256,"disk_mb":1)",
                     const std::string& operatorFile = "")
      : folder(newFolder()), gate(folder), endpoint(hub, "a", 7), directory(hub) {
    directory.tell({endpoint.entry()});
    relay = std::make_unique<Program>(hub, program, folder,
                                      R"({"name":"n1","listen":"127.0.0.1:0","discovery":")" +
                                          directory.address() + R"(","seed":"5","limits":{)" + limits +
                                          R"(},"settings":)" + kSiteSettings + "}",
                                      operatorFile);
  }
  ~GatedSite() {
    relay.reset();
    std::filesystem::remove_all(folder);
  }

  // Whether it serves, and knows destination 7.
  bool start() {
    relay->start();
    return until([this] { return relay->ready() && directory.heard(); });
  }
  bool until(const std::function<bool()>& done) {
    return hub.run(
        [&] {
          directory.turn();
          return done();
        },
        kPatienceMs);
  }
  bool logHas(const std::string& text) { return relay->log().find(text) != std::string::npos; }
  // Whether the relay has written its counters once more, and the last ones hold `text`.
  bool counts(const std::string& text) {
    const std::size_t from = relay->log().size();
    relay->signal(SIGUSR1);
    return until([&] { return relay->log().find("counters membership:", from) != std::string::npos; }) &&
           relay->log().find(text, from) != std::string::npos;
  }

  const std::string folder;
  Gate gate;
  Hub hub;
  Endpoint endpoint;
  Directory directory;
  std::unique_ptr<Program> relay;

 private:
  static std::string newFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "gated-XXXXXX").string();
    return ::mkdtemp(name.data()) ? name : "";
  }
};

}  // namespace myrtleloft::lab
