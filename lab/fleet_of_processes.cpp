#include "lab/fleet_of_processes.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <limits>
#include <set>
#include <stdexcept>
#include <utility>

#include "lab/auditor_timeline.h"
#include "lab/auditor_turns.h"
#include "lab/site.h"

namespace myrtleloft::lab {
namespace {

namespace fs = std::filesystem;

constexpr double kStartMs = 20000, kMostMs = 600000;
constexpr double kKillAfterMs = 3700;  // PROTOCOL's
constexpr double kFrontMs = 300, kProxyOrderMs = 50;
constexpr std::size_t kMostBody = 4000;
constexpr double kNever = std::numeric_limits<double>::infinity();

}  // namespace

FleetOfProcesses::FleetOfProcesses(FleetOptions options) : options_(std::move(options)) {
  folder_ = (fs::temp_directory_path() / "fleet-XXXXXX").string();
  if (!::mkdtemp(folder_.data())) throw std::runtime_error("no temporary folder");
  rules_.classes = {{kClasses[0], {Idempotency::kIdempotent, false, 0}},
                    {kClasses[1], {Idempotency::kIdempotentWithKey, false, options_.windowMs}},
                    {kClasses[2], {Idempotency::kNonIdempotent, false, 0}}};  // as kSiteSettings has them
  rules_.slackMs = options_.slackMs;
  rules_.waitSlackMs = options_.waitSlackMs;
  rules_.statusSlackMs = options_.statusSlackMs;
  rules_.shortOutageMs = options_.shortOutageMs;
  if (options_.proxies) {
    rules_.proxyOrderMs = kProxyOrderMs;
    rules_.answerTurns = kProxiedAnswerTurns;
    rules_.callTurns = kProxiedCallTurns;
    rules_.orderTurns = kProxiedOrderTurns;
  }
  for (int i = 1; i <= options_.relays; ++i) names_.push_back("n" + std::to_string(i));
  for (int i = 0; i < 2 * kDestinations; ++i) {
    endpoints_.push_back(std::make_unique<FleetEndpoint>(
        witness_,
        FleetEndpoint::Facts{"e" + std::to_string(i + 1), kFirstDestination + i / 2, i % 2 ? "sur" : "norte",
                             options_.perEndpoint, options_.bulk && i % 2 == 0},
        names_));
    if (options_.endpointMs > 0) endpoints_.back()->serviceMs = options_.endpointMs;
  }
  for (const std::string& name : names_) {
    Relay& relay = *relays_.emplace_back(std::make_unique<Relay>());
    relay.name = name;
    relay.folder = folder_ + "/" + name;
    relay.links = freeAddress();
    relay.listen = freeAddress();
    relay.diskMb = options_.diskMb;
    place(relay);
  }
  for (const auto& from : relays_)
    for (const auto& to : relays_)
      if (from != to) links_[from->name + ">" + to->name] = std::make_unique<LinkStandIn>(hub_, to->links);
  for (const auto& relay : relays_) {
    FleetPlace place{relay->name, relay->links, {}};
    for (const auto& to : relays_)
      if (to != relay) place.peers[to->name] = links_.at(relay->name + ">" + to->name)->address();
    const std::string text = options_.operatorText ? options_.operatorText(place) : "";
    if (!text.empty()) std::ofstream(relay->operatorFile = relay->folder + ".toml") << text;
    relay->program =
        std::make_unique<Program>(hub_, options_.program, relay->folder, config(*relay), relay->operatorFile);
    if (relay->shim) relay->program->environment = relay->shim->environment(options_.shim);
  }
  clients_ = std::make_unique<FleetClients>(witness_, names_, [this](const std::string& name) {
    const Relay& relay =
        **std::find_if(relays_.begin(), relays_.end(), [&](const auto& r) { return r->name == name; });
    // Of one that drains, the front learns a little later.
    const bool drains = relay.phase == Phase::kDraining && witness_.nowMs() < relay.drainsMs + kFrontMs;
    return drains || relay.phase == Phase::kUp || relay.phase == Phase::kStopped ? relay.listen : "";
  });
  clients_->reusedOfTen = options_.reusedOfTen;
  tell("");
}

FleetOfProcesses::~FleetOfProcesses() {
  for (const auto& relay : relays_) relay->program->kill();
  std::error_code ignored;
  fs::remove_all(folder_, ignored);
}

void FleetOfProcesses::tell(const std::string& endpoint) {
  for (const auto& relay : relays_) {
    std::vector<Entry> list;
    for (const auto& e : endpoints_) {
      list.push_back(e->entry(relay->name, leaving_[e->uid()]));
      const auto proxy = links_.find(relay->name + ">" + e->uid());
      if (proxy != links_.end()) list.back().address = proxy->second->address();
    }
    relay->directory->tell(list);
    relay->otherDirectory->tell(list);
    relay->toldAtMs = witness_.nowMs() + kToldMs;
    if (endpoint.empty()) continue;
    // That it drains counts once the relay has it; that it may be called again, as soon as it may have it.
    relay->untold.erase(endpoint);
    if (leaving_[endpoint])
      relay->untold.insert(endpoint);
    else
      witness_.see({.saw = Saw::kTold, .relay = relay->name, .endpoint = endpoint, .status = 1});
  }
}

void FleetOfProcesses::start(Relay& relay) {
  fs::create_directories(relay.folder + "/state");
  writeConfig(relay);
  witness_.see({.saw = Saw::kStarted, .relay = relay.name});
  relay.program->start();
  relay.phase = Phase::kStarting;
  relay.startAtMs = 0;
}

void FleetOfProcesses::end(Relay& relay) {
  seeUnfinishedHold(relay);
  witness_.see({.saw = Saw::kDown, .relay = relay.name, .status = kEnds});
  relay.program->kill();
  relay.phase = Phase::kAway;
  relay.startAtMs = kNever;
}

void FleetOfProcesses::turn(Relay& relay) {
  const double now = witness_.nowMs();
  relay.directory->turn();
  relay.otherDirectory->turn();
  relay.rude->turn(relay.phase == Phase::kUp ? relay.listen : "");
  if (!relay.untold.empty() && (relay.directory->heard() || now >= relay.toldAtMs))
    for (const std::string& endpoint : std::exchange(relay.untold, {}))
      witness_.see({.saw = Saw::kTold, .relay = relay.name, .endpoint = endpoint, .status = 0});
  if (relay.phase == Phase::kStarting) askUp(relay);
  int code = 0;
  if (relay.phase == Phase::kDraining &&
      (relay.program->ended(code) || now >= relay.drainsMs + kKillAfterMs)) {
    if (code != 0) witness_.see({.saw = Saw::kExited, .relay = relay.name, .status = code});
    end(relay);
    relay.startAtMs = now + kStartAfterMs;
  }
  sendDueSignals(relay);
  if (relay.shim) seeHolds(relay);
  seeStarved(relay);
  lookAfter(relay);
  if (relay.phase == Phase::kAway && relay.startAtMs > 0 && now >= relay.startAtMs) start(relay);
}

void FleetOfProcesses::turn() {
  witness_.turn();
  for (const auto& relay : relays_) turn(*relay);
  for (const auto& endpoint : endpoints_) endpoint->turn();
  for (const auto& [name, link] : links_) link->turn();
  clients_->turn();
}

bool FleetOfProcesses::until(const std::function<bool()>& done, double mostMs) {
  return hub_.run([&] { return turn(), done(); }, static_cast<int>(mostMs));
}

bool FleetOfProcesses::play(const FaultPlan& plan) {
  plan_ = plan;
  random_.seed(plan.seed);
  for (const auto& relay : relays_) start(*relay);
  const auto all = [this](Phase phase) {
    return std::all_of(relays_.begin(), relays_.end(), [phase](const auto& r) { return r->phase == phase; });
  };
  if (!until([&] { return all(Phase::kUp); }, kStartMs)) return false;
  PlanPlayer player(
      plan, [this](const Fault& f) { begin(f, true); }, [this](const Fault& f) { begin(f, false); });
  const double startMs = witness_.nowMs();
  double nextMs = startMs;
  until(
      [&] {
        const double now = witness_.nowMs();
        player.turn(now - startMs);
        for (; now >= nextMs && nextMs < startMs + options_.trafficMs;
             nextMs += 1000 * options_.burst / options_.perSecond)
          handIn();
        return player.over() && nextMs >= startMs + options_.trafficMs;
      },
      kMostMs);
  // By then every end is overdue that has not come; a relay that was away has its time from its return on.
  const double lastMs = options_.messageMs + rules_.lateMs + rules_.restartGraceMs + 2 * options_.slackMs;
  double sinceMs = witness_.nowMs();
  until(
      [&] {
        if (!all(Phase::kUp) || !clients_->idle()) sinceMs = witness_.nowMs();
        return settled() || witness_.nowMs() > sinceMs + lastMs;
      },
      kStartMs + 2 * lastMs);
  witness_.see({.saw = Saw::kStall});  // how far was watched
  return all(Phase::kUp);
}

void FleetOfProcesses::handIn() {
  const std::uint64_t drawn = random_();
  FleetClients::Letter letter;
  letter.cls = kClasses[drawn % kClasses.size()];
  letter.destination = kFirstDestination + static_cast<int>((drawn >> 8) % kDestinations);
  letter.timeMs = options_.messageMs;
  if (options_.leastMessageMs > 0)
    letter.timeMs = options_.leastMessageMs + static_cast<double>((drawn >> 40) % 1000) / 1000 *
                                                  (options_.messageMs - options_.leastMessageMs);
  letter.body.assign((drawn >> 24) % kMostBody, 'x');
  if (static_cast<int>((drawn >> 52) % 100) < options_.hastyOfHundred)
    letter.timeMs = 1 + (drawn >> 40) % 100;
  for (int i = 0; i < options_.burst; ++i) clients_->hand(letter, names_[(drawn >> 16) % names_.size()]);
}

bool FleetOfProcesses::settled() const {
  if (!clients_->idle() ||
      std::any_of(relays_.begin(), relays_.end(), [](const auto& r) { return r->phase != Phase::kUp; }))
    return false;
  std::set<std::string> owed;
  for (const FleetRecord& r : witness_.history.records)
    if (r.saw == Saw::kTaken) owed.insert(r.id);
  for (const FleetRecord& r : witness_.history.records)
    if (r.saw == Saw::kNotice || (r.saw == Saw::kAnswer && (r.status == 200 || r.status == 410)))
      owed.erase(r.id);
  return owed.empty();
}

std::size_t FleetOfProcesses::count(Saw saw) const {
  const auto& records = witness_.history.records;
  return static_cast<std::size_t>(
      std::count_if(records.begin(), records.end(), [saw](const FleetRecord& r) { return r.saw == saw; }));
}

double FleetOfProcesses::sumMs(Saw saw) const {
  double sum = 0;
  for (const FleetRecord& r : witness_.history.records) sum += r.saw == saw ? std::floor(r.ms) : 0;
  return sum;
}

}  // namespace myrtleloft::lab
