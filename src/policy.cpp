// Every decision of myrtleloft. The interface (settings, events, actions) is
// include/myrtleloft/dispatcher.h, what is kept state.h; the reasoning behind it is docs/design.md. No I/O,
// no clock, no globals: time comes with each batch.
#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <tuple>

#include "myrtleloft/dispatcher.h"
#include "state.h"

namespace myrtleloft {
namespace {

// Tries (ours, 2-3 by the source): failures after which a message is given up; refusals as full cost none.
constexpr int kTries = 3;
// A try's time-out: this share of the time left, so that one more try always has as much again.
constexpr double kTimeShare = 0.5;
// ... and no more than this multiple of the route's usual time (the tail of an exponential call is 2% there),
constexpr double kLateFactor = 6;
// ... but not less than this multiple of the aim: a slow receiver answers late, and hopeless calls are called
// off when slots are short, so patience costs little while an early time-out throws away work that was nearly
// done.
constexpr double kAimShare = 1.5;
// A keyed message is sent again only inside this share of the memory span: calls take time to arrive.
constexpr double kWindowShare = 0.95;
// A route is silent when a call is out this multiple of its usual time and nothing came back since.
constexpr double kSilentFactor = 4;
// Pace: kept share of the own rate on a refusal; growth a second below the last refused rate, and above it.
constexpr double kCut = 0.7;
constexpr double kRegrow = 0.5, kProbe = 0.1;
// A limit told roughly may be half too high: this share of the told fair share is safe to keep as a floor.
constexpr double kRoughShare = 0.5, kToldShare = 0.8;
// Tokens that may pile up, in seconds of the pace: limits count over spans of about a second.
constexpr double kBurstS = 0.5;
// The slowest pace that is told apart from a standstill, a second.
constexpr double kLeastPerS = 0.5;
// Among many, where a call is rare (thin): what a refusal leaves of the pace; what an answer adds, a second
// up to the listed share, and above it while messages wait; calls saved up where none was refused.
constexpr double kThinCut = 0.5, kThinRegrow = 0.25, kThinGrow = 0.05, kThinBurst = 2;
// Weight of the newest call in what is known of a route, and in what is known of all.
constexpr double kNewest = 0.3, kNewestOfAll = 0.03;
// Health, as odds that a scope is out. An outage is held to begin once in kOutageSpans told cold spans, so
// that old evidence counts for little, up to even odds of one in kMostPrior; in it this share of the calls
// fails. The odds stop at kMostOdds, or a return would need many successes. Shares of failures and refusals
// elsewhere are held to be no less than kStray: one failure may not convict where little was seen.
constexpr double kOutageSpans = 100, kMostPrior = 0.05, kOutFails = 0.95, kMostOdds = 2, kStray = 0.1;
// Refusals in a row are taken for a shut receiver when chance would bring so many only this often.
constexpr double kChance = 0.03;
// Bounded (the argument stands at tell): what each further message of a call weighs; of the multiple that a
// returning receiver takes, what those told use by turns: under the two thirds that the rule leaves them,
// half at many forwarders, kRampBudget where there are few (whose own first retries are few) and once an own
// call was answered. Parts by what is held use kHeldShare of theirs: demand may be over the capacity.
constexpr double kItemWeight = 0.2, kToldBudget = 0.5, kRampBudget = 0.6, kHeldShare = 0.5;
// Told cold spans after which a failure no longer bounds the pace: none outlives a message by much.
constexpr double kForgetSpans = 2;
// First failures tried again with no turn: this share where a scope is seldom called (then those told are at
// most a third as many as those not told), more where it is called often, all at kFew forwarders or under.
// Messages that pass a told scope: as many as kPassShare of those at forwarders told nothing.
constexpr double kRetryShare = 1.0 / 3, kFew = 3, kPassShare = 0.25;
// Calls of all told forwarders together in each fallMs that push nothing over, whatever the shares say.
constexpr double kScouts = 1;
// Busy scopes go on unbounded for a while after a first failure, until the odds speak: such that of an outage
// of kShortOutage cold spans or more at most e^-kGraceCalls of the calls find a forwarder still in it.
constexpr double kShortOutage = 0.4, kGraceCalls = 2.5;
// Up to so many forwarders hold what was refused as full, rather than hand it back to one another.
constexpr int kHoldPeers = 4;
// Successes in a row before a scope that comes back gets messages that an error would lose.
constexpr int kProven = 2;
// What is kept of an older healthy rate.
constexpr double kFade = 0.8;
// Calls out at which a route apart counts as taken, and the next of the chain has its turn: as a multiple of
// what its told share of the limit keeps busy, and at least.
constexpr double kAtOnce = 2.5, kLeastAtOnce = 2;
// For a lead route that takes several messages in a call, they gather from one call to the next at its told
// pace, so long as none has waited for this share of its aim.
constexpr double kGather = 0.15;
// Slots that one scope may hold, and that all doubtful scopes together may hold, as shares of all.
constexpr double kScopeSlots = 0.6, kDoubtSlots = 0.3;
// With more than a share kShortSlots of the slots taken, a call out kHopelessFactor usual times is called
// off; at kOvertakenFactor already where later calls of its route were answered first: it is lost, not slow.
constexpr double kHopelessFactor = 8, kOvertakenFactor = 3, kShortSlots = 0.8;
// Above this share of the limit the least worth is refused, before the door turns away.
constexpr double kOpenShare = 0.9;
// Horizon over which the loss by waiting is weighed, at least, as a share of the aim.
constexpr double kHorizon = 0.25;
// Links: of the age at which an idle one was found dead, the share that is trusted from then on (ages struck
// are seldom the shortest), doubled every kRegainSpans told cold spans; refused connections, as a share of
// the calls of a kind, above which idle links there are given back at once, and what the newest call weighs
// in it. More than kCrowdedMost is not held to be crowding: an outage must still show.
constexpr double kTrustedAge = 0.25, kRegainSpans = 2, kCrowded = 0.05, kCrowdNewest = 0.1,
                 kCrowdedMost = 0.3;
// Time constants in multiples of told settings: own send rate over fallMs, delivered rate over coldMs.
constexpr double kLeastSeen = 0.2;  // a rate counts over this share of its time constant at least
constexpr double kFallbackMs = 2000, kFallbackColdMs = 10000, kFallbackAskMs = 10000;

}  // namespace

class Dispatcher::Impl {
 public:
  explicit Impl(const Settings& s) : s_(s), random_(s.seed) {
    fallMs_ = s.fallMs > 0 ? s.fallMs : kFallbackMs;
    coldMs_ = s.coldMs > 0 ? s.coldMs : kFallbackColdMs;
    askMs_ = s.askWithinMs > 0 ? s.askWithinMs : kFallbackAskMs;
    peers_ = std::max(1, s.balancers);
    toldBudget_ = std::min(kRampBudget, kToldBudget + kRampBudget / std::max(1, s.balancers));
    factor_ = s.overloadFactor > 0 ? s.overloadFactor : 1;
    coldShare_ = s.coldShare > 0 ? s.coldShare : kNewest;
    for (const ClassSettings& c : s.classes) longestMs_ = std::max(longestMs_, c.hardLimitMs);
    slots_ = s.callSlots > 0 ? s.callSlots : std::numeric_limits<int>::max();
    if (s.askForList) askAtMs_ = 0;
  }

  std::vector<Action> onBatch(double nowMs, const std::vector<Event>& events) {
    now_ = nowMs;
    actions_.clear();
    if (now_ >= armedMs_) armedMs_ = kNever;
    if (now_ - forgotMs_ >= coldMs_) forget();
    recovering_ = false;
    for (const Event& e : events) std::visit([this](const auto& event) { take(event); }, e);
    answerDue();
    relieve();
    send();
    handBack();
    askForList();
    arm();
    return std::move(actions_);
  }

  std::size_t routesKnown() const { return routes_.size(); }

 private:
  double perS(const Rate& r, double tauMs) const { return r.perS(now_, tauMs, tauMs * kLeastSeen); }

  // ---- what happened ----
  // By its token, not by the clock: a span rounded down comes back a hair before its time.
  void take(const TimerEvent& e) { armedMs_ = e.token == lastToken_ ? kNever : armedMs_; }
  void take(const ListEvent& e) {
    if (e.kind == ListKind::kError) {  // out of reach: ask again, not in step with others
      const double spread = std::uniform_real_distribution<double>(0.5, 1)(random_);
      askAtMs_ = now_ + askMs_ * spread * std::min(0.5, 0.05 * std::pow(2, askFailures_++));
      return;
    }
    if (e.kind != ListKind::kDisk) askFailures_ = 0;
    if (e.kind == ListKind::kDisk) recovering_ = true;
    forget();
    if (e.kind != ListKind::kDiff)
      for (auto& [id, route] : routes_) close(route);
    for (const ListEntry& entry : e.entries) {
      auto [at, fresh] = routes_.try_emplace(entry.target);
      Route& r = at->second;
      if (fresh) {
        Destination& d = destinations_[entry.destination];
        r.id = entry.target;
        r.kind = entry.kind;
        const auto kind = static_cast<std::size_t>(std::max(0, entry.kind));
        r.apart = kind < s_.kindApart.size() && s_.kindApart[kind];
        r.scope = r.apart ? &r.own : &d.shared;
        r.scope->dest = &d;
        r.scope->apart = r.apart;
        if (r.scope->delivered.sinceMs < 0) r.scope->delivered.sinceMs = now_;  // silence counts as well
        if (d.arrived.sinceMs < 0) d.arrived.sinceMs = now_;
        d.routes.push_back(&r);
      }
      r.zone = entry.zone;
      r.rating = s_.ratings == RatingKind::kNone ? 0 : entry.rating;
      r.scope->ratingPerS = r.rating;
      if (entry.state == RouteState::kRunning)
        r.open = true;
      else
        close(r);
    }
  }
  void close(Route& r) {
    if (r.open) r.closedMs = now_;
    r.open = false;
  }
  // A route closed for so long that none of its failures bounds a pace is forgotten once its wait is over and
  // nothing is out there. So is a destination with neither routes nor messages, and a key that has rested.
  void forget() {
    forgotMs_ = now_;
    std::erase_if(keys_,
                  [&](const auto& k) { return k.second.line.empty() && k.second.restUntilMs <= now_; });
    for (auto at = routes_.begin(); at != routes_.end();) {
      Route& r = at->second;
      if (r.open || !r.calls.empty() || now_ - r.closedMs <= kForgetSpans * coldMs_ ||
          now_ < r.scope->waitUntilMs) {
        ++at;
        continue;
      }
      std::erase(r.scope->dest->routes, &r);
      for (auto& [id, m] : messages_) std::erase(m.tried, &r);
      if (r.usualMs > 0) --usualKnown_;
      usualSumMs_ -= r.usualMs;
      at = routes_.erase(at);
    }
    std::erase_if(destinations_, [&](const auto& d) {
      return d.second.messages == 0 && d.second.routes.empty() && now_ >= d.second.shared.waitUntilMs;
    });
  }

  void take(const MessageEvent& e) {
    if (messages_.count(e.id)) return;
    cameAgain_ += e.isRetry;
    Message& m = messages_[e.id];
    m.id = e.id;
    m.seq = ++lastSeq_;
    m.cls = e.cls;
    m.notAfterMs = e.notAfterMs;
    const ClassSettings& c = classOf(m);
    m.aimSpanMs = std::max(1.0, c.targetMs + c.aimStretch * e.effortMs);
    const double born = c.hardLimitMs > 0 ? e.notAfterMs - c.hardLimitMs : now_;
    m.aimMs = std::min(born + m.aimSpanMs, m.notAfterMs);
    m.dest = &destinations_[e.destination];
    m.dest->id = e.destination;
    ++m.dest->messages;
    if (c.fifoByKey && !e.orderKey.empty()) {
      m.orderKey = e.orderKey;
      keys_[e.orderKey].line.push_back(m.seq);
    }
    ++open_;
    mayPass(*m.dest);
    if (!recovering_) m.dest->arrived.add(now_, coldMs_);
    m.attempts = e.attempts;
    for (const EarlierAttempt& earlier : e.doubts) doubt(m, earlier.sentMs, earlier.zone);
    m.failures = static_cast<int>(e.doubts.size());
    hold(m);
    // Taken on before a restart: what its earlier attempts forbid is as if they had been made here.
    if (m.attempts > 0) giveUpIfSpent(m);
  }
  // An attempt that may have run.
  void doubt(Message& m, double sentMs, int zone) {
    if (!m.mayHaveRun) m.firstDoubtMs = sentMs;
    m.mayHaveRun = true;
    m.doubtZones.push_back(zone);
  }
  void giveUpIfSpent(Message& m) {
    if (m.failures >= kTries || (s_.sendCap > 0 && m.attempts >= s_.sendCap) || !anyRouteAllowed(m))
      giveUp(m, adviceMs(*m.dest));
  }
  // When a client that hands a message in again may find room: once a route rests and waits no more.
  double adviceMs(const Destination& d) const {
    double at = now_ + fallMs_;
    for (const Route* r : d.routes)
      if (r->open && !doubtful(*r)) at = std::min(at, std::max(r->scope->waitUntilMs, r->scope->restUntilMs));
    return std::max(at - now_, usualOfAll());
  }

  void take(const HangUpEvent& e) {
    const auto at = messages_.find(e.id);
    if (at != messages_.end() && !at->second.over) finish(at->second);
  }

  void take(const OutcomeEvent& e) {
    const auto at = messages_.find(e.id);
    if (at == messages_.end() || at->second.call < 0 || e.attempt != at->second.attempts - 1) return;
    Message& m = at->second;
    const auto found = calls_.find(m.call);
    Call call = found->second;
    Route& r = *call.route;
    if (--found->second.left == 0) {
      if (e.outcome == Outcome::kGood || e.outcome == Outcome::kBad || e.outcome == Outcome::kFull)
        linkIdle(r);
      r.calls.erase(m.call);
      --r.scope->callsOut;
      calls_.erase(found);
      --callsOut_;
    } else {
      found->second.judged = true;
    }
    m.call = -1;
    if (e.report.limitPerS) r.scope->limitPerS = *e.report.limitPerS;
    if (!call.judged) judge(r, call, e);
    if (e.outcome == Outcome::kFull && e.detail > fallMs_) r.scope->earned = false;
    // A bulk call may tell a wait beside messages that it delivered; only "not sent" uses the field
    // otherwise.
    if (e.outcome != Outcome::kNop && e.detail > 0)
      r.scope->waitUntilMs = std::max(r.scope->waitUntilMs, now_ + static_cast<double>(e.detail));
    const bool ran = e.outcome == Outcome::kBad || e.outcome == Outcome::kLate ||
                     e.outcome == Outcome::kReset || e.outcome == Outcome::kCancelled;
    if (ran) {
      doubt(m, call.sentMs, r.zone);
      if (e.outcome != Outcome::kBad && !m.orderKey.empty())
        keys_[m.orderKey].restUntilMs = now_ + s_.settleAfterDoubtMs;
    }
    if (e.ended || m.over || e.outcome == Outcome::kGood) {
      finish(m);
      return;
    }
    if (e.outcome != Outcome::kNop && !wasTried(m, r)) m.tried.push_back(&r);
    if (ran) ++m.failures;
    if (e.outcome == Outcome::kLate) ++m.lates;
    hold(m);
    giveUpIfSpent(m);
  }

  // ---- harm: the one place that says what a message's attempts so far still permit ----
  const ClassSettings& classOf(const Message& m) const {
    static const ClassSettings kUnknown;
    return m.cls >= 0 && static_cast<std::size_t>(m.cls) < s_.classes.size()
               ? s_.classes[static_cast<std::size_t>(m.cls)]
               : kUnknown;
  }
  bool harmless(const Message& m) const { return classOf(m).repeat != Repeat::kOnce; }
  bool maySend(const Message& m, const Route& r) const {
    const ClassSettings& c = classOf(m);
    if (!m.mayHaveRun || c.repeat == Repeat::kRepeatable) return true;
    if (c.repeat == Repeat::kOnce || now_ > lastMs(m)) return false;
    if (c.group != Group::kZone) return true;  // a cell is a destination, and no other is ever tried
    return std::all_of(m.doubtZones.begin(), m.doubtZones.end(), [&](int zone) { return zone == r.zone; });
  }
  bool mayRefuse(const Message& m) const {
    const ClassSettings& c = classOf(m);
    return !m.mayHaveRun || c.repeat == Repeat::kRepeatable ||
           (c.repeat == Repeat::kByKey && c.group == Group::kAll);
  }
  bool allowed(const Message& m, const Route& r) const {
    const ClassSettings& c = classOf(m);
    const auto in = [](const std::vector<int>& set, int v) {
      return set.empty() || std::find(set.begin(), set.end(), v) != set.end();
    };
    return in(c.allowedZones, r.zone) && in(c.allowedKinds, r.kind);
  }
  bool anyRouteAllowed(const Message& m) const {
    if (!m.mayHaveRun) return true;
    return std::any_of(m.dest->routes.begin(), m.dest->routes.end(),
                       [&](Route* r) { return r->open && allowed(m, *r) && maySend(m, *r); });
  }

  // ---- health and pace of a scope ----
  void judge(Route& r, const Call& call, const OutcomeEvent& e) {
    Scope& s = *r.scope;
    if (e.outcome == Outcome::kNop) return;  // a call called off counts as timed out
    if (!s.cold) {
      fulls_ += ((e.outcome == Outcome::kFull ? 1 : 0) - fulls_) * kNewestOfAll;
      if (e.outcome != Outcome::kFull)
        strays_ += ((e.outcome == Outcome::kGood ? 0 : 1) - strays_) * kNewestOfAll;
    }
    double& crowded = crowded_[r.kind];
    crowded += ((e.outcome == Outcome::kNoConn ? 1 : 0) - crowded) * kCrowdNewest;
    if (e.outcome != Outcome::kGood && !(e.outcome == Outcome::kFull && s.toldMs < 0 && thin(s)))
      tell(s, call.sentMs);
    if (staleLink(r, call, e.outcome)) return;
    if (e.outcome == Outcome::kGood) {
      s.fulls = 0;
      ++s.goods;
      weigh(s, (1 - kOutFails) / (1 - std::max(kStray, strays_)));
      r.refusedShare *= 1 - kNewest * 0.3;
      const double took = now_ - call.sentMs;
      if (r.usualMs <= 0) ++usualKnown_;
      usualSumMs_ -= r.usualMs;
      r.usualMs = r.usualMs <= 0 ? took : r.usualMs + (took - r.usualMs) * kNewest * 0.5;
      usualSumMs_ += r.usualMs;
      usualOfAllMs_ = usualSumMs_ / usualKnown_;
      r.lastGoodMs = now_;
      r.goodSentMs = std::max(r.goodSentMs, call.sentMs);
      if (r.connCap < std::numeric_limits<int>::max() && s.goods % 10 == 0) ++r.connCap;
      if (s.cold) {
        // Answered, though sent before the failures were told: calls get lost, but nothing was ever down. The
        // bound stays. It hurts if the answer left just before the outage; the next failures then chill
        // again.
        if (call.sentMs < s.chilledMs && s.ill < 1 && s.coldFromMs < 0) s.cold = false;
      } else {
        s.delivered.add(now_, coldMs_, 1 + kItemWeight * (call.size - 1));
      }
      if (call.sentMs > s.failedMs) shownWell(s);
      grow(s);
      return;
    }
    if (e.outcome == Outcome::kFull) {
      r.refusedShare += (1 - r.refusedShare) * kNewest * 0.3;
      if (s.fulls++ == 0) s.firstFullMs = now_;
      cut(s, call.sentMs);
      // Shut, not merely above its limit: more in a row than chance brings where refusals are common.
      if (s.fulls >= std::max(3.0, std::log(kChance) / std::log(std::max(kStray, fulls_))) &&
          now_ - s.firstFullMs > fallMs_) {
        tell(s, call.sentMs);
        chill(s);
      }
      if (s.cold && s.fulls >= 3) s.coldFromMs = -1;
      return;
    }
    // Refused connections while other calls succeed: a cap on connections, not an outage. Also holds against
    // a table filled by other forwarders; it hurts only while one machine of several behind a route is down.
    if (e.outcome == Outcome::kNoConn && r.lastGoodMs > call.sentMs - s_.connectTimeoutMs &&
        !r.calls.empty()) {
      r.connCap = std::max(1, static_cast<int>(r.calls.size()));
      return;
    }
    s.goods = 0;
    if (e.outcome != Outcome::kNoConn && s.coldFromMs >= 0) s.coldFromMs = (s.coldFromMs + now_) / 2;
    weigh(s, kOutFails /
                 std::max(kStray, e.outcome == Outcome::kNoConn ? std::min(crowded, kCrowdedMost) : strays_));
    if (s.ill < 1) return;  // calls lost here and there: neither an outage, nor the end of a ramp, nor a pace
    cut(s, call.sentMs);
    s.coldFromMs = -1;
    chill(s);
  }

  // One rule for much and for scarce evidence: the odds of an outage grow with the time unseen, and each call
  // weighs by how unlike it is to what calls elsewhere do. Where calls get lost everywhere, one more says
  // little; where none do, the first failures at a seldom called scope are enough. It hurts when an outage
  // takes most of the traffic: its failures then look like the common lot.
  void weigh(Scope& s, double likelihood) {
    const double unseen = std::min(kMostPrior, s.ill + (now_ - s.seenMs) / (coldMs_ * kOutageSpans));
    s.ill = std::min(kMostOdds, std::max(s.ill, unseen) * likelihood);
    s.seenMs = now_;
  }

  // ---- links ----
  // The age up to which an idle link is put to use: the shortest found dead lately, times a share.
  double linkLifeMs() const {
    const double told = s_.connIdleMs > 0 ? s_.connIdleMs : kNever;
    return std::min(told, deadAgeMs_ * std::exp2((now_ - deadAtMs_) / (coldMs_ * kRegainSpans)));
  }
  // Receivers that cap connections count idle ones too: where connections of a kind were refused, those idle
  // are given back at once. It costs a handshake; it hurts where the refusals were an outage's.
  void linkIdle(Route& r) {
    r.idleLinks.push_back(now_);
    if (crowded_[r.kind] > kCrowded) freeLinks(r);
  }
  void freeLinks(Route& r) {
    actions_.push_back(FreeLinksAction{r.id});
    r.idleLinks.clear();
  }
  // A call that broke on a link that had been idle tells of the link, not of the receiver. Where the next
  // call to the destination is answered, it was up all the while: the age is learned for all routes (what
  // drops idle links stands on the way to many), and links that old are closed before use. A receiver that
  // crashed breaks links too, but does not answer next. It hurts only by new connections.
  bool staleLink(Route& r, const Call& call, Outcome outcome) {
    double& suspect = r.scope->dest->suspectAgeMs;
    if (outcome != Outcome::kReset || call.linkAgeMs <= 0) {
      if (outcome == Outcome::kGood && suspect < kNever) {
        deadAgeMs_ = std::min(linkLifeMs(), suspect * kTrustedAge);
        deadAtMs_ = now_;
      }
      suspect = kNever;
      return false;
    }
    suspect = std::min(suspect, call.linkAgeMs);
    if (!r.idleLinks.empty()) freeLinks(r);
    return true;
  }
  double takeLink(Route& r) {
    if (!r.idleLinks.empty() && now_ - r.idleLinks.front() >= linkLifeMs()) freeLinks(r);
    if (r.idleLinks.empty()) return -1;
    const double age = now_ - r.idleLinks.back();
    r.idleLinks.pop_back();
    return age;
  }

  // The bound after any failure, refusal or lost call; chill is its far end. It protects a receiver that
  // comes back, from whatever outage, cold and unannounced, with hundreds of forwarders that hold a message
  // each. It falls over when sent B = overloadFactor x capacity x fallMs; the rule breaks if two thirds of
  // that came from those told. What those told send, with D what comes in (D under the capacity C) and U of
  // it, in the window, at forwarders told nothing:
  //   turns (ratePerS): own parts add up to D or C, so half of B at coldShare at most;
  //   first retries: p U, where p is a third, e-fold where an outage of a cold span leaves few untold;
  //   passing (mayPass): with L kForgetSpans cold spans, a share e^-rL of what comes meets forwarders not
  //   told, and kPassShare / (e^rL - 1) of the rest passes: kPassShare U at most.
  // Seldom called: all is under U, less than half. Often called: two thirds need turns >= U, and then all
  // sent is under 3 x turns, which is over B only in a narrow phase. When nothing comes in any more, turns
  // alone are left. Not covered: outages under kShortOutage cold spans at busy scopes, and chance where B is
  // a few calls. It hurts a receiver that is up where refusals are common and calls seldom: there the answer
  // to a call sent after the failed ones lifts it, at once unless the odds said an outage (then by the ramp).
  void tell(Scope& s, double sentMs) {
    if (s.toldMs < 0) {
      s.troubleMs = now_;
      s.healthyPerS = std::max(perS(s.delivered, coldMs_), s.healthyPerS * kFade);
      newTurn(s);
      s.tokens = draw();
      s.turn += s.tokens;
      const double r = std::max(0.0, perS(s.dest->arrived, coldMs_) / parts(s) - 1000 / coldMs_);
      s.boundMs = now_ + (r > 0 ? std::max(0.0, kShortOutage * coldMs_ - kGraceCalls / r * 1000) : 0);
      s.earned = draw() < std::max(kRetryShare * std::exp(r * coldMs_ / 1000), kFew / peers_);
    } else if (sentMs >= s.troubleMs) {
      s.earned = false;
    }
    s.toldMs = now_;
    s.failedMs = std::max(s.failedMs, sentMs);
  }
  double parts(const Scope& s) const { return s.apart ? static_cast<double>(s.dest->routes.size()) : 1; }
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  void mayPass(Destination& d) {
    Scope* told = nullptr;
    for (Route* r : d.routes) {
      if (!r->open) continue;
      if (r->scope->toldMs < 0 || r->scope->earned || busy(*r->scope)) return;
      if (r->scope->coldFromMs < 0 || !told) told = r->scope;
    }
    if (!told) return;
    const double comes = perS(d.arrived, coldMs_) / parts(*told) * kForgetSpans * coldMs_ / 1000;
    told->earned = draw() < kPassShare / std::max(1e-9, std::expm1(comes));
  }
  void shownWell(Scope& s) {
    if (s.toldMs < 0) return;
    if (!s.cold) {
      s.toldMs = -1;
      return;
    }
    if (s.coldFromMs < 0) s.coldFromMs = now_;
    s.earned = !busy(s);  // a scope seldom called has few messages held: each answer earns the next call
  }

  void chill(Scope& s) {
    if (s.cold) return;
    s.cold = true;
    s.chilledMs = now_;
    s.coldFromMs = -1;
    s.delivered = {0, now_, now_};  // what is delivered while cold says nothing of health
    s.pacePerS = kNever;  // while cold the budget paces: a pace cut by failed scouts would never come back
  }

  double fairShare(const Scope& s) const {
    if (s.limitPerS > 0) return s.limitPerS * kToldShare / peers_;
    return s.ratingPerS * (s_.ratings == RatingKind::kRough ? kRoughShare : kToldShare) / peers_;
  }

  // Own part of what a listed receiver takes coldest, and whether it is less than a call in a window, as
  // among hundreds. There the pace begins at the listed share, and one refusal says only that all together
  // were above the limit: those refused go on at their parts, halved with each further one in a row, at
  // random turns, until an answer gives back their former pace, halved. It hurts where listed too high.
  double part(const Scope& s) const { return s.ratingPerS * factor_ * coldShare_ * kRampBudget / peers_; }
  double listedShare(const Scope& s) const { return s.ratingPerS * kToldShare / peers_; }
  bool thin(const Scope& s) const {
    return peers_ > kHoldPeers && s.ratingPerS > 0 && part(s) * fallMs_ < 1000;
  }
  void cutToPart(Scope& s, double sentMs) {
    if (sentMs < s.cutMs) return;
    s.ceilingPerS = std::max(part(s), s.ceilingPerS * kThinCut);
    s.pacePerS = part(s) * std::exp2(-std::clamp(s.fulls - 1, 0, 2));
    s.cutMs = s.grownMs = now_;
    newTurn(s);
    s.tokens = 1 - s.turn;
  }
  void cut(Scope& s, double sentMs) {
    if (s.cold) return;
    if (thin(s)) return cutToPart(s, sentMs);
    const double mine = std::max(perS(s.sent, fallMs_), kLeastPerS);
    if (sentMs >= s.cutMs) {
      s.ceilingPerS = std::min(s.pacePerS, mine);
      // Never under half of what was lately delivered: a cut on a cut, each of a rate already cut, ends in a
      // standstill.
      const double least = std::max({fairShare(s), perS(s.delivered, coldMs_) * 0.5, kLeastPerS});
      s.pacePerS = std::max(s.ceilingPerS * kCut, least);
      s.cutMs = s.grownMs = now_;
    }
    s.restUntilMs = now_ + std::min(1000 / s.pacePerS * std::pow(2, std::max(0, s.fulls - 1)), fallMs_ * 0.5);
  }

  void grow(Scope& s) {
    if (s.pacePerS == kNever) return;
    const double since = (now_ - s.grownMs) / 1000, dt = std::clamp(since, 0.0, 1.0);
    s.grownMs = now_;
    if (thin(s)) {
      const double more = s.ceilingPerS * (s.dest->queue.empty() ? 1 : 1 + kThinGrow);
      s.ceilingPerS = std::min(s.ceilingPerS * std::exp(since * kThinRegrow), std::max(more, listedShare(s)));
      s.pacePerS = s.ceilingPerS;
      return;
    }
    s.pacePerS *= 1 + dt * (s.pacePerS < s.ceilingPerS * 0.9 ? kRegrow : kProbe);
    if (s.pacePerS > 4 * perS(s.sent, fallMs_) + 4) s.pacePerS = kNever;
  }

  bool bounded(const Scope& s) const { return s.toldMs >= 0 && (s.cold || now_ >= s.boundMs); }
  double ratePerS(Scope& s) {
    if (s.toldMs >= 0 && now_ - s.toldMs > kForgetSpans * coldMs_ && s.coldFromMs < 0 && !busy(s))
      s.toldMs = -1, s.cold = false;
    if (s.pacePerS == kNever && thin(s)) {
      s.pacePerS = s.ceilingPerS = listedShare(s);
      s.tokens = draw();
      s.refilledMs = s.grownMs = now_;
    }
    if (!bounded(s)) return s.pacePerS;
    double share = coldShare_;
    if (s.coldFromMs >= 0) {
      // The ramp climbs with time, but no faster than twofold with each success: with a call now and then
      // one success may be a lucky one of an outage that fails most calls. Old evidence counts by time alone.
      const double spans = (now_ - s.coldFromMs) / coldMs_;
      share = std::min(share + (1 - share) * spans, share * std::exp2(s.goods + spans));
    }
    const double rate =
        std::max(ownShare(s) * factor_ * share * (s.coldFromMs < 0 ? toldBudget_ : kRampBudget),
                 kScouts * 1000 / (fallMs_ * peers_));
    if (share < 1) return std::min(s.pacePerS, rate);
    s.cold = false;
    s.toldMs = -1;
    // Warm again, but a backlog sent all at once would meet the limit: the pace starts where the ramp ended.
    return s.pacePerS = s.ceilingPerS = std::max(rate, kLeastPerS);
  }

  bool busy(const Scope& s) const { return s.healthyPerS * coldMs_ >= 1000; }
  // The own part of a receiver's capacity, such that the parts of all forwarders add up to no more: what was
  // delivered here when all was well, or the told fair share. Where less than a message in a cold span was,
  // what is held here speaks: of messages that live for L at most, those held everywhere are what comes in
  // over the trouble, so a part of 1 / (age of the trouble) each, over 1 + ln(L / fallMs) for the forwarders
  // told at each moment of it, adds up to the rate at which messages come.
  double ownShare(const Scope& s) const {
    const double told = fairShare(s);
    if (busy(s)) return std::max(s.healthyPerS, told);
    const double ageS = std::max(now_ - s.troubleMs, fallMs_) / 1000;
    const double held = static_cast<double>(s.dest->queue.size()) / parts(s);
    return std::max(told, kHeldShare * held / (ageS * (1 + std::log(std::max(1.0, longestMs_ / fallMs_)))));
  }

  // When the scope has room again for one call; now or earlier: it has. While bounded to less than a call in
  // a window, turns come by chance, each by itself, and one not used lapses: tokens saved through a quiet
  // outage would come from hundreds at once.
  double scopeFreeMs(Scope& s) {
    const double rate = ratePerS(s);
    double at = std::max(s.waitUntilMs, s.restUntilMs);
    s.rare = rate * fallMs_ < 1000;
    if (rate == kNever) s.tokens = 1;
    if (rate < kNever) {
      const bool told = bounded(s), rare = told && s.rare;
      if (rare && s.refilledMs < now_ && s.tokens >= s.turn) newTurn(s);
      const double spanMs = told ? std::min(now_ - s.refilledMs, fallMs_ * 0.1) : now_ - s.refilledMs;
      const double saved = thin(s) && s.fulls == 0 ? kThinBurst : std::max(1.0, rate * kBurstS);
      const double burst = rare ? kNever : told ? 1 : saved;
      const double need = rare ? s.turn : 1;
      s.tokens = std::min(burst, s.tokens + rate * spanMs / 1000);
      if (s.tokens < need && !(told && s.earned))
        at = std::max(at, now_ + (need - s.tokens) / rate * 1000 + 0.001);
    }
    s.refilledMs = now_;
    return at;
  }
  void newTurn(Scope& s) {
    s.tokens = 0;
    s.turn = std::exponential_distribution<double>(1)(random_);
  }

  double usual(const Route& r) const { return r.usualMs > 0 ? r.usualMs : usualOfAll(); }
  double usualOfAll() const { return usualOfAllMs_ > 0 ? usualOfAllMs_ : 250; }
  bool silent(const Route& r) const {
    if (r.calls.empty()) return false;
    const double since = std::max(calls_.at(*r.calls.begin()).sentMs, r.lastGoodMs);
    return now_ - since > kSilentFactor * usual(r);
  }
  bool doubtful(const Route& r) const { return silent(r) || (r.scope->cold && r.scope->coldFromMs < 0); }

  double doubtCap() const { return std::max(1.0, slots_ * kDoubtSlots); }

  bool routeHasRoom(Route& r) {
    if (!r.open) return false;
    const double at = scopeFreeMs(*r.scope);
    if (at > now_) {
      wakeMs_ = std::min(wakeMs_, at);
      return false;
    }
    const int scopeCap = std::max(1, static_cast<int>(slots_ * kScopeSlots));
    if (r.scope->callsOut >= scopeCap || static_cast<int>(r.calls.size()) >= r.connCap) return false;
    if (doubtful(r)) {
      // One scout at a time; past a silent call another goes once that one had its time, or a lost call would
      // keep its route shut and never be told from a slow one.
      if (!r.calls.empty() && now_ - calls_.at(*r.calls.rbegin()).sentMs < kSilentFactor * usual(r))
        return false;
      if (r.scope->cold && r.scope->callsOut >= (silent(r) ? 2 : 1)) return false;
      if (doubtOut_ >= doubtCap()) return false;
    }
    return true;
  }

  // ---- the chain ----
  double price(const Route& r) const {
    double p = 0.1 * r.refusedShare;
    if (r.apart && r.zone >= 0 && static_cast<std::size_t>(r.zone) < s_.zoneFees.size())
      p += s_.zoneFees[static_cast<std::size_t>(r.zone)];
    if (s_.zone >= 0 && r.zone != s_.zone) p += s_.crossZonePrice;
    return p;
  }

  std::vector<Route*> chainOf(Destination& d) {
    double top = 0;
    for (const Route* r : d.routes) top = std::max(top, r->rating);
    std::vector<std::tuple<bool, double, double, std::size_t, Route*>> ranked;
    const std::size_t n = d.routes.size();
    for (std::size_t i = 0; i < n; ++i) {
      Route* r = d.routes[i];
      if (!routeHasRoom(*r)) continue;
      const double level = static_cast<double>(r->calls.size()) / (r->apart ? levelCalls(*r) : 1);
      const double less = top > 0 && r->apart ? 0.02 * (1 - r->rating / top) : 0;
      ranked.emplace_back(doubtful(*r), std::floor(level), price(*r) + less,
                          (i + n - static_cast<std::size_t>(s_.me) % n) % n, r);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<Route*> chain;
    for (const auto& r : ranked) chain.push_back(std::get<Route*>(r));
    return chain;
  }
  // Calls that a route apart serves at a time at its told share of the limit, two at least: fewer out, and
  // its price decides; more, and the next of the chain takes some.
  double levelCalls(const Route& r) const {
    return std::max(kLeastAtOnce, kAtOnce * r.rating / peers_ * usual(r) / 1000);
  }

  bool wasTried(const Message& m, const Route& r) const {
    return std::find(m.tried.begin(), m.tried.end(), &r) != m.tried.end();
  }
  Route* pick(const Message& m, const std::vector<Route*>& chain) const {
    Route* again = nullptr;
    for (Route* r : chain) {
      if (!allowed(m, *r) || !maySend(m, *r)) continue;
      // An unsafe message waits for proof while its time allows: an error or a time-out would lose it for
      // good.
      if (!harmless(m) && (doubtful(*r) || (r->scope->cold && r->scope->goods < kProven)) &&
          m.notAfterMs - now_ > 2 * kSilentFactor * usual(*r))
        continue;
      if (!wasTried(m, *r)) return r;
      if (!again) again = r;
    }
    return again;
  }

  // ---- worth ----
  double worthAt(const Message& m, double t) const {
    const ClassSettings& c = classOf(m);
    if (t > m.notAfterMs) return 0;
    if (t <= m.aimMs) return c.worth;
    if (s_.fade == Fade::kHalves)
      return c.worth * std::max(c.lateWorth, std::exp2((m.aimMs - t) / m.aimSpanMs));
    return c.worth * (1 - (1 - c.lateWorth) * (t - m.aimMs) / std::max(1.0, m.notAfterMs - m.aimMs));
  }
  double lossByWaiting(const Message& m, double queueMs) const {
    const double horizon = std::max(m.aimSpanMs * kHorizon, queueMs), soon = now_ + usualOfAllMs_;
    return worthAt(m, soon) - worthAt(m, soon + horizon);
  }

  // ---- sending ----
  bool inTurn(const Message& m) const {
    if (m.orderKey.empty()) return true;
    const auto at = keys_.find(m.orderKey);
    if (at == keys_.end() || at->second.line.front() != m.seq) return false;
    return m.attempts > 0 || now_ >= at->second.restUntilMs;
  }

  using Next = std::pair<double, Message*>;  // what it loses by waiting
  static bool sooner(const Next& a, const Next& b) {
    return a.first != b.first ? a.first > b.first : a.second->aimMs < b.second->aimMs;
  }
  // Where more is held than the pace takes, what is fresh goes before what has lost its worth already.
  std::vector<Next> inOrder(const Destination& d) {
    double perS = 0;
    for (Route* r : d.routes) perS += r->open ? ratePerS(*r->scope) * batchOf(*r) : 0;
    std::vector<Next> order;
    for (auto& [seq, m] : d.queue)
      order.emplace_back(lossByWaiting(*m, 1000 * static_cast<double>(d.queue.size()) / perS), m);
    std::stable_sort(order.begin(), order.end(), sooner);
    return order;
  }

  void send() {
    struct Lane {
      Destination* dest;
      std::vector<Route*> chain;
      std::vector<Next> order;
      std::size_t next = 0;
    };
    wakeMs_ = kNever;
    doubtOut_ = 0;
    for (const auto& [id, call] : calls_) doubtOut_ += doubtful(*call.route);
    std::vector<Lane> lanes;
    for (const auto& [id, dest] : waiting_) {
      if (gathers(*dest)) continue;
      Lane lane{dest, chainOf(*dest), {}};
      if (lane.chain.empty()) continue;
      lane.order = inOrder(*dest);
      std::erase_if(lane.order, [this](const auto& next) { return !inTurn(*next.second); });
      if (!lane.order.empty()) lanes.push_back(std::move(lane));
    }
    if (!due_.empty()) freeSlots(!lanes.empty());
    const std::int64_t before = lastCall_;
    while (callsOut_ < slots_) {
      Lane* best = nullptr;
      for (Lane& lane : lanes)
        if (lane.next < lane.order.size() &&
            (!best || sooner(lane.order[lane.next], best->order[best->next])))
          best = &lane;
      if (!best) break;
      Message& m = *best->order[best->next++].second;
      Route* r = pick(m, best->chain);
      if (!r) continue;
      const std::int64_t call = callTo(*r, before);
      Call& c = calls_[call];
      const int had = c.size, batch = batchOf(*r);
      sendOne(m, c, call);
      while (c.size < batch && best->next < best->order.size() &&
             pick(*best->order[best->next].second, best->chain) == r)
        sendOne(*best->order[best->next++].second, c, call);
      Scope& scope = *r->scope;
      const double weight = had > 0 ? 0 : 1;
      scope.tokens -= bounded(scope) ? weight + kItemWeight * (c.size - std::max(1, had)) : weight;
      scope.earned = false;
      if (scope.rare && bounded(scope)) newTurn(scope);
      best->chain = chainOf(*best->dest);
      if (best->chain.empty()) best->next = best->order.size();
    }
  }

  // Sends of one reply to one endpoint fill a call before the next begins, whatever goes elsewhere in
  // between.
  std::int64_t callTo(Route& r, std::int64_t before) {
    if (!r.calls.empty() && *r.calls.rbegin() > before && calls_.at(*r.calls.rbegin()).size < batchOf(r))
      return *r.calls.rbegin();
    Call& c = calls_[++lastCall_];
    c.route = &r;
    c.sentMs = now_;
    c.linkAgeMs = takeLink(r);
    r.calls.insert(lastCall_);
    ++r.scope->callsOut;
    ++callsOut_;
    doubtOut_ += doubtful(r);
    r.scope->sent.add(now_, fallMs_);
    return lastCall_;
  }

  bool gathers(const Destination& d) {
    const Route* lead = nullptr;
    for (const Route* r : d.routes)
      if (r->open && (!lead || price(*r) < price(*lead))) lead = r;
    const double tellsPerS = lead ? lead->rating * kToldShare / peers_ : 0;
    if (tellsPerS <= 0 || batchOf(*lead) == 1 || doubtful(*lead) || bounded(*lead->scope)) return false;
    const Scope& s = *lead->scope;
    const double next = s.sent.lastMs + 1000 / tellsPerS;
    const Message& oldest = *d.queue.begin()->second;
    const double until = std::min(next, oldest.aimMs - oldest.aimSpanMs * (1 - kGather));
    if (s.sent.sinceMs < 0 || now_ >= until || now_ < std::max(s.waitUntilMs, s.restUntilMs) ||
        d.queue.size() >= static_cast<std::size_t>(batchOf(*lead)))
      return false;
    wakeMs_ = std::min(wakeMs_, until);
    return true;
  }
  int batchOf(const Route& r) const {
    const auto kind = static_cast<std::size_t>(std::max(0, r.kind));
    return kind < s_.kindBatch.size() ? std::max(1, s_.kindBatch[kind]) : 1;
  }

  // Slots, or those for doubtful scopes, are short while messages are held: the call longest out past all
  // likelihood is called off. It hurts where such a call would have been answered after all, most of all an
  // unsafe one, which then fails.
  void freeSlots(bool ready) {
    const bool few = ready && callsOut_ >= slots_ * kShortSlots;
    if (!s_.mayCancel || (!few && doubtOut_ < doubtCap())) return;
    std::int64_t oldest = -1;
    double worst = 1;
    for (const auto& [id, call] : calls_) {
      if (call.calledOff) return;  // one at a time: its slot comes back with the next batch
      if (call.unsafe && !(ready && callsOut_ >= slots_))
        continue;  // it would fail: only for the very last slot
      const bool lost = call.route->goodSentMs > call.sentMs;
      const double factor = (lost ? kOvertakenFactor : kHopelessFactor) * (call.unsafe ? 2 : 1);
      const double past = (now_ - call.sentMs) / (factor * usual(*call.route));
      if (past > worst) worst = past, oldest = id;
    }
    if (oldest < 0) return;
    calls_.at(oldest).calledOff = true;
    for (const std::string& id : calls_.at(oldest).members) {
      const auto m = messages_.find(id);
      if (m != messages_.end() && m->second.call == oldest)
        actions_.push_back(CallOffAction{id, m->second.attempts - 1});
    }
  }

  void sendOne(Message& m, Call& c, std::int64_t call) {
    c.members.push_back(m.id);
    c.unsafe = c.unsafe || !harmless(m);
    unhold(m);
    m.call = call;
    ++m.attempts;
    ++c.size;
    ++c.left;
    const ClassSettings& cls = classOf(m);
    const double left = m.notAfterMs - now_;
    double cap = left;
    if (harmless(m)) {
      cap = std::max(kLateFactor * usual(*c.route), m.aimSpanMs * kAimShare) * std::exp2(m.lates);
      cap = std::min(cap, m.failures + 1 < kTries ? left * kTimeShare : left);
      if (cls.repeat == Repeat::kByKey) cap = std::min(cap, cls.memorySpanMs * kTimeShare);
    }
    actions_.push_back(SendAction{m.id, c.route->id, std::max(1.0, cap)});
  }

  // ---- answers ----
  void hold(Message& m) {
    m.held = true;
    m.dest->queue[m.seq] = &m;
    waiting_[m.dest->id] = m.dest;
    due_[{lastMs(m), m.seq}] = &m;
  }
  void unhold(Message& m) {
    m.held = false;
    m.dest->queue.erase(m.seq);
    if (m.dest->queue.empty()) waiting_.erase(m.dest->id);
    due_.erase({lastMs(m), m.seq});
  }
  void giveUp(Message& m, double comeBackMs) {
    if (mayRefuse(m)) {
      ++refused_;
      actions_.push_back(RefuseAction{m.id, std::min(comeBackMs, s_.maxRetryAfterMs)});
    } else {
      actions_.push_back(FailAction{m.id});
    }
    finish(m);
  }
  void finish(Message& m) {
    if (m.held) unhold(m);
    if (!m.over) --open_;
    m.over = true;
    if (m.call >= 0) return;
    if (!m.orderKey.empty()) {
      auto& line = keys_.at(m.orderKey).line;
      line.erase(std::find(line.begin(), line.end(), m.seq));
    }
    --m.dest->messages;
    messages_.erase(messages_.find(m.id));
  }

  // Until when it may be sent: its time, or its window's end less what a call may wait for its connection.
  double lastMs(const Message& m) const {
    const ClassSettings& c = classOf(m);
    return m.mayHaveRun && c.repeat == Repeat::kByKey
               ? std::min(m.notAfterMs, m.firstDoubtMs + c.memorySpanMs * kWindowShare - s_.connectTimeoutMs)
               : m.notAfterMs;
  }

  void answerDue() {
    while (!due_.empty() && due_.begin()->first.first <= now_ + 2 * s_.resolutionMs)
      giveUp(*due_.begin()->second, adviceMs(*due_.begin()->second->dest));
  }

  void relieve() {
    if (s_.maxOpen <= 0) return;
    const int limit = std::max(1, static_cast<int>(s_.maxOpen * kOpenShare));
    while (open_ > limit && !due_.empty()) {
      const auto least = std::min_element(due_.begin(), due_.end(), [this](const auto& a, const auto& b) {
        return worthAt(*a.second, now_) < worthAt(*b.second, now_);
      });
      giveUp(*least->second, s_.maxRetryAfterMs);
    }
  }

  // Held where all turns in its time go to messages that lose more, a message is handed back at once: its
  // client may come to a forwarder that was told nothing. It hurts where clients do not come again.
  void handBack() {
    const double again = std::min(1.0, cameAgain_ / refused_);
    std::vector<Message*> hopeless;
    for (const auto& [id, dest] : waiting_) {
      if (std::none_of(dest->routes.begin(), dest->routes.end(), [](Route* r) { return r->scope->rare; }))
        continue;
      double ahead = 0;
      for (const auto& [loss, m] : inOrder(*dest)) {
        double turns = 0;
        for (Route* r : dest->routes) {
          if (!r->open || !allowed(*m, *r) || !maySend(*m, *r)) continue;
          const Scope& s = *r->scope;
          const bool merelyFull = peers_ <= kHoldPeers && s.fulls > 0 && !s.cold;
          const bool counts = s.rare && !merelyFull && !s.earned && !busy(s);
          turns += counts ? ratePerS(*r->scope) * batchOf(*r) * (m->notAfterMs - now_) / 1000 : kNever;
        }
        if (mayRefuse(*m) && turns < (ahead + 1) * again)
          hopeless.push_back(m);
        else
          ++ahead;
      }
    }
    for (Message* m : hopeless) giveUp(*m, s_.maxRetryAfterMs);
  }

  void askForList() {
    if (now_ < askAtMs_) return;
    actions_.push_back(WatchListAction{true});
    askAtMs_ = kNever;
  }

  void arm() {
    double at = std::min(wakeMs_, askAtMs_);
    if (!due_.empty())  // doubt and order pass with time alone
      at = std::min({at, due_.begin()->first.first - s_.resolutionMs, now_ + fallMs_ / 20});
    if (at == kNever || at >= armedMs_) return;
    armedMs_ = std::max(at, now_ + std::max(1.0, s_.resolutionMs));
    actions_.push_back(TimerAction{armedMs_ - now_, ++lastToken_});
  }

  Settings s_;
  std::mt19937_64 random_;
  double now_ = 0, fallMs_, coldMs_, askMs_, longestMs_ = 0, toldBudget_, factor_, coldShare_;
  int peers_, slots_;
  std::vector<Action> actions_;
  bool recovering_ = false;  // this batch began with the kept list: its messages are from before the restart
  std::map<std::string, Message> messages_;
  std::map<std::string, Route> routes_;
  std::map<std::int64_t, Destination> destinations_;
  std::map<std::int64_t, Call> calls_;
  std::map<std::string, KeyLine> keys_;
  std::map<std::pair<double, std::uint64_t>, Message*> due_;  // messages held, by their last moment
  int callsOut_ = 0, open_ = 0, askFailures_ = 0, doubtOut_ = 0;
  std::int64_t lastCall_ = 0;
  std::uint64_t lastSeq_ = 0, lastToken_ = 0;
  std::map<int, double> crowded_;  // per kind: share of calls whose connection was refused, of late
  double strays_ = 0, fulls_ = 0;  // shares of calls failed, and refused as full, at scopes that are not cold
  double cameAgain_ = 1, refused_ = 1;  // messages handed in again here, and refused here
  double deadAgeMs_ = kNever, deadAtMs_ = 0;
  std::map<std::int64_t, Destination*> waiting_;  // destinations with messages held
  double usualSumMs_ = 0, usualKnown_ = 0;
  double forgotMs_ = 0, armedMs_ = kNever, wakeMs_ = kNever, askAtMs_ = kNever, usualOfAllMs_ = 0;
};

Dispatcher::Dispatcher(const Settings& settings) : impl_(std::make_unique<Impl>(settings)) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

std::vector<Action> Dispatcher::onBatch(double nowMs, const std::vector<Event>& events) {
  return impl_->onBatch(nowMs, events);
}

std::size_t Dispatcher::routesKnown() const { return impl_->routesKnown(); }

}  // namespace myrtleloft
