// Runs one batch, from its events to its actions. docs/design.md explains the order of the steps.
#include "myrtleloft/dispatcher.h"

#include "policy/batch_scheduler.h"
#include "policy/cached_list_hold.h"
#include "policy/endpoint_list_watch.h"
#include "policy/endpoint_registry.h"
#include "policy/load_shedder.h"
#include "policy/outcome_recorder.h"
#include "policy/retry_policy.h"
#include "state/wake_timer.h"

namespace myrtleloft {
using namespace policy;
namespace {

Settings withDefaults(Settings settings) {
  const auto setIfMissing = [](auto& setting, auto fallback) {
    if (setting <= 0) setting = fallback;
  };
  setIfMissing(settings.overloadWindowMs, kDefaultOverloadWindowMs);
  setIfMissing(settings.slowStartMs, kDefaultSlowStartMs);
  setIfMissing(settings.listRetryMs, kDefaultListRetryMs);
  setIfMissing(settings.instanceCount, 1);
  setIfMissing(settings.overloadFactor, 1);
  setIfMissing(settings.slowStartShare, kDefaultSlowStartShare);
  setIfMissing(settings.maxConcurrentCalls, std::numeric_limits<int>::max());
  setIfMissing(settings.connectionIdleMs, kNever);
  settings.classes.emplace_back();  // for requests with an unknown class
  return settings;
}

std::vector<ClassSettings> nonIdempotent(std::vector<ClassSettings> classes) {
  for (ClassSettings& settings : classes) settings.idempotency = Idempotency::kNonIdempotent;
  return classes;
}

}  // namespace

// The components of one dispatcher, and the order of the steps of a batch.
// Invariants: the components refer to one another, so the object is neither copied nor moved; an outcome is
// applied only if it is that of the newest attempt of a request in flight.
// Thread safety: none; the caller runs one batch at a time.
class Dispatcher::Impl {
 public:
  explicit Impl(const Settings& settings);

  std::vector<Action> run(double nowMs, const std::vector<Event>& events);
  std::size_t endpointCount() const { return registry_.endpointCount(); }

 private:
  void handle(const RequestEvent& event);
  void handle(const OutcomeEvent& event);
  void handle(const EndpointListEvent& event);
  void handle(const TimerEvent& event) { timer_.recordExpiry(event.token); }
  void handle(const ClientDisconnectEvent& event);
  // Updates the endpoint and the upstream from an outcome of a call. `call` is its state before the outcome;
  // `finished` says that all its requests now have their outcome.
  void recordCall(const Call& call, const OutcomeEvent& event, bool finished);
  // Whether an endpoint that is not known does not exist, as far as discovery has told.
  bool knowsEndpoints();
  // Gives up the new requests that no endpoint may get any more, once the endpoints are known.
  void giveUpExhausted();
  void removeUnused() { registry_.removeUnused(batch_, requests_, latency_); }
  // When the next batch is needed even without an event, in ms; kNever if none is.
  double nextWakeMs() const;

  BatchContext batch_;
  const std::vector<ClassSettings> nonIdempotentClasses_;  // for RequestEvent::nonIdempotent
  // Whether this batch brought the cached endpoint list, so that its requests are from before a restart.
  bool recovering_ = false;
  bool listConfirmed_ = false;         // whether discovery has answered since the start
  bool hasUncheckedRequests_ = false;  // whether new requests may be exhausted; see giveUpExhausted
  EndpointRegistry registry_;
  EndpointListWatch watch_;
  CachedListHold cachedListHold_;
  RequestTable requests_;
  CallTable calls_;
  LatencyTracker latency_;
  ConnectionReuse connections_;
  OutcomeRecorder recorder_;
  LoadShedder shedder_;
  BatchScheduler scheduler_;
  WakeTimer timer_;
};

Dispatcher::Impl::Impl(const Settings& settings)
    : batch_(withDefaults(settings)),
      nonIdempotentClasses_(nonIdempotent(batch_.settings.classes)),
      watch_(settings.watchEndpointList),
      cachedListHold_(settings.listConfirmationMs),
      recorder_(connections_, latency_),
      shedder_(requests_, latency_),
      scheduler_(requests_, calls_, connections_, latency_, cachedListHold_) {}

std::vector<Action> Dispatcher::Impl::run(double nowMs, const std::vector<Event>& events) {
  batch_.begin(nowMs);
  timer_.begin(nowMs);
  if (nowMs - registry_.lastRemovalMs() >= batch_.settings.slowStartMs) removeUnused();
  recovering_ = false;
  for (const Event& event : events) std::visit([this](const auto& each) { handle(each); }, event);
  giveUpExhausted();
  shedder_.expireDue(batch_);
  shedder_.shedLoad(batch_);
  scheduler_.send(batch_);
  shedder_.rejectUnattempted(batch_);
  watch_.pollIfDue(batch_);
  timer_.arm(batch_, nextWakeMs());
  return batch_.takeActions();
}

void Dispatcher::Impl::handle(const RequestEvent& event) {
  const std::vector<ClassSettings>& classes = batch_.settings.classes;
  const std::size_t classIndex = std::min(static_cast<std::size_t>(event.classIndex), classes.size() - 1);
  const ClassSettings& settings = (event.nonIdempotent ? nonIdempotentClasses_ : classes)[classIndex];
  Request* request = requests_.add(event, settings, batch_.nowMs());
  if (!request) return;
  requests_.setDestination(*request, registry_.destination(event.destination));
  registry_.grantProbeForArrival(batch_, *request->destination);
  if (!recovering_) {
    request->arrivalBatch = batch_.number();
    request->destination->arrivals.add(batch_.nowMs(), batch_.settings.slowStartMs);
  }
  for (const AmbiguousAttempt& earlier : event.ambiguousAttempts)
    recordAmbiguousAttempt(batch_, *request, earlier.sentMs, earlier.zone);
  cachedListHold_.admit(batch_, *request);
  requests_.enqueue(*request);
  // A request from before a restart, or from another relay, may already have used up its attempts.
  if (hasNoAttemptLeft(batch_, *request) || (request->mayHaveExecuted() && knowsEndpoints()))
    return shedder_.giveUpIfExhausted(batch_, *request);
  hasUncheckedRequests_ = hasUncheckedRequests_ || request->mayHaveExecuted();
}

bool Dispatcher::Impl::knowsEndpoints() {
  return listConfirmed_ || (registry_.endpointCount() > 0 && !cachedListHold_.isWaiting(batch_));
}

void Dispatcher::Impl::giveUpExhausted() {
  if (!hasUncheckedRequests_ || !knowsEndpoints()) return;
  hasUncheckedRequests_ = false;
  std::vector<Request*> attempted;
  for (const auto& [key, request] : requests_.due())
    if (request->mayHaveExecuted()) attempted.push_back(request);
  for (Request* request : attempted) shedder_.giveUpIfExhausted(batch_, *request);
}

void Dispatcher::Impl::handle(const OutcomeEvent& event) {
  using enum Outcome;
  Request* request = requests_.find(event.id);
  if (!request || request->call < 0 || event.attempt != request->attempts - 1) return;
  const auto [call, finished] = calls_.recordOutcome(request->call);
  request->call = -1;
  recordCall(call, event, finished);
  const Outcome outcome = event.outcome;
  const bool ambiguous = outcome == kTimeout || outcome == kReset || outcome == kCancelled;
  if (ambiguous) request->pauseOrderKey(batch_.nowMs() + batch_.settings.orderHoldAfterAmbiguityMs);
  if (ambiguous || outcome == kFailure)
    recordAmbiguousAttempt(batch_, *request, call.sentMs, call.endpoint->zone);
  if (event.completed || request->completed || outcome == kSuccess) return requests_.complete(*request);
  if (outcome != kNotSent && !request->triedAt(call.endpoint)) request->tried.push_back(call.endpoint);
  if (outcome == kTimeout) ++request->timeouts;
  requests_.enqueue(*request);
  shedder_.giveUpIfExhausted(batch_, *request);
}

void Dispatcher::Impl::handle(const EndpointListEvent& event) {
  if (event.kind == ListUpdateKind::kError) return watch_.recordFailure(batch_);
  if (event.kind == ListUpdateKind::kCached) {
    recovering_ = true;
    cachedListHold_.recordCachedList(batch_);
  } else {
    watch_.recordAnswer();
    cachedListHold_.recordAnswer();
    listConfirmed_ = true;
  }
  removeUnused();
  registry_.apply(batch_, event);
}

void Dispatcher::Impl::handle(const ClientDisconnectEvent& event) {
  Request* request = requests_.find(event.id);
  if (request && !request->completed) requests_.complete(*request);
}

void Dispatcher::Impl::recordCall(const Call& call, const OutcomeEvent& event, bool finished) {
  using enum Outcome;
  Endpoint& endpoint = *call.endpoint;
  Upstream& upstream = *endpoint.upstream;
  if (finished && (event.outcome == kSuccess || event.outcome == kFailure || event.outcome == kRejected))
    ConnectionReuse::addIdle(batch_, endpoint, recorder_.connectionTableFullRate(endpoint.kind));
  if (event.report.limitPerSecond) upstream.setReportedLimit(*event.report.limitPerSecond);
  // A call of several requests may succeed for some of them and state Retry-After as well. For kNotSent the
  // field has another meaning.
  const auto retryAfterMs = static_cast<double>(event.retryAfterMs);
  if (event.outcome != kNotSent && retryAfterMs > 0) upstream.setRetryAfter(batch_.nowMs() + retryAfterMs);
  if (!call.recorded) recorder_.record(batch_, call, event.outcome);
  if (event.outcome == kRejected && retryAfterMs > batch_.settings.overloadWindowMs)
    upstream.recordAnnouncedOutage(batch_, call.sentMs);
}

double Dispatcher::Impl::nextWakeMs() const {
  const double atMs = std::min(batch_.wakeAtMs(), watch_.pollAtMs());
  if (requests_.due().empty()) return atMs;
  return std::min(
      {atMs, requests_.due().begin()->first.sendByMs - batch_.settings.batchIntervalMs,
       batch_.nowMs() + batch_.settings.overloadWindowMs / 20});  // no event marks the end of a pause
}

Dispatcher::Dispatcher(const Settings& settings) : impl_(std::make_unique<Impl>(settings)) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

std::vector<Action> Dispatcher::onBatch(double nowMs, const std::vector<Event>& events) {
  return impl_->run(nowMs, events);
}

std::size_t Dispatcher::endpointCount() const { return impl_->endpointCount(); }

}  // namespace myrtleloft
