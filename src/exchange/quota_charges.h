// Charges requests and calls to their tenants' quotas, and refunds those that do not count.
//
//   QuotaCharge charge = quotas.chargeFor(tenant, unit);
//   if (const auto retryAfterMs = quotas.rejects(charge, classIndex)) ...   // reject the request
//   quotas.chargeRequest(charge, classIndex);
//
// Without quotas the functions have no effect. Single-threaded; costs as QuotaAdmission.
#pragma once

#include <optional>
#include <string_view>

#include "net/loop.h"
#include "quota/quota_admission.h"

namespace myrtleloft {

// The charges of one request, used only by QuotaCharges.
class QuotaCharge {
  friend class QuotaCharges;
  static constexpr double kNotCharged = -1;

  int node_ = QuotaAdmission::kNoQuota;  // the quota node that is charged
  double requestMs_ = 0;                 // when the request was charged, on the loop's clock
  double callMs_ = kNotCharged;          // when the latest call was charged, as long as it may be refunded
};

class QuotaCharges {
 public:
  // Both must outlive this object. If `quotas` is null, there are no limits.
  QuotaCharges(const Loop& loop, QuotaAdmission* quotas) : loop_(loop), quotas_(quotas) {}

  // Returns the charge of a new request: its quota node is known, but nothing is charged yet. `unit` may be
  // empty.
  QuotaCharge chargeFor(int tenant, std::string_view unit) const;
  // If a quota is used up, returns after how many milliseconds the client should retry; otherwise
  // std::nullopt.
  std::optional<double> rejects(const QuotaCharge& charge, int classIndex) const;
  void chargeRequest(QuotaCharge& charge, int classIndex) const;
  // Refunds a request that was not accepted.
  void refundRequest(const QuotaCharge& charge, int classIndex) const;
  void chargeCall(QuotaCharge& charge) const;
  // Refunds the latest call, because it was never sent or is known not executed. Each call is refunded at
  // most once.
  void refundCall(QuotaCharge& charge) const;
  // The latest call counts and can no longer be refunded.
  static void confirmCall(QuotaCharge& charge) { charge.callMs_ = QuotaCharge::kNotCharged; }

 private:
  const Loop& loop_;
  QuotaAdmission* quotas_;
};

}  // namespace myrtleloft
