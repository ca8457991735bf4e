// What the stand-ins around a fleet of relays saw: clients, endpoints, platform, directories, and the lab
// itself where it stopped or ended a process. No relay's own word is in it. One clock for all, in ms; in
// order of time.
//
//   FleetHistory history;
//   history.endpoints["e1"] = {7, "norte"};
//   history.add({.atMs = 10, .saw = Saw::kHanded, .relay = "n1", .id = "9b1f", .cls = "billing-charge",
//   ...});
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace myrtleloft::lab {

enum class Saw : std::uint8_t {
  // Clients.
  kHanded,   // a request's last byte was written to the relay: cls, key, destination, `ms` = its X-Timeout
  kTaken,    // heard 202 or 200
  kRefused,  // heard 429 or 503
  kCutOff,   // the relay ended the connection without an answer
  kLeft,     // gave up waiting for the answer: what happens under that id counts for nothing
  // Endpoints. `call` numbers a call over all endpoints.
  kCall,    // a call's last byte has come: key
  kAnswer,  // the call was answered: status; `ms` > 0: told to wait so long
  kEnded,   // the connection of the call ended, by either side
  kProbe,
  kOutage,    // from now on it serves nothing, or fails most calls
  kBack,      // ... and again, cold
  kCapacity,  // `ms` = calls a second that it can take from now on
  // Platform and directories.
  kNotice,  // the relay's notice was taken
  kTold,    // the relay counts as told of the endpoint: status 1 = active, 0 = leaving or gone
  // The lab's own deeds.
  kDown,     // SIGTERM or SIGKILL is about to be sent
  kStarted,  // a process is about to be begun
  kReady,    // it listens
  kStopped,
  kContinued,
  kFolderLost,  // what it kept is gone
  kExited,      // it ended by itself: status = its exit code, -1 after a signal
  kTrouble,     // something of its machine fails from now on that it may not get through: a start may wait
  kCalm,        // ... and works again
  // Clients, once more.
  // A connection on which requests had been answered was closed without an answer to this one: right only
  // where
  // the relay had not read it. A client that has sent one alone sends it again under its id.
  kUnread,
  kBegun,   // a client wrote half a request, id, and waits
  kRid,     // that client got an error, or its connection was closed
  kStall,   // the stand-ins themselves stood still for the last `ms`
  kHeldUp,  // the shim held up the relay's process for the last `ms`
  kStarved  // the relay's process could have run, and had no processor, for the last `ms`
};
inline constexpr const char* kSawNames[] = {
    "handed", "taken",   "refused",   "cut off",     "left",   "call",    "answer", "ended",
    "probe",  "outage",  "back",      "capacity",    "notice", "told",    "down",   "started",
    "ready",  "stopped", "continued", "folder lost", "exited", "trouble", "calm",   "unread",
    "begun",  "rid",     "stall",     "held up",     "starved"};

struct FleetRecord {
  double atMs = 0;
  Saw saw = Saw::kStall;
  std::string relay = {}, id = {}, endpoint = {}, cls = {}, key = {};
  int destination = 0, status = 0;
  double ms = 0;
  std::int64_t call = 0;
};

struct FleetHistory {
  struct Place {
    int destination = 0;
    std::string zone;
  };
  std::map<std::string, Place> endpoints;
  std::vector<FleetRecord> records;
  std::vector<double> turnsMs;  // when each turn of the stand-ins began
  double untilMs = 0;           // how long was watched; what is due later is not judged

  void add(FleetRecord record) {
    untilMs = std::max(untilMs, record.atMs);
    records.push_back(std::move(record));
  }
  std::string line(std::size_t at) const {
    const FleetRecord& r = records.at(at);
    std::ostringstream text;
    text << at << ": " << static_cast<std::int64_t>(r.atMs) << " ms "
         << kSawNames[static_cast<std::size_t>(r.saw)];
    const std::pair<const char*, const std::string*> words[] = {
        {" ", &r.relay}, {" id ", &r.id}, {" at ", &r.endpoint}, {" ", &r.cls}, {" key ", &r.key}};
    for (const auto& [name, word] : words)
      if (!word->empty()) text << name << *word;
    if (r.destination) text << " dest " << r.destination;
    if (r.saw == Saw::kAnswer || r.saw == Saw::kTold) text << " status " << r.status;
    if (r.ms > 0) text << " (" << r.ms << ")";
    if (r.call) text << " call " << r.call;
    return text.str();
  }
};

}  // namespace myrtleloft::lab
