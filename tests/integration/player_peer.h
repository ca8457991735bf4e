// The connections of the player of recorded exchanges: to the program, and from it.
//
// Each function throws a Failure if nothing happens for kPatienceMs, or if the connection ends too early.
#pragma once

#include <deque>
#include <stdexcept>
#include <string>

#include "net/socket.h"

namespace myrtleloft::testing {

using Failure = std::runtime_error;

constexpr int kPatienceMs = 7000;  // a step that takes longer has failed

struct Peer {
  Fd fd;
  std::string in;  // received, and not yet compared with a step
};

void wait(const Fd& fd, short events);
Peer acceptPeer(const Fd& listener);
void sendTo(Peer& peer, const std::string& bytes);
// Receives more; whether the connection is still open.
bool more(Peer& peer);
void expectMore(Peer& peer);
// Answers the poll of discovery that confirms the list of a start, without a change. Returns the connections
// that came with it: the long poll that follows, then any notifications. A poll for the complete list is
// returned in place of the long poll, without an answer.
std::deque<Peer> confirmInitialList(const Fd& listener);

}  // namespace myrtleloft::testing
