// What excuses a relay before the auditor: when it was stopped, when it was being restarted, when the lab
// itself stood still, and, of short limits, when the machine gave its process no processor. From the lab's
// own deeds and the kernel's count in the history, and from nothing else.
//
// Of a final status only what keeps the relay from sending it in its time excuses: a stop over the deadline
// or behind it, or a restart. A stop earlier in the life of a request leaves the whole limit. The bytes of a
// client may leave later than it was seen to hand them in, by what the lab stood still.
#pragma once

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lab/auditor.h"
#include "lab/auditor_turns.h"

namespace myrtleloft::lab {

inline constexpr double kForEver = std::numeric_limits<double>::infinity();

// `FleetRecord::status` of kDown: its process ends now, or is told to end.
inline constexpr int kEnds = 0, kToldToEnd = 1;

class AuditorTimeline {
 public:
  AuditorTimeline(const AuditRules& rules, const FleetHistory& history) : rules_(rules) {
    for (const FleetRecord& r : history.records) {
      std::vector<Span>& stops = stopped_[r.relay];
      std::vector<Span>& downs = down_[r.relay];
      if (r.saw == Saw::kStopped) stops.push_back({r.atMs});
      // A process that is stopped and killed is awake again only as its successor.
      if ((r.saw == Saw::kContinued || r.saw == Saw::kDown) && !stops.empty())
        stops.back().toMs = std::min(stops.back().toMs, r.atMs);
      if (r.saw == Saw::kStall) stalls_.push_back({r.atMs - r.ms, r.atMs});
      if (r.saw == Saw::kStarved) starved_[r.relay].push_back({r.atMs - r.ms, r.atMs});
      if (r.saw == Saw::kHeldUp) heldUp_[r.relay].push_back({r.atMs - r.ms, r.atMs});
      if (r.saw == Saw::kDown) downs.push_back({r.atMs});
      if (r.saw == Saw::kDown && r.status == kEnds) away_[r.relay].push_back({r.atMs});
      if (r.saw == Saw::kFolderLost && !downs.empty()) downs.back().toMs = r.atMs + rules.takeoverMs;
      if (r.saw == Saw::kReady) close(downs, r.atMs + rules.restartGraceMs);
      if (r.saw == Saw::kReady) close(away_[r.relay], r.atMs);
    }
  }
  // How much of that time the relay, or the lab, could do nothing. Of no relay: the lab alone.
  double excusedMs(const std::string& relay, double fromMs, double toMs) const {
    return within(stalls_, fromMs, toMs) + withinOf(stopped_, relay, fromMs, toMs);
  }
  // The same, with the spans in which its process had no processor.
  double starvedMs(const std::string& relay, double fromMs, double toMs) const {
    return excusedMs(relay, fromMs, toMs) + withinOf(starved_, relay, fromMs, toMs);
  }
  // The same, with the spans in which the shim held its process up.
  double heldUpMs(const std::string& relay, double fromMs, double toMs) const {
    return starvedMs(relay, fromMs, toMs) + withinOf(heldUp_, relay, fromMs, toMs);
  }
  // When so much time has passed for the relay since that moment, without what excuses it.
  double afterMs(const std::string& relay, double fromMs, double spanMs) const {
    double atMs = fromMs + spanMs;
    for (double next = atMs;; atMs = next) {
      next = fromMs + spanMs + excusedMs(relay, fromMs, atMs);
      if (next <= atMs) return atMs;
    }
  }
  bool restarts(const std::string& relay, double atMs) const {
    return std::any_of(downs(relay).begin(), downs(relay).end(),
                       [&](const Span& s) { return atMs >= s.fromMs && atMs < s.toMs; });
  }
  // Whether it had no process, or one that was not ready: only then may a client's connection just end. One
  // that drains answers what it has read.
  bool away(const std::string& relay, double atMs) const {
    const auto spans = away_.find(relay);
    return spans != away_.end() &&
           std::any_of(spans->second.begin(), spans->second.end(),
                       [&](const Span& s) { return atMs >= s.fromMs && atMs < s.toMs; });
  }
  // When the final status of a request with that deadline is overdue.
  double overdueMs(const std::string& relay, double deadlineMs) const {
    double dueMs = afterDeadlineMs(relay, deadlineMs, rules_.lateMs);
    for (const Span& s : downs(relay))
      if (dueMs >= s.fromMs && dueMs < s.toMs) dueMs = afterDeadlineMs(relay, s.toMs, 0);
    return dueMs + (rules_.statusSlackMs < 0 ? rules_.slackMs : rules_.statusSlackMs);
  }

 private:
  struct Span {
    double fromMs = 0, toMs = kForEver;
  };
  using SpansByRelay = std::map<std::string, std::vector<Span>>;

  double afterDeadlineMs(const std::string& relay, double fromMs, double spanMs) const {
    double atMs = fromMs + spanMs;
    for (double next = atMs;; atMs = next) {
      next = fromMs + spanMs + heldUpMs(relay, fromMs, atMs);
      if (next <= atMs) return atMs;
    }
  }
  static double withinOf(const SpansByRelay& spans, const std::string& relay, double fromMs, double toMs) {
    const auto at = spans.find(relay);
    return at == spans.end() ? 0 : within(at->second, fromMs, toMs);
  }
  static double within(const std::vector<Span>& spans, double fromMs, double toMs) {
    double sum = 0;
    for (const Span& s : spans) sum += std::max(0.0, std::min(s.toMs, toMs) - std::max(s.fromMs, fromMs));
    return sum;
  }
  static void close(std::vector<Span>& spans, double toMs) {
    for (Span& s : spans) s.toMs = s.toMs == kForEver ? toMs : s.toMs;
  }
  const std::vector<Span>& downs(const std::string& relay) const {
    static const std::vector<Span> kNone;
    const auto at = down_.find(relay);
    return at == down_.end() ? kNone : at->second;
  }

  const AuditRules& rules_;
  SpansByRelay stopped_, starved_, heldUp_, down_, away_;
  std::vector<Span> stalls_;
};

// Whether a process of the relay began between the two lines.
inline bool startedBetween(const FleetHistory& history, std::size_t from, std::size_t to,
                           const std::string& relay) {
  for (std::size_t i = from; i < to; ++i)
    if (history.records[i].saw == Saw::kStarted && history.records[i].relay == relay) return true;
  return false;
}

// The line from that one on at which a call is seen to end; none: it is not.
inline std::optional<std::size_t> endOfCall(const FleetHistory& history, std::size_t line,
                                            std::int64_t call) {
  for (std::size_t i = line; i < history.records.size(); ++i) {
    const FleetRecord& r = history.records[i];
    if (r.call == call && (r.saw == Saw::kEnded || r.saw == Saw::kAnswer)) return i;
  }
  return std::nullopt;
}

// Whether the relay had ended that call before its answer, at that line, could reach it: the end is seen in
// the turn of the answer or in as many behind it as the answer takes. A relay that ends it once it has read
// the answer is seen to do so later. `turns`: that an answer takes.
inline bool endedBeforeAnswer(const FleetHistory& history, std::size_t line, const AuditorTurns& lab,
                              std::size_t turns) {
  const FleetRecord& answer = history.records[line];
  const std::optional<std::size_t> end = endOfCall(history, line + 1, answer.call);
  return end && history.records[*end].saw == Saw::kEnded &&
         history.records[*end].atMs < lab.latestMs(answer.atMs, turns);
}

}  // namespace myrtleloft::lab
