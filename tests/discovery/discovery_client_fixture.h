// A DiscoveryClient and a fake directory that can stop answering, close connections or reject polls. Uses
// real sockets on the loopback interface and a manual clock.
//
//   DiscoveryClientFixture fixture(options, &known, true);   // the initial list is fresh
//   fixture.runLoop(20);                                     // 20 iterations; the clock does not advance
//   fixture.advance(1000);                                   // milliseconds
#pragma once

#include <functional>
#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "discovery/discovery_client.h"
#include "lab/faulty_files.h"
#include "lab/hand_clock.h"
#include "lab/hub.h"
#include "lab/module_site.h"

namespace myrtleloft {

struct DiscoveryClientFixture {
  explicit DiscoveryClientFixture(DiscoveryClient::Options options = {}, const EndpointList* known = nullptr,
                                  bool fresh = false, bool cacheEnabled = false)
      : endpointDirectory({files, clock, share, counters, log},
                          DiscoveryClientFixture::options(cacheEnabled)) {
    options.names = lab::kNames;
    if (known) endpointDirectory.begin(*known, fresh ? clock.wallMs() : 0);
    client = std::make_unique<DiscoveryClient>(DiscoveryClient::Parts{loop, endpointDirectory, counters, log},
                                               address, options);
    client->start([this](EndpointListEvent) { ++events; });
  }
  void runLoop(int turns) {
    for (int i = 0; i < turns; ++i) {
      hub.turn(0);
      loop.after(0, [] {});
      loop.runOnce();
    }
  }
  static std::string entry(int number) {
    return R"({"uid":"u)" + std::to_string(number) +
           R"(","endpoint":"127.0.0.1:9","az":"norte","model":"large","pod_group":7,"state":"active"})";
  }
  static EndpointDirectory::Options options(bool cacheEnabled) {
    EndpointDirectory::Options o;
    o.cacheEnabled = cacheEnabled;
    o.cache.folder = "/s";
    o.cache.maxBytes = 1 << 20;
    o.cache.names = lab::kNames;
    o.classes = lab::kThreeClasses;
    return o;
  }

  // Advances the clock in steps of 50 ms, and runs the loop after each.
  void advance(double ms) {
    for (const double until = clock.nowMs + ms; clock.nowMs < until;) {
      clock.nowMs += 50;
      runLoop(12);
    }
  }
  // From now on the directory sends nothing on the existing connections.
  void silenceConnections() { silentConnections.insert(connections.begin(), connections.end()); }
  std::string answer() const {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
  }
  void onCall(lab::Hub::Id from, const lab::Message& call) {
    ++polls;
    calls.push_back(call.start);
    connections.insert(from);
    polledMs.push_back(clock.nowMs);
    lastPollFrom = from;
    if (ignoresPolls) silentConnections.insert(from);
    if (silentConnections.count(from)) return;
    if (fault) return fault(from);
    if (breaksLeft > 0 && breaksLeft--) return hub.close(from);
    if (rejectionsLeft > 0 && rejectionsLeft--)
      return hub.send(from, "HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n");
    if (holdsLongPolls && call.start.find("wait_ms=0 ") == call.start.npos) {
      waiting.insert(from);
      return;
    }
    hub.send(from, answer());
  }

  lab::Hub hub;
  int polls = 0, events = 0;
  bool ignoresPolls = false;    // whether new polls are never answered
  bool holdsLongPolls = false;  // whether long polls are held without an answer
  std::vector<std::string> calls;
  std::vector<double> polledMs;             // when each poll was received
  lab::Hub::Id lastPollFrom = 0;            // the connection of the last poll
  std::function<void(lab::Hub::Id)> fault;  // if set, handles polls instead of answering them
  std::set<lab::Hub::Id> waiting;           // connections with an open long poll
  std::string list = "{\"rev\":1,\"all\":true,\"targets\":[" + entry(1) + "]}";
  std::set<lab::Hub::Id> connections, silentConnections;
  int breaksLeft = 0, rejectionsLeft = 0;  // how many of the next polls are cut off or rejected
  std::string directory =
      hub.listen({[this](lab::Hub::Id from, const lab::Message& call) { onCall(from, call); }, {}, {}});
  Address address = *parseAddress(directory);
  lab::HandClock clock;
  Loop loop{clock};
  lab::Disk disk;
  lab::FaultyFiles files{disk};
  lab::CountedShare share;
  Counters counters;
  std::ostream log{nullptr};
  EndpointDirectory endpointDirectory;
  std::unique_ptr<DiscoveryClient> client;
};

inline EndpointList oneEndpoint() {
  EndpointList known{1, true, {EndpointRecord()}};
  known.endpoints[0].info.endpoint = "u1";
  known.endpoints[0].info.destination = 7;
  known.endpoints[0].address = *parseAddress("127.0.0.1:9");
  return known;
}

}  // namespace myrtleloft
