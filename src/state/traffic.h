// The requests for one destination, and the endpoints that may serve them. Plain data.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "state/batch_context.h"
#include "state/decayed_rate.h"

namespace myrtleloft::policy {

struct Endpoint;
struct Request;

struct DestinationTraffic {
  std::vector<Endpoint*> endpoints;
  std::map<std::uint64_t, Request*> queue;  // waiting requests by sequence number, in the order accepted
  DecayedRate arrivals;
  // Shortest idle age, in ms, of the connections that broke since the last other outcome; kNever if none did.
  double brokenIdleMs = kNever;
};

}  // namespace myrtleloft::policy
