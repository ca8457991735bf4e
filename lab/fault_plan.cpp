#include "lab/fault_plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <sstream>
#include <utility>

namespace myrtleloft::lab {
namespace {

struct KindFacts {
  const char* name;
  char target;  // 'r'elay, 'e'ndpoint, 'l'ink
  std::uint64_t leastAmount, mostAmount;
};
constexpr std::array<KindFacts, kFaultKinds> kFacts = {
    {{"kill", 'r', 0, 0},           {"lose", 'r', 0, 0},          {"term", 'r', 0, 0},
     {"stop", 'r', 0, 0},           {"disk", 'r', 64, 256},       {"refuse", 'e', 0, 0},
     {"drop", 'e', 0, 0},           {"silent", 'e', 0, 0},        {"slow", 'e', 20, 400},
     {"error", 'e', 0, 0},          {"turn-away", 'e', 0, 0},     {"wait", 'e', 0, 0},
     {"drain", 'e', 0, 0},          {"cut", 'l', 0, 0},           {"cut-there", 'l', 0, 0},
     {"cut-back", 'l', 0, 0},       {"lose-bytes", 'l', 0, 0},    {"delay", 'l', 5, 500},
     {"throttle", 'l', 200, 20000}, {"reset", 'l', 0, 4000},      {"repeat", 'l', 0, 400},
     {"spoil", 'l', 0, 4000},       {"clock-back", 'r', 0, 0},    {"clock-forward", 'r', 0, 0},
     {"disk-fails", 'r', 1, 3},     {"calls-fail", 'r', 10, 200}, {"held-up", 'r', 2, 20},
     {"stands", 'r', 10, 60},       {"reload", 'r', 1, 3},        {"discovery", 'r', 1, 3},
     {"signals", 'r', 1, 2},        {"crowd", 'r', 200, 200},     {"flood", 'r', 300, 300},
     {"hangs", 'r', 1, 1},          {"slow-syncs", 'r', 20, 80},  {"rude", 'r', 20, 90},
     {"spoilt", 'e', 0, 0},         {"halts", 'e', 0, 0},         {"forgets", 'e', 0, 0},
     {"answers-twice", 'e', 0, 0},  {"agent-twice", 'r', 0, 0},   {"late-config", 'r', 1, 3}}};

// Clocks are set by seconds, or by an hour where a time zone was meant.
constexpr std::array<std::uint64_t, 5> kClockStepsMs = {1500, 3000, 5000, 8000, 3600000};

bool setsClock(FaultKind kind) { return kind == FaultKind::kClockBack || kind == FaultKind::kClockForward; }
const KindFacts& factsOf(FaultKind kind) { return kFacts.at(static_cast<std::size_t>(kind)); }

// The standard's distributions differ from library to library; the engine does not.
class Draw {
 public:
  explicit Draw(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t between(std::uint64_t least, std::uint64_t most) {
    return most <= least ? least : least + engine_() % (most - least + 1);
  }
  template <typename T>
  const T& of(const std::vector<T>& from) {
    return from.at(between(0, from.size() - 1));
  }

 private:
  std::mt19937_64 engine_;
};

std::uint64_t whole(double ms) { return static_cast<std::uint64_t>(ms); }

}  // namespace

const char* nameOf(FaultKind kind) { return factsOf(kind).name; }

// A relay's process is ended or stopped by one fault at a time, and an endpoint is in one mode at a time;
// what befalls a relay's machine and its surroundings goes beside that, and beside other things of the kind.
bool mayOverlap(FaultKind a, FaultKind b) {
  const auto besideOthers = [](FaultKind kind) {
    return (kind >= FaultKind::kClockBack && kind <= FaultKind::kRude) || kind == FaultKind::kDrain ||
           kind >= FaultKind::kAnswersTwice;
  };
  return a != b && (besideOthers(a) || besideOthers(b));
}

FaultPlan drawPlan(std::uint64_t seed, const PlanShape& shape) {
  Draw draw(seed);
  FaultPlan plan{seed, {}};
  for (int i = 0; i < shape.count; ++i) {
    Fault fault;
    fault.kind = draw.of(shape.kinds);
    const KindFacts& facts = factsOf(fault.kind);
    if (facts.target == 'e') {
      fault.target = draw.of(shape.endpoints);
    } else {
      const std::size_t from = draw.between(0, shape.relays.size() - 1);
      fault.target = shape.relays.at(from);
      const std::size_t step = draw.between(1, shape.relays.size() - 1);
      if (facts.target == 'l') fault.target += ">" + shape.relays.at((from + step) % shape.relays.size());
      if (facts.target == 'l' && !shape.links.empty()) fault.target = draw.of(shape.links);
    }
    fault.forMs = static_cast<double>(draw.between(whole(shape.leastMs), whole(shape.mostMs)));
    fault.atMs = static_cast<double>(draw.between(0, whole(std::max(0.0, shape.lengthMs - fault.forMs))));
    fault.amount = static_cast<double>(draw.between(facts.leastAmount, facts.mostAmount));
    if (setsClock(fault.kind))
      fault.amount = static_cast<double>(kClockStepsMs.at(draw.between(0, kClockStepsMs.size() - 1)));
    const bool overlaps = std::any_of(plan.faults.begin(), plan.faults.end(), [&](const Fault& other) {
      return other.target == fault.target && other.atMs <= fault.atMs + fault.forMs &&
             fault.atMs <= other.atMs + other.forMs &&
             !(shape.overlaps && mayOverlap(fault.kind, other.kind));
    });
    if (!overlaps) plan.faults.push_back(fault);
  }
  std::stable_sort(plan.faults.begin(), plan.faults.end(),
                   [](const Fault& a, const Fault& b) { return a.atMs < b.atMs; });
  return plan;
}

std::string print(const FaultPlan& plan) {
  std::ostringstream text;
  text << "seed " << plan.seed << '\n';
  for (const Fault& f : plan.faults)
    text << f.atMs << ' ' << nameOf(f.kind) << ' ' << f.target << ' ' << f.forMs << ' ' << f.amount << '\n';
  return text.str();
}

std::optional<FaultPlan> parsePlan(const std::string& text, std::string& error) {
  FaultPlan plan;
  std::istringstream lines(text);
  std::string line, word, rest;
  for (int number = 1; std::getline(lines, line); ++number) {
    if (line.empty() || line[0] == '#') continue;
    error = "line " + std::to_string(number) + ": " + line;
    std::istringstream words(line);
    if (line.rfind("seed ", 0) == 0) {
      if (!(words >> word >> plan.seed) || words >> rest) return std::nullopt;
      continue;
    }
    Fault fault;
    if (!(words >> fault.atMs >> word >> fault.target >> fault.forMs >> fault.amount) || words >> rest)
      return std::nullopt;
    const auto facts =
        std::find_if(kFacts.begin(), kFacts.end(), [&](const KindFacts& f) { return word == f.name; });
    if (facts == kFacts.end() || fault.atMs < 0 || fault.forMs < 0 || fault.amount < 0 ||
        (facts->target == 'l') != (fault.target.find('>') != std::string::npos))
      return std::nullopt;
    fault.kind = static_cast<FaultKind>(facts - kFacts.begin());
    plan.faults.push_back(fault);
  }
  error.clear();
  return plan;
}

FaultPlan shorten(FaultPlan plan, const std::function<bool(const FaultPlan&)>& fails) {
  if (!fails(plan)) return plan;
  for (std::size_t part = (plan.faults.size() + 1) / 2; part > 0;) {
    bool shorter = false;
    for (std::size_t from = 0; from < plan.faults.size();) {
      FaultPlan less = plan;
      const std::size_t to = std::min(from + part, plan.faults.size());
      less.faults.erase(less.faults.begin() + static_cast<std::ptrdiff_t>(from),
                        less.faults.begin() + static_cast<std::ptrdiff_t>(to));
      if (fails(less)) {
        plan = std::move(less);
        shorter = true;
      } else {
        from = to;
      }
    }
    // With single faults once more, as long as one could go: another may have needed it.
    if (part > 1 || !shorter) part /= 2;
  }
  return plan;
}

PlanPlayer::PlanPlayer(FaultPlan plan, Act begin, Act end)
    : plan_(std::move(plan)), begin_(std::move(begin)), end_(std::move(end)) {
  for (std::size_t i = 0; i < plan_.faults.size(); ++i) {
    const Fault& fault = plan_.faults[i];
    acts_.push_back({fault.atMs, i, true});
    acts_.push_back({fault.atMs + fault.forMs, i, false});
  }
  std::stable_sort(acts_.begin(), acts_.end(), [](const Due& a, const Due& b) { return a.atMs < b.atMs; });
}

void PlanPlayer::turn(double sinceStartMs) {
  for (; !over() && acts_[next_].atMs <= sinceStartMs; ++next_)
    (acts_[next_].begins ? begin_ : end_)(plan_.faults[acts_[next_].fault]);
}

}  // namespace myrtleloft::lab
