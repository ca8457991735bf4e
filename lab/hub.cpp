#include "lab/hub.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <vector>

#include "lab/loopback.h"

namespace myrtleloft::lab {
namespace {

constexpr int kBacklog = 128;

double nowMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::string trimmed(const std::string& text) {
  const std::size_t from = text.find_first_not_of(" \t"), to = text.find_last_not_of(" \t");
  return from == std::string::npos ? "" : text.substr(from, to - from + 1);
}

}  // namespace

Hub::~Hub() {
  for (auto& [id, peer] : peers_) ::close(peer.fd);
}

std::string Hub::listen(Handler handler) {
  constexpr int kLastOfHost = 2;
  const std::string host = processHost(kLastOfHost);
  const int fd = bindLoopback(host + ":0");
  sockaddr_in raw{};
  socklen_t size = sizeof raw;
  if (fd < 0 || ::listen(fd, kBacklog) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&raw), &size) != 0)
    return "";
  Peer& peer = peers_[++last_];
  peer.fd = fd;
  peer.listens = true;
  peer.handler = std::move(handler);
  return peer.address = host + ":" + std::to_string(ntohs(raw.sin_port));
}

Hub::Peer* Hub::listenerAt(const std::string& address) {
  const auto at = std::find_if(peers_.begin(), peers_.end(), [&](const auto& peer) {
    return peer.second.listens && peer.second.address == address;
  });
  return at == peers_.end() ? nullptr : &at->second;
}

void Hub::refuse(const std::string& address) {
  Peer* const listener = listenerAt(address);
  if (!listener) return;
  std::vector<Id> accepted;
  for (const auto& [id, peer] : peers_)
    if (!peer.listens && peer.address == address) accepted.push_back(id);
  for (const Id id : accepted) close(id, true);
  ::close(listener->fd);
  listener->fd = bindLoopback(address);
  listener->refuses = true;
}

void Hub::acceptAgain(const std::string& address) {
  Peer* const listener = listenerAt(address);
  if (!listener) return;
  ::listen(listener->fd, kBacklog);
  listener->refuses = false;
}

Hub::Id Hub::connect(const std::string& address, Handler handler) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in raw = socketAddress(address);
  ::connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw);
  const Id id = ++last_;
  Peer& peer = peers_[id];
  peer.fd = fd;
  peer.connecting = true;
  peer.handler = std::move(handler);
  return id;
}

Hub::Id Hub::adopt(int fd, Handler handler) {
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
  const Id id = ++last_;
  Peer& peer = peers_[id];
  peer.fd = fd;
  peer.handler = std::move(handler);
  return id;
}

void Hub::send(Id to, const std::string& bytes) {
  const auto at = peers_.find(to);
  if (at == peers_.end()) return;
  at->second.out += bytes;
  if (!at->second.connecting) flush(to);
}

void Hub::close(Id id, bool reset) {
  const auto at = peers_.find(id);
  if (at == peers_.end()) return;
  if (reset) {
    const linger now{1, 0};
    ::setsockopt(at->second.fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }
  ::close(at->second.fd);
  peers_.erase(at);
}

void Hub::pause(Id id, bool paused) {
  if (open(id)) peers_.at(id).paused = paused;
}

std::size_t Hub::queued(Id id) const { return open(id) ? peers_.at(id).out.size() : 0; }

bool Hub::gone(Id id) const {
  const auto at = peers_.find(id);
  if (at == peers_.end()) return true;
  char byte = 0;
  const ssize_t got = ::recv(at->second.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

bool Hub::run(const std::function<bool()>& done, int mostMs) {
  const double until = nowMs() + mostMs;
  while (!done()) {
    if (nowMs() > until) return false;
    turn(1);
  }
  return true;
}

void Hub::turn(int waitMs) {
  std::vector<pollfd> polled;
  std::vector<Id> ids;
  for (const auto& [id, peer] : peers_) {
    const bool writes = peer.connecting || !peer.out.empty();
    const int wanted = (peer.paused ? 0 : POLLIN) | (writes ? POLLOUT : 0);
    polled.push_back({peer.refuses || !wanted ? -1 : peer.fd, static_cast<short>(wanted), 0});
    ids.push_back(id);
  }
  if (::poll(polled.data(), polled.size(), waitMs) <= 0) return;
  for (std::size_t i = 0; i < polled.size(); ++i) {
    if (polled[i].revents == 0 || !open(ids[i])) continue;
    if (polled[i].revents & POLLOUT) flush(ids[i]);
    if (open(ids[i]) && (polled[i].revents & (POLLIN | POLLHUP | POLLERR))) onReadable(ids[i]);
  }
}

void Hub::flush(Id id) {
  Peer& peer = peers_.at(id);
  peer.connecting = false;
  while (!peer.out.empty()) {
    const ssize_t put = ::send(peer.fd, peer.out.data(), peer.out.size(), MSG_NOSIGNAL);
    if (put <= 0) return;  // full, or broken: reading will tell
    peer.out.erase(0, static_cast<std::size_t>(put));
  }
}

void Hub::onReadable(Id id) {
  Peer& peer = peers_.at(id);
  if (peer.listens) {
    const int fd = ::accept4(peer.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const Handler handler = peer.handler;
    const std::string address = peer.address;
    Peer& fresh = peers_[++last_];
    fresh.fd = fd;
    fresh.address = address;
    fresh.handler = handler;
    if (handler.opened) handler.opened(last_);
    return;
  }
  std::array<char, 65536> chunk;
  const ssize_t got = ::read(peer.fd, chunk.data(), chunk.size());
  if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (got > 0) {
    peer.in.append(chunk.data(), static_cast<std::size_t>(got));
    if (peer.handler.bytes)
      peer.handler.bytes(id, peer.in);
    else
      parse(id);
    return;
  }
  const auto closed = peer.handler.closed;
  close(id);
  if (closed) closed(id);
}

void Hub::parse(Id id) {
  while (open(id)) {
    Peer& peer = peers_.at(id);
    const std::size_t head = peer.in.find("\r\n\r\n");
    if (head == std::string::npos) return;
    Message message;
    std::size_t at = peer.in.find("\r\n");
    message.start = peer.in.substr(0, at);
    while (at < head) {
      const std::size_t end = peer.in.find("\r\n", at + 2);
      const std::string line = peer.in.substr(at + 2, end - at - 2);
      const std::size_t colon = line.find(':');
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      if (colon != std::string::npos) message.headers[name] = trimmed(line.substr(colon + 1));
      at = end;
    }
    const std::size_t length = static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
    if (peer.in.size() < head + 4 + length) return;
    message.body = peer.in.substr(head + 4, length);
    peer.in.erase(0, head + 4 + length);
    const auto handler = peer.handler.message;
    if (handler) handler(id, message);
  }
}

}  // namespace myrtleloft::lab
