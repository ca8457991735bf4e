// Reads the section [quota].
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "config/operator_sections.h"

namespace myrtleloft {
namespace {

constexpr std::int64_t kDaySeconds = std::int64_t{24} * 3600;
constexpr std::int64_t kMaxQuota = 1'000'000'000'000;
constexpr std::size_t kMaxWindows = 8;

// Reads the nodes in the order of the file, and checks each against the nodes before it. The parent of a node
// must come before it, so no node can be its own ancestor.
class NodeReader {
 public:
  explicit NodeReader(QuotaPlan& plan) : plan_(plan) {}

  void read(SectionReader& reader) {
    QuotaPlan::Node& node = plan_.nodes.emplace_back();
    readName(reader, node);
    node.parent = reader.text("parent").value_or("");
    node.tenant = reader.text("tenant").value_or("");
    node.unit = reader.text("unit").value_or("");
    node.rest = reader.flag("rest").value_or(false);
    checkParent(reader, node);
    checkUniqueInTenant(reader, node);
    readQuotas(reader, node);
  }

 private:
  struct TenantUnit {
    std::string tenant;
    std::string unit;
    friend bool operator<(const TenantUnit& left, const TenantUnit& right) {
      return std::tie(left.tenant, left.unit) < std::tie(right.tenant, right.unit);
    }
  };

  void readName(SectionReader& reader, QuotaPlan::Node& node) {
    node.name = reader.text("name").value_or("");
    if (node.name.empty()) reader.rejectMissing("name");
    if (!names_.insert(node.name).second) reader.reject("name", "expected a name that no earlier node has");
  }

  void checkParent(const SectionReader& reader, const QuotaPlan::Node& node) const {
    const bool isRoot = node.parent.empty();
    if (!isRoot && !tenantByNode_.count(node.parent))
      reader.reject("parent", "expected the name of an earlier node in the file");
    if (isRoot && node.tenant.empty()) reader.rejectMissing("tenant");
    if (!isRoot && !node.tenant.empty())
      reader.reject("tenant", "expected no tenant in a node with a parent");
    if (isRoot && !node.unit.empty()) reader.reject("unit", "expected no unit in a node without a parent");
  }

  void checkUniqueInTenant(const SectionReader& reader, const QuotaPlan::Node& node) {
    const bool isRoot = node.parent.empty();
    const std::string tenant = isRoot ? node.tenant : tenantByNode_[node.parent];
    tenantByNode_[node.name] = tenant;
    if (isRoot && !tenants_.insert(tenant).second)
      reader.reject("tenant", "expected a tenant that no earlier node has");
    if (node.rest && (isRoot || !node.unit.empty()))
      reader.reject("rest", "expected only in a node with a parent and without a unit");
    if (!node.unit.empty() && !units_.insert({tenant, node.unit}).second)
      reader.reject("unit", "expected a unit that no earlier node of the tenant has");
    if (node.rest && !tenantsWithRest_.insert(tenant).second)
      reader.reject("rest", "expected in at most one node of each tenant");
  }

  void readQuotas(SectionReader& reader, QuotaPlan::Node& node) const {
    const std::size_t windows = plan_.windowsS.size();
    const char* expected = "at most one whole number per window, 0 for no limit";
    node.messages = reader.numbers<std::int64_t>("messages", 0, kMaxQuota, windows, expected);
    node.calls = reader.numbers<std::int64_t>("calls", 0, kMaxQuota, windows, expected);
    node.worth = reader.numbers<double>("worth", 0, static_cast<double>(kMaxQuota), windows,
                                        "at most one number per window, 0 for no limit");
  }

  QuotaPlan& plan_;
  std::set<std::string> names_;
  std::set<std::string> tenants_;
  std::set<std::string> tenantsWithRest_;
  std::set<TenantUnit> units_;
  std::map<std::string, std::string> tenantByNode_;
};

}  // namespace

void readQuota(SectionReader& reader, QuotaPlan& plan) {
  plan.windowsS = reader.numbers<std::int64_t>(
      "windows_s", 1, kDaySeconds, kMaxWindows,
      "up to 8 spans in seconds, from 1 to 86400, each longer than the one before");
  for (std::size_t i = 1; i < plan.windowsS.size(); ++i)
    if (plan.windowsS[i] <= plan.windowsS[i - 1])
      reader.reject("windows_s", "expected each to be longer than the one before");
  plan.header = reader.text("header").value_or("");
  plan.maxActiveWindows = reader.integer("most_awake", 16, 10'000'000).value_or(plan.maxActiveWindows);
  NodeReader nodes(plan);
  reader.sectionList("node", [&](SectionReader& node) { nodes.read(node); });
}

}  // namespace myrtleloft
