#include "exchange/quota_charges.h"

#include <utility>

namespace myrtleloft {

QuotaCharge QuotaCharges::chargeFor(int tenant, std::string_view unit) const {
  QuotaCharge charge;
  if (quotas_ != nullptr) charge.node_ = quotas_->leafOf(tenant, unit);
  return charge;
}

std::optional<double> QuotaCharges::rejects(const QuotaCharge& charge, int classIndex) const {
  if (charge.node_ == QuotaAdmission::kNoQuota) return std::nullopt;
  return quotas_->rejects(charge.node_, classIndex, loop_.nowMs());
}

void QuotaCharges::chargeRequest(QuotaCharge& charge, int classIndex) const {
  if (charge.node_ != QuotaAdmission::kNoQuota)
    quotas_->chargeRequest(charge.node_, classIndex, loop_.nowMs());
  charge.requestMs_ = loop_.nowMs();
}

void QuotaCharges::refundRequest(const QuotaCharge& charge, int classIndex) const {
  if (charge.node_ != QuotaAdmission::kNoQuota)
    quotas_->refundRequest(charge.node_, classIndex, charge.requestMs_, loop_.nowMs());
}

void QuotaCharges::chargeCall(QuotaCharge& charge) const {
  if (charge.node_ == QuotaAdmission::kNoQuota) return;
  charge.callMs_ = loop_.nowMs();
  quotas_->chargeCall(charge.node_, charge.callMs_);
}

void QuotaCharges::refundCall(QuotaCharge& charge) const {
  const double chargedMs = std::exchange(charge.callMs_, QuotaCharge::kNotCharged);
  if (chargedMs != QuotaCharge::kNotCharged) quotas_->refundCall(charge.node_, chargedMs, loop_.nowMs());
}

}  // namespace myrtleloft
