// Shared by tests of UpstreamClient: a listener that accepts no connections, and a CallListener that records
// outcomes.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>

#include <string>
#include <utility>
#include <vector>

#include "outbound/upstream_client.h"

namespace myrtleloft::lab {

// A listener whose backlog is full, so that connections to it are never established.
struct SaturatedListener {
  SaturatedListener() : fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(fd.get(), reinterpret_cast<sockaddr*>(&raw), sizeof raw);
    ::listen(fd.get(), 0);
    address = parseAddress(localAddress(fd)).value();
    for (int i = 0; i < 4; ++i) backlog.push_back(connectTo(address));
  }
  Fd fd;
  Address address;
  std::vector<Fd> backlog;
};

struct Outcomes : CallListener {
  void onOutcomes(const std::string& uid, const std::vector<CallOutcome>& outcomes,
                  const LoadReport&) override {
    for (const CallOutcome& outcome : outcomes) all.push_back({uid, outcome});
  }
  void onUnsolicited(const std::string& uid) override { unsolicited.push_back(uid); }
  std::vector<std::pair<std::string, CallOutcome>> all;
  std::vector<std::string> unsolicited;
};

inline EndpointRecord endpointRecord(const char* uid, const Address& address,
                                     EndpointState state = EndpointState::kRunning) {
  EndpointRecord record;
  record.info.endpoint = uid;
  record.info.destination = 7;
  record.info.state = state;
  record.address = address;
  return record;
}

}  // namespace myrtleloft::lab
