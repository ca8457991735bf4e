// Histories of a fleet, told in one expression:
//
//   Story().taken("once").call(30, "a", 1).answer(40, "a", 1, 200)
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/auditor.h"

namespace myrtleloft::lab {

// Two endpoints of destination 7 in two zones, a third in the first one's, one of destination 8.
struct Story : FleetHistory {
  Story() { endpoints = {{"a", {7, "norte"}}, {"b", {7, "sur"}}, {"c", {7, "norte"}}, {"x", {8, "norte"}}}; }

  Story& lab(double atMs, Saw saw, const std::string& relay = "n1", double ms = 0) {
    add({.atMs = atMs, .saw = saw, .relay = relay, .ms = ms});
    return *this;
  }
  // The lab's turns took so long each, up to that moment.
  Story& turnsOf(double ms, double untilMs) {
    for (double atMs = 0; atMs <= untilMs; atMs += ms) turnsMs.push_back(atMs);
    return *this;
  }
  // Message "m", taken on by n1 at 0 with 10 s to live.
  Story& taken(const std::string& cls) { return handed(0, "m", cls).client(20, Saw::kTaken, "m"); }
  Story& handed(double atMs, const std::string& id, const std::string& cls) {
    add({.atMs = atMs,
         .saw = Saw::kHanded,
         .relay = "n1",
         .id = id,
         .cls = cls,
         .key = "k",
         .destination = 7,
         .ms = 10000});
    return *this;
  }
  Story& client(double atMs, Saw saw, const std::string& id) {
    add({.atMs = atMs, .saw = saw, .relay = "n1", .id = id});
    return *this;
  }
  Story& call(double atMs, const std::string& endpoint, std::int64_t number, const std::string& relay = "n1",
              const std::string& id = "m", const std::string& key = "k") {
    add({.atMs = atMs,
         .saw = Saw::kCall,
         .relay = relay,
         .id = id,
         .endpoint = endpoint,
         .key = key,
         .call = number});
    return *this;
  }
  Story& answer(double atMs, const std::string& endpoint, std::int64_t number, int status, double waitMs = 0,
                const std::string& relay = "n1", const std::string& id = "m") {
    add({.atMs = atMs,
         .saw = Saw::kAnswer,
         .relay = relay,
         .id = id,
         .endpoint = endpoint,
         .status = status,
         .ms = waitMs,
         .call = number});
    return *this;
  }
  Story& broke(double atMs, const std::string& endpoint, std::int64_t number) {
    add({.atMs = atMs, .saw = Saw::kEnded, .relay = "n1", .id = "m", .endpoint = endpoint, .call = number});
    return *this;
  }
  Story& notice(double atMs, const std::string& relay = "n1") {
    add({.atMs = atMs, .saw = Saw::kNotice, .relay = relay, .id = "m", .status = 0});
    return *this;
  }
  Story& told(double atMs, const std::string& endpoint, int active) {
    add({.atMs = atMs, .saw = Saw::kTold, .relay = "n1", .endpoint = endpoint, .status = active});
    return *this;
  }
  Story& endpoint(double atMs, Saw saw, const std::string& name, double ms = 0) {
    add({.atMs = atMs, .saw = saw, .endpoint = name, .ms = ms});
    return *this;
  }
  Story& watchedTo(double atMs) {
    untilMs = atMs;
    return *this;
  }
};

inline std::string toldOf(const std::vector<AuditFinding>& findings, const FleetHistory& history) {
  std::string text;
  for (const AuditFinding& f : findings) text += describe(f, history);
  return text;
}

// A cold endpoint that takes 10 calls a second: 50 and a few in 2 s. All of `told` had a call fail there.
inline Story coldReturn(int calls, const std::vector<std::string>& told) {
  Story s;
  s.endpoint(0, Saw::kCapacity, "a", 10);
  std::int64_t number = 0;
  const auto once = [&](double atMs, const std::string& relay, int status) {
    const std::string id = "m" + std::to_string(++number);
    s.handed(atMs, id, "any")
        .call(atMs + 1, "a", number, relay, id)
        .answer(atMs + 2, "a", number, status, 0, relay, id);
  };
  s.endpoint(10, Saw::kOutage, "a");
  for (const std::string& relay : told) once(20, relay, 503);
  s.endpoint(1000, Saw::kBack, "a");
  for (int i = 0; i < calls; ++i) once(1100 + i * 10, i % 2 ? "n1" : "n2", 200);
  return s;
}

}  // namespace myrtleloft::lab
