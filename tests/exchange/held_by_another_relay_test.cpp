// Guards against a second execution outside the idempotency window: a request with a key that its client
// hands in again, because the relay that had it died, may have been executed since the client first sent it.
#include <doctest/doctest.h>

#include <string>

#include "tests/exchange/exchange_site.h"

using namespace myrtleloft;
using myrtleloft::testing::Site;

namespace {

constexpr double kWindowMs = 2000;
constexpr double kElapsedMs = 600;  // since the client first sent the request

struct HandedInAgain {
  explicit HandedInAgain(DeduplicationScope scope = DeduplicationScope::kDestination)
      : site(false, 1, 4, true, {}, [scope](Settings& settings) {
          settings.connectTimeoutMs = 100;
          settings.classes[1].idempotencyWindowMs = kWindowMs;
          settings.classes[1].deduplicationScope = scope;
        }) {}
  void submit(int classIndex, bool heldByAnotherRelay) {
    IncomingRequest request;
    request.id = "m";
    request.key = "k";
    request.body = "body";
    request.classIndex = classIndex;
    request.destination = 7;
    request.arrivedMs = site.clock.nowMs;
    request.timeLeftMs = lab::moduleSettings(5).classes[1].maxLifetimeMs - kElapsedMs;
    request.heldByAnotherRelay = heldByAnotherRelay;
    site.manager->onRequest(std::move(request),
                            [this](const Answer& answer) { site.answers.push_back(answer.kind); });
    site.advance(10);
  }
  // The requests of the journal, as the next process would find them.
  std::size_t recordedAttempts() {
    const auto found = recover(site.files, "/s");
    const RecoveredRequest* request = found ? found->pending.find("m") : nullptr;
    return request == nullptr ? 0 : request->pending.ambiguousAttempts.size();
  }
  // Answers the next call, if there is one, with a wait; returns whether there was one.
  bool rejectCall(int retryAfterMs) {
    int errorNumber = 0;
    const Fd call = acceptFrom(site.endpoint, errorNumber);
    if (!call) return false;
    std::size_t written = 0;
    writeSome(call,
              "HTTP/1.1 429 Later\r\nRetry-After: " + std::to_string(retryAfterMs / 1000.0) +
                  "\r\nContent-Length: 0\r\n\r\n",
              written);
    site.advance(20);
    return true;
  }

  Site site;
};

}  // namespace

TEST_CASE("a request that another relay had is not sent after the window of its first sending") {
  for (const bool heldByAnotherRelay : {false, true}) {
    CAPTURE(heldByAnotherRelay);
    HandedInAgain request;
    request.submit(1, heldByAnotherRelay);
    REQUIRE(request.site.answers == std::vector{Answer::Kind::kAccepted});
    REQUIRE(request.rejectCall(kWindowMs - kElapsedMs + 100));
    request.site.advance(kWindowMs);
    CHECK(request.rejectCall(0) != heldByAnotherRelay);  // otherwise the wait alone delays it
    CHECK(request.site.counters.returned == (heldByAnotherRelay ? 1 : 0));
  }
}

TEST_CASE("a request that another relay had is sent again within the window") {
  HandedInAgain request;
  request.submit(1, true);
  REQUIRE(request.rejectCall(300));
  request.site.advance(900);
  CHECK(request.rejectCall(300));
}

TEST_CASE("the next process knows that another relay may have sent the request") {
  for (const bool heldByAnotherRelay : {false, true}) {
    HandedInAgain request;
    request.submit(1, heldByAnotherRelay);
    REQUIRE(request.rejectCall(1000));
    CHECK(request.recordedAttempts() == (heldByAnotherRelay ? 1 : 0));
  }
}

// An endpoint in another zone does not remember the key, and the zone of the first sending is not known.
TEST_CASE("a request whose key is remembered in one zone only is not sent if another relay had it") {
  HandedInAgain request(DeduplicationScope::kZone);
  request.submit(1, true);
  CHECK(request.site.answers == std::vector{Answer::Kind::kFailed});
  CHECK(!request.rejectCall(0));
}

// The client hands in a non-idempotent request again only if it was not executed, and an idempotent one may
// be executed twice.
TEST_CASE("that another relay had a request changes nothing for a class without a key") {
  for (const int classIndex : {0, 2}) {
    HandedInAgain request;
    request.submit(classIndex, true);
    CHECK(request.recordedAttempts() == 1);  // its own
    CHECK(request.rejectCall(300));
    CHECK(request.recordedAttempts() == 0);
  }
}
