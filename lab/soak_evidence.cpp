#include "lab/soak_evidence.h"

#include <algorithm>
#include <cstddef>
#include <sstream>

namespace myrtleloft::lab {
namespace {

constexpr std::size_t kMostFindings = 3;
// What came behind the last line of a finding may show why it came too late.
constexpr double kBehindMs = 1500;

bool befallsRelay(const FleetRecord& record, const std::string& relay) {
  if (record.saw == Saw::kStall) return true;
  return record.relay == relay && record.id.empty() && record.endpoint.empty();
}

std::string eventsOf(const AuditFinding& finding, const FleetHistory& history) {
  const std::string& relay = history.records.at(finding.lines.front()).relay;
  const double toMs = history.records.at(finding.lines.back()).atMs + kBehindMs;
  std::ostringstream text;
  double starvedMs = 0;  // it comes in many short spans
  for (std::size_t line = finding.lines.front(); line < history.records.size(); ++line) {
    const FleetRecord& record = history.records.at(line);
    if (record.atMs > toMs) break;
    if (!befallsRelay(record, relay)) continue;
    if (record.saw == Saw::kStarved)
      starvedMs += record.ms;
    else
      text << "  relay " << history.line(line) << '\n';
  }
  text << "  relay starved for " << starvedMs << " ms in all\n";
  return text.str();
}

std::string logLinesOf(const std::string& id, const std::string& logs) {
  std::string text;
  if (id.empty()) return text;
  std::istringstream lines(logs);
  for (std::string line; std::getline(lines, line);)
    if (line.find("id=" + id) != std::string::npos) text += "  log " + line + "\n";
  return text;
}

}  // namespace

std::string evidenceOf(const std::vector<AuditFinding>& findings, const FleetHistory& history,
                       const std::string& logs) {
  std::string text;
  for (std::size_t i = 0; i < std::min(kMostFindings, findings.size()); ++i) {
    const AuditFinding& finding = findings.at(i);
    text += describe(finding, history);
    if (!finding.lines.empty()) text += eventsOf(finding, history);
    text += logLinesOf(finding.id, logs);
  }
  return text;
}

}  // namespace myrtleloft::lab
