// The EndpointDirectory of a relay with the Dispatcher that uses it. Several processes in succession can
// share a disk. Clocks are manual.
//
//   lab::Disk disk; HandClocks clock;
//   RelayFixture process(disk, clock);
//   process.begin(); process.onList(list); process.finishDue();
//   process.submit("m", 0);   // returns false if rejected because of the list's age
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "discovery/endpoint_directory.h"
#include "journal/planner.h"
#include "lab/faulty_files.h"
#include "lab/hand_clock.h"
#include "lab/hand_syncer.h"
#include "lab/module_site.h"
#include "myrtleloft/dispatcher.h"

namespace myrtleloft {

using lab::CountedShare;
using HandClocks = lab::HandClock;
using lab::kNames;
using lab::kThreeClasses;

inline EndpointRecord endpoint(const std::string& uid, std::int64_t destination = 7, int port = 3000,
                               EndpointState state = EndpointState::kRunning) {
  EndpointRecord e;
  e.info.endpoint = uid;
  e.info.destination = destination;
  e.info.state = state;
  e.address = parseAddress("127.0.0.1:" + std::to_string(port)).value();
  return e;
}

inline EndpointList listOf(std::int64_t rev, std::vector<EndpointRecord> endpoints, bool all = true) {
  return {rev, all, std::move(endpoints)};
}

// The endpoints of a table as text, one per line.
inline std::string textOf(const EndpointTable::Endpoints& endpoints) {
  std::string text;
  for (const auto& [uid, e] : endpoints)
    text += uid + '@' + e.address.text + '/' + std::to_string(e.info.destination) +
            (e.info.state == EndpointState::kDraining ? "-drains" : "") + (e.missing ? "-missing" : "") +
            '\n';
  return text;
}
inline std::string textOf(const EndpointList& list) {
  EndpointTable set;
  set.apply(list, ListUpdateKind::kCached, 0);
  return textOf(set.all());
}

// One process with its directory and dispatcher. Records the requests that are sent.
class RelayFixture {
 public:
  // If `group` is set, the cache has a syncer, whose jobs are completed by `finishSyncs`.
  RelayFixture(lab::Disk& disk, HandClocks& clock, EndpointDirectory::Options options = {},
               bool group = false)
      : files(disk),
        syncer(files),
        clock_(clock),
        directory(parts(disk, group), filled(std::move(options))),
        dispatcher_(lab::moduleSettings(5)) {}

  // Loads the initial list, and passes it to the dispatcher, as a process does at its start.
  void begin(const EndpointList& known = {}, double knownWallMs = 0) {
    events_.emplace_back(directory.begin(known, knownWallMs));
    batch();
  }
  void onList(const EndpointList& list, std::size_t fromDirectory = 0) {
    if (auto event = directory.onList(list, fromDirectory)) events_.emplace_back(std::move(*event));
    batch();
  }
  // Advances the clock in steps of 5 ms. Each step processes a batch and, if one is due, a slice of the
  // cache.
  void advance(double ms) {
    for (const double until = clock_.nowMs + ms; clock_.nowMs < until;) {
      clock_.nowMs = std::min(until, clock_.nowMs + 5);
      if (clock_.nowMs >= directory.dueMs())
        if (auto event = directory.tick()) events_.emplace_back(std::move(*event));
      batch();
    }
  }
  // Advances the clock until nothing is due within 20 seconds.
  void finishDue() {
    while (directory.dueMs() < clock_.nowMs + 20e3) {
      clock_.nowMs = std::max(clock_.nowMs + 2, directory.dueMs());
      if (auto event = directory.tick()) events_.emplace_back(std::move(*event));
    }
    batch();
  }
  // Completes the submitted syncs.
  void finishSyncs() {
    syncer.work();
    directory.onSynced();
  }
  // Submits a request, as a client does. Returns false if it is rejected because of the list's age.
  bool submit(const std::string& id, int cls, std::int64_t destination = 7) {
    if (const auto retryAfterMs = directory.rejects(cls)) {
      lastRetryAfterMs = retryAfterMs;
      return false;
    }
    RequestEvent event;
    event.id = id;
    event.classIndex = cls;
    event.destination = destination;
    event.deadlineMs = clock_.nowMs + 10e3;
    destinationOf_[id] = destination;
    events_.emplace_back(std::move(event));
    batch();
    return true;
  }
  // Ends the call in flight of a request with `outcome`.
  void outcome(const std::string& id, Outcome outcome) {
    const auto out = inFlight_.extract(id);
    events_.emplace_back(OutcomeEvent{id, attempts_[id] - 1, out.mapped(), outcome, false, 0, {}});
    batch();
  }
  // Processes a batch with the collected events, and records its sends.
  void batch() {
    const std::vector<Event> events = std::exchange(events_, {});
    for (const Action& action : dispatcher_.onBatch(clock_.nowMs, events)) {
      if (const auto* send = std::get_if<SendAction>(&action)) {
        const EndpointRecord* e = directory.endpoints().find(send->endpoint);
        ++attempts_[send->id];
        if (!e || e->info.state != EndpointState::kRunning ||
            e->info.destination != destinationOf_.at(send->id))
          forbiddenSends.push_back(send->id + " to " + send->endpoint);
        sent.push_back({send->id, std::string(uidOfEndpoint(send->endpoint)), e ? e->address.text : ""});
        inFlight_[send->id] = send->endpoint;
      } else if (const auto* reject = std::get_if<RejectAction>(&action)) {
        finished.insert(reject->id);
      } else if (const auto* failed = std::get_if<FailAction>(&action)) {
        finished.insert(failed->id);
      }
    }
  }

  struct Sent {
    std::string id, uid, address;
  };
  lab::FaultyFiles files;
  lab::HandSyncer syncer;
  CountedShare share;
  Counters counters;
  std::ostringstream log;

 private:
  EndpointDirectory::Parts parts(lab::Disk& disk, bool group) {
    for (const auto& [path, bytes] : disk.files) share.used += roundUpToBlocks(bytes.size());
    return {files, clock_, share, counters, log, group ? &syncer : nullptr};
  }
  static EndpointDirectory::Options filled(EndpointDirectory::Options options) {
    options.cache.folder = "/s";
    if (options.cache.maxBytes == 0) options.cache.maxBytes = 1 << 26;
    options.cache.names = kNames;
    options.cache.salt = 77;
    options.classes = kThreeClasses;
    return options;
  }

  HandClocks& clock_;

 public:
  EndpointDirectory directory;
  std::vector<Sent> sent;
  std::vector<std::string> forbiddenSends;  // sends to endpoints that the list does not allow
  std::set<std::string> finished;
  std::optional<double> lastRetryAfterMs;

 private:
  Dispatcher dispatcher_;
  std::vector<Event> events_;
  std::map<std::string, std::string> inFlight_;  // the endpoint of the call in flight, by request id
  std::map<std::string, std::int64_t> destinationOf_;
  std::map<std::string, int> attempts_;
};

inline constexpr double kSecond = 1000;
inline constexpr double kHour = 3600 * kSecond;
inline constexpr double kDay = 24 * kHour;
inline constexpr double kYear = 365 * kDay;

inline EndpointList threeEndpoints() {
  return listOf(40, {endpoint("a", 7, 3001), endpoint("b", 7, 3002), endpoint("c", 8, 3003)});
}

// The state folder after a process that has received the list.
inline lab::Disk diskWith(const EndpointList& list, HandClocks& clock) {
  lab::Disk disk;
  RelayFixture process(disk, clock);
  process.begin();
  process.onList(list);
  process.finishDue();
  return disk;
}

inline bool has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace myrtleloft
