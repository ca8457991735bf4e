// Token bucket whose owner gives the rate and the burst at each refill. Cost: constant. Thread safety: none.
#pragma once

#include <algorithm>

namespace myrtleloft::policy {

class TokenBucket {
 public:
  // The number of tokens; negative after spending more than were available.
  double tokens() const { return tokens_; }
  double lastRefillMs() const { return lastRefillMs_; }
  void setTokens(double tokens) { tokens_ = tokens; }
  void spend(double tokens) { tokens_ -= tokens; }
  // Sets the tokens and the time of the last refill.
  void fill(double nowMs, double tokens) {
    tokens_ = tokens;
    lastRefillMs_ = nowMs;
  }
  // Adds the tokens for the time since the last refill, of which at most `maxElapsedMs` count, up to `burst`
  // tokens.
  void refill(double nowMs, double perSecond, double maxElapsedMs, double burst) {
    const double spanMs = std::min(nowMs - lastRefillMs_, maxElapsedMs);
    fill(nowMs, std::min(burst, tokens_ + perSecond * spanMs / 1000));
  }

 private:
  double tokens_ = 1;
  double lastRefillMs_ = 0;
};

}  // namespace myrtleloft::policy
