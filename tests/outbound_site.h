// What tests of calls share: an endpoint that does not come up, and a listener that notes outcomes.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>

#include <string>
#include <utility>
#include <vector>

#include "outbound/upstream_client.h"

namespace myrtleloft::lab {

// A listener whose queue is full: connections to it stay half-way up.
struct Deaf {
  Deaf() : fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(fd.get(), reinterpret_cast<sockaddr*>(&raw), sizeof raw);
    ::listen(fd.get(), 0);
    address = parseAddress(localAddress(fd)).value();
    for (int i = 0; i < 4; ++i) queue.push_back(connectTo(address));
  }
  Fd fd;
  Address address;
  std::vector<Fd> queue;
};

struct Outcomes : CallListener {
  void onOutcomes(const std::string& uid, const std::vector<CallOutcome>& outcomes,
                  const LoadReport&) override {
    for (const CallOutcome& o : outcomes) all.push_back({uid, o});
  }
  void onUnsolicited(const std::string& uid) override { unsolicited.push_back(uid); }
  std::vector<std::pair<std::string, CallOutcome>> all;
  std::vector<std::string> unsolicited;
};

inline EndpointRecord at(const char* uid, const Address& address,
                         EndpointState state = EndpointState::kRunning) {
  EndpointRecord e;
  e.info.endpoint = uid;
  e.info.destination = 7;
  e.info.state = state;
  e.address = address;
  return e;
}

}  // namespace myrtleloft::lab
