#include "policy/outlier_detector.h"

#include "state/portable_math.h"

namespace myrtleloft::policy {

void OutlierDetector::recordSuccess(const BatchContext& batch, double backgroundFailureRate) {
  rejections_ = 0;
  ++successes_;
  updateOdds(batch, (1 - kOutageFailureRate) / (1 - std::max(kMinBackgroundRate, backgroundFailureRate)));
}

void OutlierDetector::recordFailure(const BatchContext& batch, double expectedFailureRate) {
  successes_ = 0;
  updateOdds(batch, kOutageFailureRate / std::max(kMinBackgroundRate, expectedFailureRate));
}

void OutlierDetector::recordRejection(double nowMs) {
  if (rejections_++ == 0) firstRejectionMs_ = nowMs;
}

bool OutlierDetector::rejectsAll(const BatchContext& batch, double backgroundRejectionRate) const {
  const double common = std::max(kMinBackgroundRate, backgroundRejectionRate);
  return rejections_ >= std::max(3.0, portable::log(kChanceOfRejections) / portable::log(common)) &&
         batch.nowMs() - firstRejectionMs_ > batch.settings.overloadWindowMs;
}

void OutlierDetector::updateOdds(const BatchContext& batch, double likelihoodRatio) {
  const double growth = (batch.nowMs() - lastUpdateMs_) / (batch.settings.slowStartMs * kOutageIntervalSpans);
  const double prior = std::min(kMaxPriorOdds, outageOdds_ + growth);
  outageOdds_ = std::min(kMaxOutageOdds, std::max(outageOdds_, prior) * likelihoodRatio);
  lastUpdateMs_ = batch.nowMs();
}

}  // namespace myrtleloft::policy
