// Estimates from the outcomes of its calls whether an upstream has an outage.
//
//     outliers.recordFailure(batch, expectedFailureRate);
//     if (outliers.outageLikely()) outliers.eject(batch.nowMs());
//
// Cost: constant, without allocation.
#pragma once

#include <cstdint>
#include <optional>

#include "policy/constants.h"
#include "state/batch_context.h"

namespace myrtleloft::policy {

// Holds the odds of an outage, the numbers of consecutive successes and rejections, and whether the upstream
// is ejected. It does not eject or readmit by itself; class Upstream decides that.
// Invariants: the odds are in [0, kMaxOutageOdds]; a failure resets the count of successes, and a success
// resets that of rejections.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class OutlierDetector {
 public:
  // Whether the upstream is ejected: it gets only the calls that slow start permits.
  bool ejected() const { return ejectedAtMs_.has_value(); }
  // Whether the upstream is ejected, and was ejected after `sentMs`.
  bool ejectedAfter(double sentMs) const { return ejected() && sentMs < *ejectedAtMs_; }
  // Whether the odds of an outage are at least even.
  bool outageLikely() const { return outageOdds_ >= 1; }
  // Successes since the last failure, 0 or more.
  std::int64_t successes() const { return successes_; }
  // Rejections since the last success, 0 or more.
  int rejections() const { return rejections_; }

  // Records a successful call. `backgroundFailureRate` is the share of calls, in [0, 1], that fail at
  // upstreams that are not ejected.
  void recordSuccess(const BatchContext& batch, double backgroundFailureRate);
  // Records a failed call. `expectedFailureRate` is the share of calls, in [0, 1], that fail in this way
  // without an outage.
  void recordFailure(const BatchContext& batch, double expectedFailureRate);
  // Records a call that was rejected for lack of capacity.
  void recordRejection(double nowMs);
  // Whether the consecutive rejections are too many and last too long to be explained by a rate limit, so
  // that the upstream must be rejecting all calls. `backgroundRejectionRate` is the share (0 to 1) of calls
  // that are rejected at upstreams that are not ejected.
  bool rejectsAll(const BatchContext& batch, double backgroundRejectionRate) const;
  // Resets the count of successes.
  void restartSuccesses() { successes_ = 0; }
  // Marks the upstream as ejected since `nowMs`.
  void eject(double nowMs) { ejectedAtMs_ = nowMs; }
  // Marks the upstream as not ejected; the odds are unchanged.
  void readmit() { ejectedAtMs_.reset(); }

 private:
  // Bayesian update: time without calls raises the prior odds up to kMaxPriorOdds, then the odds are
  // multiplied by the likelihood ratio of the outcome, which is its probability in an outage divided by its
  // probability without an outage.
  void updateOdds(const BatchContext& batch, double likelihoodRatio);

  double outageOdds_ = 0;
  double lastUpdateMs_ = 0;
  std::int64_t successes_ = 0;  // since the last failure
  int rejections_ = 0;          // since the last success
  double firstRejectionMs_ = 0;
  std::optional<double> ejectedAtMs_;
};

}  // namespace myrtleloft::policy
