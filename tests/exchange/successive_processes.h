// Successive processes of one relay on the same in-memory disk, with an endpoint and a platform that outlive
// them. Tests compare the notifications of each process for a request.
//
//   SuccessiveProcesses relay;
//   relay.start();
//   relay.submit("m", kBilling, 1500);
//   relay.process->files.failAt(...);     // the disk of this process
//   relay.advance(2000);
//   relay.kill();
//   relay.start();
//
// Uses a manual clock and real sockets without blocking. Single-threaded.
#pragma once

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "exchange/request_manager.h"
#include "lab/faulty_files.h"
#include "lab/hand_clock.h"
#include "lab/hub.h"
#include "lab/module_site.h"

namespace myrtleloft::testing {

class SuccessiveProcesses {
 public:
  struct Process {
    Process(lab::Disk& disk, lab::HandClock& clock, const Address& platformAddress, const Settings& settings)
        : files(disk),
          loop(clock),
          directory({files, clock, share, counters, log}, directoryOptions()),
          platform(platformAddress),
          notifications(loop, platform, counters, log),
          outbound(loop, counters, {1500, {}}),
          journal({files, clock, log}, {"/s", 1000000, 0, {}, "the test", 5}),
          manager({loop, directory, journal, notifications, outbound, counters, nullptr, Log(log)},
                  settings) {}

    lab::FaultyFiles files;
    Loop loop;
    Counters counters;
    std::ostringstream log;
    lab::CountedShare share;
    EndpointDirectory directory;
    Address platform;
    NotificationSender notifications;
    UpstreamClient outbound;
    Journal journal;
    RequestManager manager;
  };

  SuccessiveProcesses() {
    endpoint_ = hub_.listen({[this](lab::Hub::Id from, const lab::Message&) {
                               ++calls;
                               if (onCall) onCall(from);
                             },
                             {},
                             {}});
    platform_ = hub_.listen(
        {[this](lab::Hub::Id from, const lab::Message& message) { onNotifications(from, message); }, {}, {}});
  }

  void start() {
    process = std::make_unique<Process>(disk, clock, *parseAddress(platform_), lab::moduleSettings(5));
    process->outbound.setListener(process->manager);
    process->notifications.onConfirmed([this](const std::string& id) { process->manager.onConfirmed(id); });
    auto found = process->journal.open();
    REQUIRE(found);
    process->manager.recover(std::move(*found), process->directory.begin(endpointList(), clock.wallMs()));
  }
  // Ends the process as SIGKILL does: nothing more is written to the disk.
  void kill() {
    process->files.crashAt(process->files.operations() + 1);
    process.reset();
  }
  void submit(const std::string& id, int classIndex, double timeLeftMs) {
    IncomingRequest request;
    request.id = id;
    request.key = "key-" + id;
    request.body = "body";
    request.classIndex = classIndex;
    request.destination = 7;
    request.arrivedMs = clock.nowMs;
    request.timeLeftMs = timeLeftMs;
    process->manager.onRequest(std::move(request),
                               [this, id](const Answer& answer) { answers[id] = answer.kind; });
  }
  // Advances the clock in steps of 5 ms and runs the loop.
  void advance(double ms) {
    for (const double until = clock.nowMs + ms; clock.nowMs < until;) {
      clock.nowMs += 5;
      for (int i = 0; i < 3; ++i) {
        process->loop.after(0, [] {});
        process->loop.runOnce();
        hub_.turn(0);
      }
    }
  }
  // Sends the endpoint's answer to a call.
  void answer(lab::Hub::Id call, const std::string& head) {
    hub_.send(call, "HTTP/1.1 " + head + "\r\nContent-Length: 0\r\n\r\n");
  }
  void breakOff(lab::Hub::Id call) { hub_.close(call, true); }

  lab::HandClock clock;
  lab::Disk disk;
  std::unique_ptr<Process> process;
  std::function<void(lab::Hub::Id)> onCall;  // if empty, calls are not answered
  int calls = 0;
  std::map<std::string, Answer::Kind> answers;
  // The statuses notified to the platform for each request, in order: "dead" or "bounced".
  std::map<std::string, std::vector<std::string>> statuses;

 private:
  static EndpointDirectory::Options directoryOptions() {
    EndpointDirectory::Options options;
    options.cacheEnabled = false;
    options.classes = lab::kThreeClasses;
    return options;
  }
  EndpointList endpointList() {
    EndpointRecord record;
    record.info.endpoint = "a";
    record.info.destination = 7;
    record.info.state = EndpointState::kRunning;
    record.address = *parseAddress(endpoint_);
    return {++revision_, true, {record}};
  }
  static std::string valueOf(const std::string& line, const std::string& name) {
    const std::size_t at = line.find("\"" + name + "\":\"") + name.size() + 4;
    return line.substr(at, line.find('"', at) - at);
  }
  void onNotifications(lab::Hub::Id from, const lab::Message& message) {
    std::istringstream lines(message.body);
    for (std::string line; std::getline(lines, line);)
      statuses[valueOf(line, "ref")].push_back(valueOf(line, "result"));
    hub_.send(from, "HTTP/1.1 204 No Content\r\n\r\n");
  }

  lab::Hub hub_;
  std::string endpoint_;
  std::string platform_;
  std::int64_t revision_ = 0;
};

}  // namespace myrtleloft::testing
