// Whether a request may come in, by the operator's quotas: which node it belongs to, and whether every level
// from there to the root has room. Refuses, counts and logs; the tree reckons.
//
//   QuotaAdmission door(plan, tenants, worths, {counters, log});
//   const int leaf = door.leafOf(tenant, unit);             // kNoQuota: none is about it
//   if (const auto waitMs = door.refuses(leaf, cls, nowMs)) ... refused, come back in *waitMs
//   door.chargeRequest(leaf, cls, nowMs); door.chargeCall(leaf, nowMs);
//
// What is taken in is charged in messages and worth, and each call in calls, at every level. Nobody is called
// less for a quota: a request that was taken in goes its way, and its calls only keep later ones out.
//
// Without nodes it is off, and each function does nothing. One thread; costs as QuotaTree, and a look-up of
// the unit's name.
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

  // `tenants`, `worths`: by index of the tenant and of the class. Tenants that are not among them have no
  // requests, and their nodes nothing to do.
  QuotaAdmission(const QuotaPlan& plan, const std::vector<std::string>& tenants,
                 const std::vector<double>& worths, const Parts& parts);

  bool enabled() const { return !tree_.shape().nodes.empty(); }
  // The node of that unit, else the tenant's node for the rest, else the tenant's own.
  int leafOf(int tenant, std::string_view unit) const;
  // When to come back, in ms.
  std::optional<double> rejects(int leaf, int cls, double nowMs);
  void chargeRequest(int leaf, int cls, double nowMs) { tree_.charge(leaf, amountOf(cls), nowMs); }
  // It was refused after all.
  void refundRequest(int leaf, int cls, double whenMs, double nowMs) {
    tree_.refund(leaf, amountOf(cls), whenMs, nowMs);
  }
  void chargeCall(int leaf, double nowMs) { tree_.charge(leaf, kCall, nowMs); }
  // It never left, or the endpoint said that it did not count.
  void refundCall(int leaf, double whenMs, double nowMs) { tree_.refund(leaf, kCall, whenMs, nowMs); }
  const QuotaTree& tree() const { return tree_; }

 private:
  static constexpr Amount kCall{{0, 0, 1}};
  struct Tenant {
    int own = kNoQuota, rest = kNoQuota;
    std::map<std::string, int, std::less<>> units;
  };

  Amount amountOf(int cls) const { return {{1, worthMicro_.at(static_cast<std::size_t>(cls)), 0}}; }

  Parts parts_;
  QuotaTree tree_;
  std::vector<Tenant> tenants_;
  std::vector<std::uint64_t> worthMicro_;  // by class
};

}  // namespace myrtleloft
