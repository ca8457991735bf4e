// Records of an accepted request and of the requests of an ordering key. Plain data, owned by RequestTable.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "state/endpoint.h"

namespace myrtleloft::policy {

// The requests of one ordering key, in the order accepted.
struct OrderedQueue {
  std::deque<std::uint64_t> sequence;  // their sequence numbers
  double pausedUntilMs = -kNever;      // no first attempt starts before this time
};

// A request that has no final status, or whose last call is still in flight.
struct Request {
  std::string id;
  std::uint64_t sequence = 0;  // increases in the order of acceptance
  const ClassSettings* settings = nullptr;
  OrderedQueue* orderedQueue = nullptr;  // nullptr if not ordered
  std::uint64_t arrivalBatch = 0;        // number of the batch in which it arrived; 0 if before a restart
  double deadlineMs = 0;
  double objectiveMs = 0;        // time until which a delivery has the full weight
  double objectiveSpanMs = 0;    // latency objective, 1 or more
  double sendByMs = 0;           // time until which an attempt may start
  double heldUntilMs = -kNever;  // time until which it waits for discovery to confirm the cached list
  Destination* destination = nullptr;
  int attempts = 0;
  int timeouts = 0;
  bool completed = false;
  std::vector<int> ambiguousZones;  // zone of each attempt that may have been executed
  std::int64_t call = -1;           // id of the call in flight, -1 if none
  std::vector<Endpoint*> tried;     // endpoints with a failed attempt, each once
  // Whether the order of its ordering key, if any, permits sending it at `nowMs`.
  bool isNextOfOrderKey(double nowMs) const {
    return !orderedQueue || (orderedQueue->sequence.front() == sequence &&
                             (attempts > 0 || nowMs >= orderedQueue->pausedUntilMs));
  }
  // Delays the first attempts of later requests of its ordering key, if any.
  void pauseOrderKey(double untilMs) const {
    if (orderedQueue) orderedQueue->pausedUntilMs = untilMs;
  }
  // Whether an attempt may have been executed.
  bool mayHaveExecuted() const { return !ambiguousZones.empty(); }
  bool triedAt(const Endpoint* endpoint) const {
    return std::find(tried.begin(), tried.end(), endpoint) != tried.end();
  }
};

}  // namespace myrtleloft::policy
