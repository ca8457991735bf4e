#include "quota/quota_admission.h"

#include <algorithm>
#include <cmath>

namespace myrtleloft {
namespace {

constexpr double kMillion = 1e6;
constexpr const char* kMeasureNames[kMeasures] = {"messages", "worth", "calls"};

std::uint64_t millionthsOf(double weight) {
  return static_cast<std::uint64_t>(std::llround(weight * kMillion));
}

QuotaShape shapeOf(const QuotaPlan& plan) {
  QuotaShape shape;
  for (const std::int64_t seconds : plan.windowsS)
    shape.spansMs.push_back(static_cast<double>(seconds) * 1000);
  shape.maxActiveWindows = static_cast<std::size_t>(plan.maxActiveWindows);
  std::map<std::string_view, int> indexOf;
  for (const QuotaPlan::Node& node : plan.nodes) {
    QuotaShape::Node& shapeNode = shape.nodes.emplace_back();
    shapeNode.name = node.name;
    shapeNode.parent = node.parent.empty() ? -1 : indexOf.at(node.parent);
    indexOf.emplace(node.name, static_cast<int>(shape.nodes.size()) - 1);
    const auto limit = [&](Measure measure, std::size_t window, std::uint64_t max) {
      if (max > 0) shapeNode.limits.push_back({measure, window, max});
    };
    for (std::size_t w = 0; w < node.messages.size(); ++w)
      limit(Measure::kMessages, w, static_cast<std::uint64_t>(node.messages[w]));
    for (std::size_t w = 0; w < node.worth.size(); ++w)
      limit(Measure::kWorth, w, millionthsOf(node.worth[w]));
    for (std::size_t w = 0; w < node.calls.size(); ++w)
      limit(Measure::kCalls, w, static_cast<std::uint64_t>(node.calls[w]));
  }
  return shape;
}

}  // namespace

QuotaAdmission::QuotaAdmission(const QuotaPlan& plan, const std::vector<std::string>& tenants,
                               const std::vector<double>& priorityWeights, const Parts& parts)
    : parts_(parts), tree_(shapeOf(plan)), tenants_(tenants.size()) {
  for (const double weight : priorityWeights) weightMillionths_.push_back(millionthsOf(weight));
  std::vector<int> owner(plan.nodes.size(), -1);  // index of the tenant; -1 if it is not listed
  for (std::size_t i = 0; i < plan.nodes.size(); ++i) {
    const QuotaPlan::Node& node = plan.nodes[i];
    const int at = static_cast<int>(i), parent = tree_.shape().nodes[i].parent;
    if (parent >= 0) {
      owner[i] = owner[static_cast<std::size_t>(parent)];
    } else {
      const auto tenant = std::find(tenants.begin(), tenants.end(), node.tenant);
      owner[i] = tenant == tenants.end() ? -1 : static_cast<int>(tenant - tenants.begin());
    }
    if (owner[i] < 0) continue;
    Tenant& tenant = tenants_[static_cast<std::size_t>(owner[i])];
    if (parent < 0)
      tenant.own = at;
    else if (node.rest)
      tenant.rest = at;
    else if (!node.unit.empty())
      tenant.units.emplace(node.unit, at);
  }
}

int QuotaAdmission::leafOf(int tenant, std::string_view unit) const {
  if (static_cast<std::size_t>(tenant) >= tenants_.size()) return kNoQuota;
  const Tenant& entry = tenants_[static_cast<std::size_t>(tenant)];
  const auto at = unit.empty() ? entry.units.end() : entry.units.find(unit);
  if (at != entry.units.end()) return at->second;
  return entry.rest != kNoQuota ? entry.rest : entry.own;
}

// One call is included in the check although it is made later: if the calls of a window are used up, a
// further request would exceed them.
std::optional<double> QuotaAdmission::rejects(int leaf, int cls, double nowMs) {
  if (leaf == kNoQuota) return std::nullopt;
  Amount requested = amountOf(cls);
  requested.add(kCall);
  const auto rejection = tree_.rejects(leaf, requested, nowMs);
  if (!rejection) return std::nullopt;
  ++parts_.counters.failFastQuota;
  const double spanMs = tree_.shape().spansMs[rejection->window];
  const std::string& node = tree_.shape().nodes[static_cast<std::size_t>(rejection->node)].name;
  const std::string what =
      rejection->poolFull ? "windows" : kMeasureNames[static_cast<std::size_t>(rejection->measure)];
  const auto seconds = static_cast<std::int64_t>(spanMs / 1000);
  parts_.log.writeRateLimited(
      nowMs, LogLevel::kInfo, "quota.refused",
      "quota: " + node + " has reached its limit of " + what + " in " + std::to_string(seconds) + " s",
      {{"node", node}, {"measure", what}, {"window_s", seconds}});
  // For a request that can never fit, the span of the window is returned.
  return std::isfinite(rejection->retryAfterMs) ? rejection->retryAfterMs : spanMs;
}

}  // namespace myrtleloft
