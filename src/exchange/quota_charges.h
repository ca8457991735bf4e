// What open requests are charged to their tenants' quotas, and what is refunded when it did not count.
//
//   QuotaCharge charge = quotas.chargeFor(tenant, unit);
//   if (const auto retryAfterMs = quotas.rejects(charge, classIndex)) ...   // nothing was charged
//   quotas.chargeRequest(charge, classIndex);
//
// Without quotas each function does nothing. One thread; costs as QuotaAdmission.
#pragma once

#include <optional>
#include <string_view>

#include "net/loop.h"
#include "quota/quota_admission.h"

namespace myrtleloft {

// The charges of one request. Only QuotaCharges reads and changes them.
class QuotaCharge {
  friend class QuotaCharges;
  static constexpr double kNotCharged = -1;

  int node_ = QuotaAdmission::kNoQuota;  // that it is charged to
  double requestMs_ = 0;                 // when the request was charged
  double callMs_ = kNotCharged;          // when its latest call was, while that may be refunded
};

class QuotaCharges {
 public:
  // Both must outlive it; without `quotas` there are no limits.
  QuotaCharges(const Loop& loop, QuotaAdmission* quotas) : loop_(loop), quotas_(quotas) {}

  // Nothing is charged yet, but it is known to which node it will be. `unit` may be empty.
  QuotaCharge chargeFor(int tenant, std::string_view unit) const;
  // When to come back, in ms, where a quota is used up.
  std::optional<double> rejects(const QuotaCharge& charge, int classIndex) const;
  void chargeRequest(QuotaCharge& charge, int classIndex) const;
  // The request was not accepted.
  void refundRequest(const QuotaCharge& charge, int classIndex) const;
  void chargeCall(QuotaCharge& charge) const;
  // The latest call did not count: it never left, or it is known not executed. At most one refund per call.
  void refundCall(QuotaCharge& charge) const;
  // The latest call counts, and cannot be refunded any more.
  static void keepCall(QuotaCharge& charge) { charge.callMs_ = QuotaCharge::kNotCharged; }

 private:
  const Loop& loop_;
  QuotaAdmission* quotas_;
};

}  // namespace myrtleloft
