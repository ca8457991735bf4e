// One accepted request, and the requests of one ordering key.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "state/endpoint.h"

namespace myrtleloft::policy {

struct OrderedQueue {  // requests of one ordering key, in the order accepted
  std::deque<std::uint64_t> sequence;
  double pausedUntilMs = -kNever;
};

struct Request {
  std::string id;
  std::uint64_t sequence = 0;
  const ClassSettings* settings = nullptr;
  OrderedQueue* orderedQueue = nullptr;  // none: not ordered
  std::uint64_t arrivalBatch = 0;        // the number of the batch that it came with; 0: before a restart
  double deadlineMs = 0;
  double objectiveMs = 0;  // the moment until which it has its full weight, and the span until then
  double objectiveSpanMs = 0;
  double sendByMs = 0;
  Destination* destination = nullptr;
  int attempts = 0;
  int timeouts = 0;
  bool completed = false;
  std::vector<int> ambiguousZones;  // of each attempt that may have been executed
  std::int64_t call = -1;           // -1: none in flight
  std::vector<Endpoint*> tried;     // each once
  bool nextOfItsKey(double nowMs) const {
    return !orderedQueue || (orderedQueue->sequence.front() == sequence &&
                             (attempts > 0 || nowMs >= orderedQueue->pausedUntilMs));
  }
  void pauseKey(double untilMs) const {
    if (orderedQueue) orderedQueue->pausedUntilMs = untilMs;
  }
  bool mayHaveRun() const { return !ambiguousZones.empty(); }
  bool triedAt(const Endpoint* endpoint) const {
    return std::find(tried.begin(), tried.end(), endpoint) != tried.end();
  }
};

}  // namespace myrtleloft::policy
