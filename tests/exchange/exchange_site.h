// A request manager with the components that it connects, on manual clocks, an in-memory disk and real
// sockets without blocking.
//
//   Site site(true);          // durability level `group`: syncs run when `site.syncer.work()` is called
//   site.submit("m");
//   site.advance(10);         // in steps of 5 ms
#pragma once

#include <doctest/doctest.h>

#include <cerrno>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "exchange/request_manager.h"
#include "journal/recovery.h"
#include "lab/faulty_files.h"
#include "lab/hand_clock.h"
#include "lab/hand_syncer.h"
#include "lab/module_site.h"

namespace myrtleloft::testing {

class Site {
 public:
  // With separate limits there is one endpoint, with a limit of its own; otherwise two endpoints share the
  // limit of their destination.
  explicit Site(bool group = false, int batchSize = 1, int callSlots = 1, bool separateLimits = true,
                const QuotaPlan& plan = {}, const std::function<void(Settings&)>& change = {})
      : syncer(files), quotas(plan, {"univ"}, {1, 2, 5}, {counters, log}), separateLimits_(separateLimits) {
    Settings settings = lab::moduleSettings(5);
    settings.maxConcurrentCalls = callSlots;
    settings.kindHasSeparateLimits = {separateLimits, separateLimits};
    settings.kindBatchSize = {batchSize, batchSize};
    settings.mayCancel = true;
    if (change) change(settings);
    journal = std::make_unique<Journal>(Journal::Parts{files, clock, log, group ? &syncer : nullptr},
                                        JournalOptions{"/s", 1000000, 0, {}, "the test", 5});
    manager = std::make_unique<RequestManager>(
        RequestManager::Parts{loop, directory, *journal, notifications, outbound, counters, &quotas},
        settings);
    outbound.setListener(*manager);
    auto found = journal->open();
    REQUIRE(found);
    manager->recover(std::move(*found), directory.begin({}, 0));
    setEndpointState(EndpointState::kRunning);
  }

  void setEndpointState(EndpointState state) {
    EndpointRecord record;
    record.info.endpoint = "a";
    record.info.destination = 7;
    record.info.state = state;
    record.address = *parseAddress(localAddress(endpoint));
    EndpointList list{++revision, true, {record}};
    record.info.endpoint = "b";
    if (!separateLimits_) list.endpoints.push_back(record);
    if (auto event = directory.onList(list, 0)) manager->onList(std::move(*event));
  }
  void submit(const std::string& id, double timeLeftMs = 10e3, const std::string& body = "body") {
    IncomingRequest request;
    request.id = id;
    request.body = body;
    request.destination = 7;
    request.arrivedMs = clock.nowMs;
    request.timeLeftMs = timeLeftMs;
    manager->onRequest(std::move(request), [this, id](const Answer& answer) {
      answers.push_back(answer.kind);
      answersById[id].push_back(answer.kind);
      lastRetryAfterMs = answer.retryAfterMs;
    });
  }
  // Advances the clock in steps of 5 ms and runs the loop without blocking.
  void advance(double ms) {
    for (const double until = clock.nowMs + ms; clock.nowMs < until;) {
      clock.nowMs += 5;
      loop.after(0, [] {});
      loop.runOnce();
    }
  }
  // Whether the next process would find the request pending.
  bool isPendingOnDisk(const std::string& id) {
    const auto found = recover(files, "/s");
    return found && found->pending.find(id) != nullptr;
  }
  void failDisk() { files.failAt(files.operations() + 1, 1 << 20, EIO); }
  void repairDisk() { files.failAt(0, 0, 0); }

  std::string error;
  Fd endpoint = listenOn(*parseAddress("127.0.0.1:0"), error);
  lab::HandClock clock;
  Loop loop{clock};
  lab::Disk disk;
  lab::FaultyFiles files{disk};
  lab::HandSyncer syncer;
  lab::CountedShare share;
  Counters counters;
  std::ostringstream log;
  EndpointDirectory directory{{files, clock, share, counters, log}, directoryOptions()};
  Address platform = *parseAddress("127.0.0.1:9");  // nothing listens there: notifications stay pending
  NotificationSender notifications{loop, platform, counters, log};
  UpstreamClient outbound{loop, counters, {1500, {}}};
  QuotaAdmission quotas;
  std::unique_ptr<Journal> journal;
  std::unique_ptr<RequestManager> manager;
  std::vector<Answer::Kind> answers;
  std::map<std::string, std::vector<Answer::Kind>> answersById;
  double lastRetryAfterMs = 0;
  std::int64_t revision = 0;

 private:
  bool separateLimits_;
  static EndpointDirectory::Options directoryOptions() {
    EndpointDirectory::Options options;
    options.cacheEnabled = false;
    options.classes = lab::kThreeClasses;
    return options;
  }
};

}  // namespace myrtleloft::testing
