// Whether one upstream is out, by the outcomes of its calls.
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

// Holds the odds that the upstream is out, the runs of successes and rejections, and whether it is ejected.
// It decides nothing by itself: its upstream ejects and readmits.
// Invariants: the odds are in [0, kMaxOutageOdds]; a run of successes has no failure in it, a run of
// rejections no success.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class OutlierDetector {
 public:
  // Whether it is no longer used, apart from what slow start permits.
  bool ejected() const { return ejectedAtMs_.has_value(); }
  // Whether it was ejected after a call that was sent at `sentMs`.
  bool ejectedAfter(double sentMs) const { return ejected() && sentMs < *ejectedAtMs_; }
  // Whether an outage is at least as likely as none.
  bool outageLikely() const { return outageOdds_ >= 1; }
  // Successes since the last failure, 0 or more.
  std::int64_t successes() const { return successes_; }
  // Rejections since the last success, 0 or more.
  int rejections() const { return rejections_; }

  // A call succeeded; `backgroundFailureRate`: share of calls in [0, 1] that fail at upstreams that are not
  // ejected.
  void recordSuccess(const BatchContext& batch, double backgroundFailureRate);
  // A call failed; `expectedFailureRate`: share of calls in [0, 1] that fail that way without an outage.
  void recordFailure(const BatchContext& batch, double expectedFailureRate);
  // A call was rejected as full.
  void recordRejection(double nowMs);
  // Whether the rejections in a row are more than chance brings (share of calls in [0, 1] that are rejected
  // elsewhere): the upstream is shut, not merely above its limit.
  bool rejectsAll(const BatchContext& batch, double backgroundRejectionRate) const;
  // Its earlier successes say nothing any more.
  void restartSuccesses() { successes_ = 0; }
  // Marks it as ejected from now on.
  void eject(double nowMs) { ejectedAtMs_ = nowMs; }
  // Marks it as in use again; the odds stay.
  void readmit() { ejectedAtMs_.reset(); }

 private:
  // The odds grow with the time unseen, and a call counts by how unlike it is to calls elsewhere.
  void updateOdds(const BatchContext& batch, double likelihoodRatio);

  double outageOdds_ = 0;
  double updatedMs_ = 0;
  std::int64_t successes_ = 0;  // in a row
  int rejections_ = 0;          // in a row
  double firstRejectionMs_ = 0;
  std::optional<double> ejectedAtMs_;
};

}  // namespace myrtleloft::policy
