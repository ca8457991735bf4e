// Decides by the operator's quotas whether a request may be accepted: it finds the quota node that the
// request belongs to, and checks the limits of that node and all its ancestors. QuotaTree does the
// accounting; this class maps requests to nodes, counts rejections and logs them.
//
//   QuotaAdmission quotas(plan, tenants, priorityWeights, {counters, log});
//   const int leaf = quotas.leafOf(tenant, unit);           // kNoQuota if no quota applies
//   if (const auto waitMs = quotas.rejects(leaf, cls, nowMs)) ... rejected, retry after *waitMs
//   quotas.chargeRequest(leaf, cls, nowMs); quotas.chargeCall(leaf, nowMs);
//
// An accepted request is charged as one message and with the priority weight of its class (its worth), and
// each call as one call, at every level. Quotas never delay or prevent calls of accepted requests; calls only
// count against later requests.
//
// Without nodes, quotas are disabled and each function does nothing. To be used from one thread. The cost is
// that of QuotaTree, plus a lookup of the unit's name.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "counters/counters.h"
#include "log/log.h"
#include "quota/quota_plan.h"
#include "quota/quota_tree.h"

namespace myrtleloft {

class QuotaAdmission {
 public:
  static constexpr int kNoQuota = -1;
  struct Parts {
    Counters& counters;
    Log log;
  };

  // `tenants` are indexed by tenant, `priorityWeights` by class. Nodes of tenants that are not listed are
  // ignored, because such tenants have no requests.
  QuotaAdmission(const QuotaPlan& plan, const std::vector<std::string>& tenants,
                 const std::vector<double>& priorityWeights, const Parts& parts);

  bool enabled() const { return !tree_.shape().nodes.empty(); }
  // Returns the node of that unit, else the tenant's node for all other units, else the tenant's own node,
  // else kNoQuota.
  int leafOf(int tenant, std::string_view unit) const;
  // Returns the milliseconds after which to retry if the request is rejected, and std::nullopt otherwise.
  std::optional<double> rejects(int leaf, int cls, double nowMs);
  void chargeRequest(int leaf, int cls, double nowMs) { tree_.charge(leaf, amountOf(cls), nowMs); }
  // Takes the charge of `whenMs` back, because the request was rejected for another reason.
  void refundRequest(int leaf, int cls, double whenMs, double nowMs) {
    tree_.refund(leaf, amountOf(cls), whenMs, nowMs);
  }
  void chargeCall(int leaf, double nowMs) { tree_.charge(leaf, kCall, nowMs); }
  // Takes the charge of `whenMs` back, because the call is known not executed.
  void refundCall(int leaf, double whenMs, double nowMs) { tree_.refund(leaf, kCall, whenMs, nowMs); }
  const QuotaTree& tree() const { return tree_; }

 private:
  static constexpr Amount kCall{{0, 0, 1}};
  struct Tenant {
    int own = kNoQuota, rest = kNoQuota;  // the tenant's own node, and that for all units without a node
    std::map<std::string, int, std::less<>> units;  // nodes by name of the unit
  };

  // Returns what an accepted request of the class is charged.
  Amount amountOf(int cls) const { return {{1, weightMillionths_.at(static_cast<std::size_t>(cls)), 0}}; }

  Parts parts_;
  QuotaTree tree_;
  std::vector<Tenant> tenants_;
  std::vector<std::uint64_t> weightMillionths_;  // priority weight of each class, in millionths
};

}  // namespace myrtleloft
