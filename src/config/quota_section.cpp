#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/sections.h"

namespace myrtleloft {

void readQuota(Section& s, QuotaPlan& plan) {
  constexpr std::int64_t kDayS = 24 * 3600, kMost = 1'000'000'000'000;
  constexpr std::size_t kWindows = 8;
  plan.windowsS =
      s.numbers<std::int64_t>("windows_s", 1, kDayS, kWindows,
                              "up to 8 spans in seconds, from 1 to 86400, each longer than the last");
  for (std::size_t i = 1; i < plan.windowsS.size(); ++i)
    if (plan.windowsS[i] <= plan.windowsS[i - 1]) s.refuse("windows_s", "expected each longer than the last");
  plan.header = s.text("header").value_or("");
  plan.mostAwake = s.whole("most_awake", 16, 10'000'000).value_or(plan.mostAwake);
  std::set<std::string> names, tenants, rests;
  std::set<std::pair<std::string, std::string>> units;  // of a tenant
  std::map<std::string, std::string> tenantOf;          // by node
  s.sections("node", [&](Section& n) {
    QuotaPlan::Node& node = plan.nodes.emplace_back();
    node.name = n.text("name").value_or("");
    if (node.name.empty()) n.refuseMissing("name");
    if (!names.insert(node.name).second) n.refuse("name", "expected one that no node above has");
    node.parent = n.text("parent").value_or("");
    node.tenant = n.text("tenant").value_or("");
    node.unit = n.text("unit").value_or("");
    node.rest = n.flag("rest").value_or(false);
    // So no node can stand above itself.
    if (!node.parent.empty() && !tenantOf.count(node.parent))
      n.refuse("parent", "expected the name of a node above this one in the file");
    if (node.parent.empty() && node.tenant.empty()) n.refuseMissing("tenant");
    if (!node.parent.empty() && !node.tenant.empty())
      n.refuse("tenant", "expected no tenant beside a parent");
    if (node.parent.empty() && !node.unit.empty()) n.refuse("unit", "expected no unit beside a tenant");
    const std::string tenant = node.parent.empty() ? node.tenant : tenantOf[node.parent];
    tenantOf[node.name] = tenant;
    if (node.parent.empty() && !tenants.insert(tenant).second)
      n.refuse("tenant", "expected one that no node above has");
    if (node.rest && (node.parent.empty() || !node.unit.empty()))
      n.refuse("rest", "expected below a tenant's node, without a unit");
    if (!node.unit.empty() && !units.emplace(tenant, node.unit).second)
      n.refuse("unit", "expected one that no node of the tenant has");
    if (node.rest && !rests.insert(tenant).second) n.refuse("rest", "expected once for each tenant");
    const char* expected = "as many whole numbers as there are windows, at most, 0 for no limit";
    node.messages = n.numbers<std::int64_t>("messages", 0, kMost, plan.windowsS.size(), expected);
    node.calls = n.numbers<std::int64_t>("calls", 0, kMost, plan.windowsS.size(), expected);
    node.worth = n.numbers<double>("worth", 0, static_cast<double>(kMost), plan.windowsS.size(),
                                   "as many numbers as there are windows, at most, 0 for no limit");
  });
}

}  // namespace myrtleloft
