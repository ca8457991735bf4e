// Recovery of stored folders by a process whose settings assign other numbers to the names.
#include <doctest/doctest.h>

#include <array>
#include <string>

#include "tests/journal/stored_state.h"

using namespace myrtleloft;
using namespace myrtleloft::testing;

namespace {

// The names of the stored folders except one class, one tenant and one zone, all with other numbers.
const NameTable kOtherNames{
    {{"billing-charge", Idempotency::kNonIdempotent, DeduplicationScope::kDestination, 0},
     {"door-open", Idempotency::kIdempotentWithKey, DeduplicationScope::kCell, 12500.5},
     {"caption-order", Idempotency::kIdempotentWithKey, DeduplicationScope::kZone, 5000},
     {"status-update", Idempotency::kIdempotent, DeduplicationScope::kDestination, 0}},
    {"sierra", "costa"},
    {"este", "norte"}};

// Replaces the zones in attempts formatted by `lineOf`, where the zone is the digit after the first @ of each
// attempt.
void replaceZones(std::string& attempts, const std::array<const char*, 3>& zones) {
  for (std::size_t mark = attempts.find('@'); mark != std::string::npos; mark = attempts.find('@', mark)) {
    const auto zone = static_cast<std::size_t>(attempts[mark + 1] - '0');
    attempts.replace(mark + 1, 1, zones.at(zone));
    mark = attempts.find(',', mark);
    if (mark == std::string::npos) return;
  }
}

}  // namespace

TEST_CASE("stored state: classes, tenants and zones are translated by name") {
  const std::array<const char*, 5> classes = {"3", "2", "-1", "1", "0"};
  const std::array<const char*, 3> tenants = {"1", "-1", "0"}, zones = {"1", "-2", "0"};
  Lines expected;
  for (const std::string& line : expectedLines("current-served.txt")) {
    Lines fields = splitFields(line);
    fields[3] = classes.at(std::stoul(fields[3]));
    fields[4] = tenants.at(std::stoul(fields[4]));
    replaceZones(fields[13], zones);
    expected.push_back(joinFields(fields));
  }
  const StoredCopy copy("current");
  const OpenedFolder service(copy.path, clockOfLast("current"), kOtherNames);
  REQUIRE(service.open);
  checkSame(withoutSegment(requestLines(service.found)), expected);
  const Recovered recorded = read((kStoredStates / "current").string());
  for (const RecoveredRequest& request : service.found.pending) {
    REQUIRE(request.permission);
    const auto number =
        static_cast<std::size_t>(recorded.pending.find(request.pending.id)->pending.classIndex);
    const ClassEntry& cls = kWriterNames.classes.at(number);
    CHECK_EQ(request.permission->idempotency, cls.idempotency);
    if (cls.idempotency != Idempotency::kIdempotentWithKey) continue;
    CHECK_EQ(request.permission->deduplicationScope, cls.deduplicationScope);
    CHECK_EQ(request.permission->idempotencyWindowMs, cls.idempotencyWindowMs);
  }
}

TEST_CASE("stored state: requests recorded without a name table keep their numbers") {
  for (const std::string name : {"version-1", "upgraded"}) {
    const StoredCopy copy(name.c_str());
    const OpenedFolder service(copy.path, clockOfLast(name), kOtherNames);
    REQUIRE(service.open);
    const Recovered recorded = read((kStoredStates / name).string());
    std::size_t checked = 0;
    for (const RecoveredRequest& request : recorded.pending) {
      if (request.segment > 3) continue;  // segment 4 is the first with names
      const RecoveredRequest* served = service.found.pending.find(request.pending.id);
      REQUIRE(served);
      CHECK_EQ(served->pending.classIndex, request.pending.classIndex);
      CHECK_EQ(served->pending.tenant, request.pending.tenant);
      ++checked;
    }
    CHECK_EQ(checked, name == "upgraded" ? 95 : 51);
  }
}
