// The only place that decides whether and how a request may be attempted again after its attempts so far.
// Cost: linear in the endpoints, zones and kinds that are compared; allocates only in recordAmbiguousAttempt.
// Thread safety: the functions have no state; the requests belong to one dispatcher and are not shared.
#pragma once

#include <algorithm>
#include <vector>

#include "state/request.h"

namespace myrtleloft::policy {

// Whether the request may be sent again after an ambiguous attempt.
inline bool safeToRetry(const Request& request) {
  return request.settings->idempotency != Idempotency::kNonIdempotent;
}

// Whether the request may be attempted at the endpoint now. Inline because it is evaluated for each waiting
// request and each endpoint of its destination.
inline bool mayAttempt(const BatchContext& batch, const Request& request, const Endpoint& endpoint) {
  const auto allows = [](const std::vector<int>& allowed, int value) {
    return allowed.empty() || std::ranges::count(allowed, value) > 0;
  };
  const ClassSettings& settings = *request.settings;
  if (!allows(settings.allowedZones, endpoint.zone) || !allows(settings.allowedKinds, endpoint.kind))
    return false;
  if (!request.mayHaveExecuted() || settings.idempotency == Idempotency::kIdempotent) return true;
  if (settings.idempotency == Idempotency::kNonIdempotent || batch.nowMs() > request.sendByMs) return false;
  // A request never changes its destination, and a cell is a destination, so only a zone scope can be left.
  if (settings.deduplicationScope != DeduplicationScope::kZone) return true;
  return std::ranges::all_of(request.ambiguousZones, [&](int zone) { return zone == endpoint.zone; });
}

// Whether the client may safely send the request again, so that it may be rejected instead of failed.
bool mayReject(const Request& request);

// Whether the request has had all attempts that it may have, whatever endpoints there are.
bool hasNoAttemptLeft(const BatchContext& batch, const Request& request);

// Whether no further attempt of the request is permitted at any endpoint of its destination.
bool exhausted(const BatchContext& batch, const Request& request);

// Records that the attempt sent at `sentMs` to an endpoint of the zone may have been executed.
void recordAmbiguousAttempt(const BatchContext& batch, Request& request, double sentMs, int zone);

// Timeout of an attempt that starts now, in ms, 1 or more. `typicalLatencyMs` belongs to its endpoint.
double attemptTimeoutMs(const BatchContext& batch, const Request& request, double typicalLatencyMs);

}  // namespace myrtleloft::policy
