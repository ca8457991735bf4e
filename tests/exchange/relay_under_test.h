// The components of a relay without its HTTP server, connected to FakeSurroundings, on a manual clock and an
// in-memory disk that outlives it. Destroying the object simulates the end of the process.
//
//   RelayUnderTest relay(surroundings, clock, disk, seed, isGroup);
//   if (!relay.opened) ...      // the journal's folder cannot be used
//   while (relay.turn()) ...    // until the process has crashed at a disk operation
//
// Single-threaded.
#pragma once

#include <sstream>
#include <string>
#include <utility>

#include "exchange/request_manager.h"
#include "lab/faulty_files.h"
#include "lab/hand_clock.h"
#include "lab/hand_syncer.h"
#include "lab/module_site.h"
#include "tests/exchange/fake_surroundings.h"

namespace myrtleloft::testing {

class RelayUnderTest {
 public:
  RelayUnderTest(FakeSurroundings& surroundings, lab::HandClock& clock, lab::Disk& disk, std::uint64_t seed,
                 bool isGroup)
      : surroundings_(surroundings),
        clock_(clock),
        files(disk),
        syncer(files),
        journal({files, clock, log_, isGroup ? &syncer : nullptr}, {"/s", 400000, 0, {}, "the test", seed}),
        manager({loop, directory, journal, notifications, outbound, counters}, drawnSettings(seed)) {
    outbound.setListener(manager);
    notifications.onConfirmed([this](const std::string& id) { manager.onConfirmed(id); });
    auto found = journal.open();
    opened = static_cast<bool>(found);
    if (!opened) return;
    manager.recover(std::move(*found), directory.begin(endpointList(), clock.wallMs()));
  }

  // Applies a list with the current state of the endpoints, as discovery would.
  void updateList() {
    if (auto event = directory.onList(endpointList(), 0)) manager.onList(std::move(*event));
  }
  // Runs the loop and the surroundings; returns false once the process has crashed at a disk operation.
  bool turn() {
    for (int i = 0; i < 3; ++i) {
      loop.after(0, [] {});
      loop.runOnce();
      if (files.crashed()) return false;
      surroundings_.turn();
    }
    if (!syncer.jobs.empty() && surroundings_.below(3) == 0) {
      syncer.work();
      manager.onSynced();
    }
    return !files.crashed();
  }

 private:
  EndpointList endpointList() {
    EndpointList list{++revision_, true, {}};
    for (const auto& endpoint : surroundings_.endpoints) {
      EndpointRecord record;
      record.info.endpoint = endpoint->uid;
      record.info.destination = 7;
      record.info.kind = endpoint->kind;
      record.info.state = endpoint->state;
      record.info.rating = 20;
      record.address = *parseAddress(endpoint->address);
      list.endpoints.push_back(record);
    }
    return list;
  }
  static EndpointDirectory::Options directoryOptions() {
    EndpointDirectory::Options options;
    options.cacheEnabled = false;
    options.classes = lab::kThreeClasses;
    return options;
  }

  FakeSurroundings& surroundings_;
  lab::HandClock& clock_;
  std::int64_t revision_ = 0;
  std::ostringstream log_;

 public:
  // In the order of construction: each refers only to those above it.
  lab::FaultyFiles files;
  lab::HandSyncer syncer;
  Loop loop{clock_};
  Counters counters;
  lab::CountedShare share;
  EndpointDirectory directory{{files, clock_, share, counters, log_}, directoryOptions()};
  Address platform = *parseAddress(surroundings_.platform);
  NotificationSender notifications{loop, platform, counters, log_};
  UpstreamClient outbound{loop, counters, {1500, {}, kCallSlots}};
  Journal journal;
  RequestManager manager;
  bool opened = false;
};

}  // namespace myrtleloft::testing
