#include "tests/integration/player_peer.h"

#include <poll.h>

#include <string_view>
#include <utility>

#include "tests/integration/player_text.h"

namespace myrtleloft::testing {
namespace {

constexpr std::string_view kPoll = "GET /discovery/hosts";
constexpr std::string_view kPollForChanges = "GET /discovery/hosts?after=";

// Accepts connections up to the next poll of discovery, and puts the others into `others`.
Peer acceptPoll(const Fd& listener, std::deque<Peer>& others) {
  while (true) {
    Peer peer = acceptPeer(listener);
    while (peer.in.find("\r\n\r\n") == std::string::npos) expectMore(peer);
    if (peer.in.starts_with(kPoll)) return peer;
    others.push_back(std::move(peer));
  }
}

}  // namespace

void wait(const Fd& fd, short events) {
  pollfd p{fd.get(), events, 0};
  if (::poll(&p, 1, kPatienceMs) <= 0) throw Failure("nothing came in time");
}

Peer acceptPeer(const Fd& listener) {
  wait(listener, POLLIN);
  int error = 0;
  return Peer{acceptFrom(listener, error), ""};
}

void sendTo(Peer& peer, const std::string& bytes) {
  for (std::size_t at = 0; at < bytes.size();) {
    if (writeSome(peer.fd, bytes, at) == Io::kFailed) throw Failure("the connection broke");
    if (at < bytes.size()) wait(peer.fd, POLLOUT);
  }
}

bool more(Peer& peer) {
  wait(peer.fd, POLLIN);
  const Io io = readSome(peer.fd, peer.in);
  return io == Io::kProgress || io == Io::kWouldBlock;
}

void expectMore(Peer& peer) {
  pollfd p{peer.fd.get(), POLLIN, 0};
  if (::poll(&p, 1, kPatienceMs) <= 0) throw Failure("nothing more came; so far: " + shown(peer.in));
  if (!more(peer)) throw Failure("the connection ended; so far: " + shown(peer.in));
}

std::deque<Peer> confirmInitialList(const Fd& listener) {
  std::deque<Peer> others;
  Peer poll = acceptPoll(listener, others);
  if (!poll.in.starts_with(kPollForChanges)) {  // it wants the complete list, as there is none
    others.push_front(std::move(poll));
    return others;
  }
  const std::size_t revisionEnd = poll.in.find('&');
  const std::string revision = poll.in.substr(kPollForChanges.size(), revisionEnd - kPollForChanges.size());
  const std::string body = R"({"rev":)" + revision + R"(,"all":false,"targets":[]})";
  sendTo(poll, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  Peer longPoll = acceptPoll(listener, others);
  others.push_front(std::move(longPoll));
  return others;
}

}  // namespace myrtleloft::testing
