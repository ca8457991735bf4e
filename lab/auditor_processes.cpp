#include "lab/auditor_processes.h"

#include <algorithm>
#include <cstddef>

namespace myrtleloft::lab {
namespace {

class ProcessAudit {
 public:
  ProcessAudit(const AuditRules& rules, const FleetHistory& history, const AuditorTimeline& time,
               std::vector<AuditFinding>& findings)
      : rules_(rules), history_(history), time_(time), findings_(findings) {}

  void run() {
    for (line_ = 0; line_ < history_.records.size(); ++line_) {
      const FleetRecord& record = history_.records[line_];
      if (record.saw == Saw::kExited) findings_.push_back({Rule::kExited, record.relay, {line_}});
      if (record.saw == Saw::kStarted) judgeStart(record);
      if (record.saw == Saw::kBegun) judgeHalf(record);
    }
  }

 private:
  // Until when a start may take that meets trouble with the machine.
  void judgeStart(const FleetRecord& started) {
    int troubles = troublesAt(started);
    double fromMs = started.atMs;
    for (std::size_t i = line_ + 1; i < history_.records.size(); ++i) {
      const FleetRecord& r = history_.records[i];
      if (troubles == 0 && r.atMs > dueMs(started.relay, fromMs, rules_.readyMs)) break;
      if (r.relay != started.relay) continue;
      if (r.saw == Saw::kReady || r.saw == Saw::kDown || r.saw == Saw::kExited) return;
      if (r.status == kHeldUpTrouble) continue;
      if (r.saw == Saw::kTrouble) ++troubles;
      if (r.saw == Saw::kCalm) --troubles, fromMs = r.atMs;
    }
    if (troubles > 0 || dueMs(started.relay, fromMs, rules_.readyMs) > history_.untilMs) return;
    findings_.push_back({Rule::kNotReady, started.relay, {line_}});
  }
  int troublesAt(const FleetRecord& started) const {
    int troubles = 0;
    for (std::size_t i = 0; i < line_; ++i) {
      const FleetRecord& r = history_.records[i];
      if (r.relay != started.relay || r.status == kHeldUpTrouble) continue;
      troubles += r.saw == Saw::kTrouble ? 1 : r.saw == Saw::kCalm ? -1 : 0;
    }
    return troubles;
  }

  void judgeHalf(const FleetRecord& begun) {
    const double due = dueMs(begun.relay, begun.atMs, rules_.halfMs);
    if (due > history_.untilMs || time_.restarts(begun.relay, begun.atMs)) return;
    for (std::size_t i = line_ + 1; i < history_.records.size() && history_.records[i].atMs <= due; ++i) {
      const FleetRecord& r = history_.records[i];
      if ((r.saw == Saw::kRid && r.id == begun.id) || (r.saw == Saw::kDown && r.relay == begun.relay)) return;
    }
    findings_.push_back({Rule::kHalfKept, begun.id, {line_}});
  }

  double dueMs(const std::string& relay, double fromMs, double spanMs) const {
    return time_.afterMs(relay, fromMs, spanMs + rules_.slackMs);
  }

  const AuditRules& rules_;
  const FleetHistory& history_;
  const AuditorTimeline& time_;
  std::vector<AuditFinding>& findings_;
  std::size_t line_ = 0;
};

}  // namespace

void judgeProcesses(const AuditRules& rules, const FleetHistory& history, const AuditorTimeline& time,
                    std::vector<AuditFinding>& findings) {
  ProcessAudit(rules, history, time, findings).run();
}

}  // namespace myrtleloft::lab
