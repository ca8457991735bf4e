// The real program ended at the instants between a request's steps: SIGKILL while it is held in the system
// call, or SIGTERM there and on its way again. What was taken on has its end in either case, and none is
// called twice where its class forbids it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <array>
#include <csignal>
#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "lab/gated_site.h"
#include "lab/hand_endpoint.h"

using namespace myrtleloft::lab;

namespace {

enum class At { kTaken, kPromised, kCall, kCalled, kAnswered };

struct Step {
  At at;
  const char* name;
  bool ran;  // the endpoint has the whole call by then
};
constexpr std::array<Step, 5> kSteps = {{{At::kTaken, "recorded, before the 202", false},
                                         {At::kPromised, "the 202 is written, no byte of the call", false},
                                         {At::kCall, "before the call's first byte", false},
                                         {At::kCalled, "the call is written", true},
                                         {At::kAnswered, "its answer is read, no outcome recorded", true}}};
constexpr std::array<const char*, 3> kClasses = {"status-update", "caption-order", "billing-charge"};

class Ended {
 public:
  Ended(const Step& step, const char* cls)
      : site(MYRTLELOFT_GATED), endpoint(site.hub), once_(cls == kClasses[2]) {
    site.directory.tell({endpoint.entry()});
    REQUIRE(site.start());
    REQUIRE(site.until([&] { return site.counts(" commits=1 "); }));  // the next process knows the endpoint
    client.emplace(site.relay->address());
    site.gate.hold(instantOf(step.at, client->port()));
    client->send(postTo(cls, "m"));
    REQUIRE(site.until([&] {
      if (step.at == At::kAnswered && endpoint.calls.size() == 1 && !std::exchange(answered_, true))
        site.hub.send(endpoint.calls[0].from, kDelivered);
      return site.gate.held();
    }));
    if (step.ran) REQUIRE(site.until([&] { return endpoint.calls.size() == 1; }));
    CHECK(endpoint.calls.size() == (step.ran ? 1 : 0));
    CHECK(client->has(" 202 ") == (step.at != At::kTaken));
  }
  // The next process, from the same folder.
  void startAgain() {
    endpoint.answers = true;
    site.relay->start();
    REQUIRE(site.until([&] { return site.relay->ready(); }));
  }
  bool nothingOwed() {
    const std::size_t from = site.relay->log().size();
    startAgain();
    return site.until([&] { return site.relay->log().find(": serving", from) != std::string::npos; }) &&
           site.relay->log().find(": 0 pending requests recovered", from) != std::string::npos;
  }
  // Whether it was delivered or its notice came.
  bool over() const {
    return once_ ? site.directory.notices().count("m") > 0 : endpoint.callsOf("m") > before;
  }

  GatedSite site;
  HandEndpoint endpoint;
  std::optional<RawClient> client;
  std::size_t before = 0;  // calls by the first process

 private:
  Instant instantOf(At at, std::uint32_t client) const {
    switch (at) {
      case At::kTaken:
        return {Call::kSend, When::kBefore, client};
      case At::kPromised:
        return {Call::kSend, When::kAfter, client};
      case At::kCall:
        return {Call::kSend, When::kBefore, endpoint.port()};
      case At::kCalled:
        return {Call::kSend, When::kAfter, endpoint.port()};
      case At::kAnswered:
        return {Call::kRecv, When::kAfter, endpoint.port()};
    }
    return {};
  }
  bool once_, answered_ = false;
};

}  // namespace

// Forced: SIGKILL while the process stands in the system call that the step names.
TEST_CASE("killed between two steps, what was taken on has its end, and no charge is called again") {
  for (const Step& step : kSteps) {
    for (const char* cls : kClasses) {
      CAPTURE(std::string(step.name));
      CAPTURE(std::string(cls));
      Ended run(step, cls);
      run.before = run.endpoint.calls.size();
      run.site.relay->kill();
      run.site.gate.open();
      run.startAgain();
      const bool over = run.site.until([&] { return run.over(); });
      INFO(run.site.relay->log());
      REQUIRE(over);
      // Recorded as called: of a charge nobody knows any more that no byte was written.
      const bool once = cls == kClasses[2];
      CHECK(run.endpoint.callsOf("m") == run.before + (once ? 0 : 1));
      if (once) CHECK(run.site.directory.notices().at("m") == "dead");
      CHECK(run.site.until([&] { return run.site.counts(once ? "notices=1 " : "delivered=1 "); }));
    }
  }
}

// Forced: SIGTERM is pending when the process goes on from the system call.
TEST_CASE("told to end between two steps, it goes through all of them and leaves nothing owed") {
  for (const Step& step : kSteps) {
    for (const char* cls : kClasses) {
      CAPTURE(std::string(step.name));
      CAPTURE(std::string(cls));
      Ended run(step, cls);
      run.endpoint.answers = true;
      if (step.at == At::kCalled) run.site.hub.send(run.endpoint.calls[0].from, kDelivered);
      run.site.relay->signal(SIGTERM);
      run.site.gate.open();
      int code = -1;
      REQUIRE(run.site.until([&] { return run.site.relay->ended(code); }));
      CHECK(code == 0);
      CHECK(run.endpoint.callsOf("m") == 1);
      CHECK(run.site.directory.notices().empty());
      CHECK(run.nothingOwed());
    }
  }
}

// Forced: half a first line of an answer is read shortly before the process ends, and no more comes; a
// notice is posted and has no answer.
TEST_CASE("the end of draining with an answer half in and a notice posted: both are the next process's") {
  GatedSite site(MYRTLELOFT_GATED);
  HandEndpoint endpoint(site.hub);
  site.directory.tell({endpoint.entry()});
  REQUIRE(site.start());
  RawClient client(site.relay->address());
  const auto callOut = [&](const char* cls, const char* id) {
    const std::size_t calls = endpoint.calls.size();
    client.send(postTo(cls, id));
    REQUIRE(site.until([&] { return endpoint.calls.size() == calls + 1 && client.has(" 202 "); }));
    client.in.clear();
  };
  callOut(kClasses[2], "charge");
  callOut(kClasses[0], "status");
  callOut(kClasses[2], "reset");
  std::map<std::string, int> posted;
  site.directory.noticed = [&](const std::string& id, const std::string& result) {
    CHECK(result == "dead");
    ++posted[id];
  };
  site.directory.confirms = false;
  site.hub.close(endpoint.calls[2].from, true);
  REQUIRE(site.until([&] { return posted["reset"] > 0; }));
  site.relay->signal(SIGTERM);
  const double termMs = steadyMs();
  REQUIRE(site.until([&] { return steadyMs() > termMs + 2900; }));  // the rest has 500 ms, the end is at 3300
  for (int i : {0, 1}) site.hub.send(endpoint.calls[static_cast<std::size_t>(i)].from, "HTTP/1.1 20");
  int code = -1;
  REQUIRE(site.until([&] { return site.relay->ended(code); }));
  CHECK(code == 0);
  posted.clear();
  site.directory.confirms = true;
  endpoint.answers = true;
  site.relay->start();
  const bool both = site.until([&] { return endpoint.calls.size() == 4 && posted.size() == 2; });
  INFO(site.relay->log());
  CAPTURE(endpoint.calls.size());
  CAPTURE(posted.size());
  REQUIRE(both);
  CHECK(endpoint.callsOf("status") == 2);
  CHECK(posted["charge"] == 1);
  CHECK(posted["reset"] == 1);
  CHECK(site.until([&] { return site.counts("notices=2 "); }));
}

// Forced: the disk holds the sync that the 202 waits for until the process has nothing left to wait for.
TEST_CASE("group: a client whose promise no sync covers before the end is refused, and nothing is owed") {
  const std::string file = (std::filesystem::temp_directory_path() / "restart-gates.toml").string();
  std::ofstream(file) << "[journal]\ndurability = \"group\"\n[membership]\nkeep = false\n";
  GatedSite site(MYRTLELOFT_GATED, R"("sockets":256,"disk_mb":1)", file);
  REQUIRE(site.start());
  RawClient client(site.relay->address());
  site.gate.hold({Call::kFdatasync, When::kBefore, Instant::kAnyPeer});
  client.send(postTo(kClasses[0], "m"));
  REQUIRE(site.until([&] { return site.gate.held(); }));
  site.relay->signal(SIGTERM);
  CHECK(site.until([&] { return client.take(); }));
  CHECK(client.in.find("HTTP/1.1 503 ") == 0);
  site.gate.open();
  int code = -1;
  REQUIRE(site.until([&] { return site.relay->ended(code); }));
  CHECK(code == 0);
  const std::size_t from = site.relay->log().size();
  site.relay->start();
  REQUIRE(site.until([&] { return site.relay->log().find(": serving", from) != std::string::npos; }));
  CHECK(site.relay->log().find(": 0 pending requests recovered", from) != std::string::npos);
  CHECK(site.endpoint.calls.empty());
}

// Forced: SIGHUP moves discovery while one call is out and a notice is at the old address without an answer.
TEST_CASE(
    "a reload that moves discovery: the call out is seen to its end, the notice goes to the new address") {
  GatedSite site(MYRTLELOFT_GATED);
  HandEndpoint endpoint(site.hub);
  Directory next(site.hub);
  site.directory.tell({endpoint.entry()});
  next.tell({endpoint.entry()}, 9);
  REQUIRE(site.start());
  RawClient client(site.relay->address());
  for (const char* id : {"out", "reset"}) {
    const std::size_t calls = endpoint.calls.size();
    client.send(postTo(kClasses[2], id));
    REQUIRE(site.until([&] { return endpoint.calls.size() == calls + 1 && client.has(" 202 "); }));
    client.in.clear();
  }
  site.directory.confirms = false;
  site.hub.close(endpoint.calls[1].from, true);
  REQUIRE(site.until([&] { return site.directory.notices().count("reset") > 0; }));
  std::ifstream in(site.folder + "/config.json");
  std::string config{std::istreambuf_iterator<char>(in), {}};
  replaceAll(config, site.directory.address(), next.address());
  std::ofstream(site.folder + "/config.json") << config;
  site.relay->signal(SIGHUP);
  REQUIRE(site.until([&] {
    next.turn();
    return next.notices().count("reset") > 0;
  }));
  site.hub.send(endpoint.calls[0].from, kDelivered);
  CHECK(site.until([&] {
    next.turn();
    return site.counts("delivered=1 expired=0 dead=1 bounced=0 notices=1 ");
  }));
  CHECK(endpoint.calls.size() == 2);
}
