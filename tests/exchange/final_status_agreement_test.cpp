// Two successive processes notify the platform of the same final status of a request, whatever records the
// first process could not write.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string>

#include "tests/exchange/successive_processes.h"

using namespace myrtleloft;
using myrtleloft::testing::SuccessiveProcesses;

namespace {

constexpr std::array<const char*, 3> kIds = {"status", "caption", "billing"};  // one of each class
constexpr int kBilling = 2;                                                    // non-idempotent
constexpr double kLifetimeMs = 1500;
constexpr std::uint64_t kPermanently = 1 << 20;  // more operations than a test makes

// How the endpoint replies to the calls; the last two differ between the first calls and the retries.
enum class Reply { kRejected, kFailed, kBroken, kSilent, kRejectedThenSilent, kSilentThenRejected };
constexpr std::array<Reply, 6> kReplies = {
    Reply::kRejected,          Reply::kFailed, Reply::kBroken, Reply::kSilent, Reply::kRejectedThenSilent,
    Reply::kSilentThenRejected};

void reply(SuccessiveProcesses& relay, Reply kind, lab::Hub::Id call) {
  const bool isFirst = relay.calls <= static_cast<int>(kIds.size());
  if (kind == Reply::kRejectedThenSilent) kind = isFirst ? Reply::kRejected : Reply::kSilent;
  if (kind == Reply::kSilentThenRejected) kind = isFirst ? Reply::kSilent : Reply::kRejected;
  if (kind == Reply::kRejected) relay.answer(call, "503 Full");
  if (kind == Reply::kFailed) relay.answer(call, "500 Error");
  if (kind == Reply::kBroken) relay.breakOff(call);
}

struct DiskFault {
  std::uint64_t fromOperation = 0;  // of the first process, from 1
  std::uint64_t count = 0;
};

// Runs the first process beyond the deadline under that disk fault, and the next one on a working disk.
// Returns false if the first process did not reach the fault.
bool runBothProcesses(SuccessiveProcesses& relay, Reply kind, const DiskFault& fault) {
  relay.onCall = [&relay, kind](lab::Hub::Id call) { reply(relay, kind, call); };
  relay.start();
  const std::uint64_t before = relay.process->files.operations();
  relay.process->files.failAt(before + fault.fromOperation, fault.count, EIO);
  for (int i = 0; i < static_cast<int>(kIds.size()); ++i) relay.submit(kIds.at(i), i, kLifetimeMs);
  relay.advance(kLifetimeMs + 150);
  const bool failed = relay.process->files.operations() >= before + fault.fromOperation;
  relay.kill();
  relay.onCall = nullptr;
  relay.start();
  relay.advance(600);
  return failed;
}

bool agree(const std::vector<std::string>& statuses) {
  return std::ranges::adjacent_find(statuses, std::ranges::not_equal_to()) == statuses.end();
}

}  // namespace

// Guards against a request that one process notifies as bounced and the next one as dead. Its attempt is
// known not executed, but neither that nor its final status could be recorded.
TEST_CASE("a request known not executed is notified as dead if nothing after its attempt can be recorded") {
  SuccessiveProcesses relay;
  std::vector<lab::Hub::Id> unansweredCalls;
  relay.onCall = [&](lab::Hub::Id call) { unansweredCalls.push_back(call); };
  relay.start();
  relay.submit("m", kBilling, kLifetimeMs);
  relay.advance(20);
  REQUIRE(unansweredCalls.size() == 1);
  relay.process->files.failAt(relay.process->files.operations() + 1, kPermanently, EIO);
  relay.onCall = nullptr;
  relay.answer(unansweredCalls.front(), "503 Full");
  relay.advance(kLifetimeMs + 100);
  CHECK(relay.statuses["m"] == std::vector<std::string>{"dead"});
  relay.kill();
  relay.start();
  relay.advance(600);
  CHECK(relay.statuses["m"] == std::vector<std::string>{"dead", "dead"});
}

TEST_CASE("a request known not executed is notified as bounced if the disk recovers before its deadline") {
  SuccessiveProcesses relay;
  relay.onCall = [&](lab::Hub::Id call) { relay.answer(call, "503 Full"); };
  relay.start();
  relay.submit("m", kBilling, kLifetimeMs);
  relay.process->files.failAt(relay.process->files.operations() + 3, kPermanently, EIO);
  relay.advance(kLifetimeMs / 2);
  relay.process->files.failAt(0, 0, 0);
  relay.advance(kLifetimeMs);
  CHECK(relay.statuses["m"] == std::vector<std::string>{"bounced"});
}

// Covers all combinations of missing records: a disk fault from each operation of the first process on, for
// one operation, three operations or permanently, with each reply of the endpoint.
TEST_CASE("two processes notify the same final status of a request, whichever of its records are missing") {
  for (const Reply kind : kReplies) {
    for (const std::uint64_t count : {std::uint64_t{1}, std::uint64_t{3}, kPermanently}) {
      std::uint64_t from = 1;
      for (bool failed = true; failed; ++from) {
        SuccessiveProcesses relay;
        failed = runBothProcesses(relay, kind, {from, count});
        for (const char* id : kIds) {
          INFO("reply ", static_cast<int>(kind), ", ", count, " operations fail from ", from, ", ", id);
          const std::vector<std::string>& statuses = relay.statuses[id];
          CHECK(agree(statuses));
          if (relay.answers[id] == Answer::Kind::kAccepted) CHECK_FALSE(statuses.empty());
        }
      }
      CHECK(from > 8);  // at least two records for each of the three requests
    }
  }
}
