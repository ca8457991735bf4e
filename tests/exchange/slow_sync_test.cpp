// Requests whose deadline passes while their call waits for a slow sync, or after it has waited. Uses manual
// clocks, an in-memory disk and an endpoint that accepts calls.
#include <doctest/doctest.h>

#include <cstdlib>
#include <string>
#include <utility>

#include "tests/exchange/exchange_site.h"

using namespace myrtleloft;
using myrtleloft::testing::Site;

namespace {

constexpr double kTimeLeftMs = 1000, kSyncMs = 400;
constexpr double kAnswerInTransitMs = 50;  // how long a call that is given up still waits for its answer
constexpr double kTurnsMs = 20;

// A non-idempotent request is not retried, so its call may take all the time left.
void submitNonIdempotent(Site& site) {
  IncomingRequest request;
  request.id = "m";
  request.body = "body";
  request.classIndex = 2;
  request.destination = 7;
  request.arrivedMs = site.clock.nowMs;
  request.timeLeftMs = kTimeLeftMs;
  site.manager->onRequest(std::move(request),
                          [&site](const Answer& answer) { site.answers.push_back(answer.kind); });
}

std::uint64_t finalStatuses(const Site& site) { return site.counters.failed + site.counters.returned; }

void sync(Site& site) {
  for (int i = 0; i < 3; ++i) {  // the first sync covers only the records written before the request
    site.syncer.work();
    site.manager->onSynced();
    site.advance(5);
  }
}

Fd acceptCall(const Site& site) {
  int error = 0;
  Fd fd = acceptFrom(site.endpoint, error);
  REQUIRE(fd);
  return fd;
}

std::string readAll(const Fd& fd) {
  std::string bytes;
  while (readSome(fd, bytes) == Io::kProgress) {
  }
  return bytes;
}

}  // namespace

// Guards against a final status that is late by the time that the call waited for its sync.
TEST_CASE("group: a call that waited for its sync is given up at its request's deadline") {
  Site site(true);
  submitNonIdempotent(site);
  site.advance(kSyncMs);
  sync(site);
  REQUIRE(site.answers == std::vector<Answer::Kind>{Answer::Kind::kAccepted});
  const Fd call = acceptCall(site);
  site.advance(5);
  const std::string bytes = readAll(call);
  const std::size_t timeout = bytes.find("X-Timeout: ");
  REQUIRE(timeout != std::string::npos);
  CHECK(std::atof(bytes.c_str() + timeout + sizeof "X-Timeout: " - 1) * 1000 <= kTimeLeftMs - kSyncMs);

  site.advance(kTimeLeftMs + kAnswerInTransitMs + kTurnsMs - site.clock.nowMs);
  CHECK(finalStatuses(site) == 1);
}

// Guards against an accepted request that gets no final status while a sync hangs.
TEST_CASE("group: an accepted request whose next call waits for a sync is given up at its deadline") {
  Site site(true);
  submitNonIdempotent(site);
  site.advance(10);
  sync(site);
  const Fd call = acceptCall(site);
  site.advance(5);
  std::size_t written = 0;
  REQUIRE(writeSome(call, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", written) == Io::kProgress);
  for (int i = 0; i < 100 && site.syncer.jobs.empty(); ++i) site.advance(5);
  REQUIRE(!site.syncer.jobs.empty());

  site.advance(kTimeLeftMs + kTurnsMs - site.clock.nowMs);
  CHECK(finalStatuses(site) == 1);
  sync(site);
  CHECK(site.outbound.pendingCalls() == 0);
}
