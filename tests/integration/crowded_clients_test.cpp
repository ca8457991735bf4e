// Clients that fill what the relay has for them: the real program, held by a gate where bytes cross an
// eviction (lab/gate.h), or at the end of its descriptors while discovery is down.
#include <doctest/doctest.h>
#include <sys/resource.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "lab/gated_site.h"

using namespace myrtleloft::lab;

namespace {

namespace fs = std::filesystem;

std::size_t descriptorsOf(pid_t pid) {
  const auto begin = fs::directory_iterator("/proc/" + std::to_string(pid) + "/fd");
  return static_cast<std::size_t>(std::distance(fs::begin(begin), fs::end(begin)));
}

void limitDescriptors(pid_t pid, rlim_t most) {
  rlimit limit{};
  ::prlimit(pid, RLIMIT_NOFILE, nullptr, &limit);
  limit.rlim_cur = std::min(most, limit.rlim_max);
  ::prlimit(pid, RLIMIT_NOFILE, &limit, nullptr);
}

// Clients that connect and say nothing, and come again whenever they are sent away.
class Crowd {
 public:
  Crowd(const std::string& address, std::size_t count) : address_(address), clients_(count) { turn(); }
  void turn() {
    for (auto& client : clients_)
      if (!client || client->take()) client = std::make_unique<RawClient>(address_);
  }

 private:
  std::string address_;
  std::vector<std::unique_ptr<RawClient>> clients_;
};

}  // namespace

// Forced: the request reaches the socket after the relay has seen that nothing waits there and before it
// closes it for a newcomer.
TEST_CASE(
    "a request on a connection as it is evicted is sent once more by its client, and is delivered once") {
  GatedSite site(MYRTLELOFT_GATED, R"("sockets":64,"disk_mb":1)");  // room for eight clients
  REQUIRE(site.start());
  const std::string& address = site.relay->address();
  RawClient client(address);
  client.send(postOf("first"));
  REQUIRE(site.until([&] { return client.has(" 202 "); }));
  client.in.clear();
  std::vector<std::unique_ptr<RawClient>> others;
  for (int i = 0; i < 7; ++i) others.push_back(std::make_unique<RawClient>(address));
  REQUIRE(site.until([&] { return site.counts("connections=8 "); }));
  site.gate.hold({Call::kPeek, When::kAfter, client.port()});
  RawClient newcomer(address);
  REQUIRE(site.until([&] { return site.gate.held(); }));
  client.send(postOf("crossing"));
  site.gate.open();
  REQUIRE(site.until([&] { return client.take(); }));
  CHECK(client.in == "");
  newcomer.send(postOf("crossing"));
  REQUIRE(site.until([&] { return newcomer.has(" 202 "); }));
  REQUIRE(site.until([&] { return site.endpoint.calls.size() == 2; }));
  CHECK(site.counts("requests=2 malformed=0 taken=2 "));
  CHECK(site.logHas("evicted=1"));
}

// Forced: at the connection limit, the rest of the longest open request reaches its socket after the relay
// has learned of a newcomer and before it makes room for it.
TEST_CASE("a request whose rest lies unread as room is made is answered, and a stalled one is rejected") {
  GatedSite site(MYRTLELOFT_GATED, R"("sockets":64,"disk_mb":1)");  // room for eight clients
  REQUIRE(site.start());
  const std::string& address = site.relay->address();
  const auto halfOf = [](const std::string& request) { return request.substr(0, request.size() / 2); };
  RawClient client(address);
  client.send(postOf("first"));
  REQUIRE(site.until([&] { return client.has(" 202 "); }));
  client.in.clear();
  const std::string request = postOf("unread");
  client.send(halfOf(request));
  const double halfSentMs = steadyMs();
  REQUIRE(site.until([&] { return steadyMs() > halfSentMs + 50; }));  // so that it is surely the longest open
  std::vector<std::unique_ptr<RawClient>> stalled;
  for (int i = 0; i < 7; ++i) {
    stalled.push_back(std::make_unique<RawClient>(address));
    stalled.back()->send(halfOf(postOf("stalled" + std::to_string(i))));
  }
  REQUIRE(site.until([&] { return site.counts("connections=8 "); }));
  const double openMs = steadyMs();
  REQUIRE(site.until([&] { return steadyMs() > openMs + 400; }));  // all requests have been open for 250 ms
  site.gate.hold({Call::kPoll, When::kBefore, Instant::kAnyPeer});
  REQUIRE(site.until([&] { return site.gate.held(); }));
  RawClient newcomer(address);
  newcomer.send(postOf("newcomer"));
  site.gate.hold({Call::kPoll, When::kAfter, Instant::kAnyPeer});
  REQUIRE(site.until([&] { return site.gate.held(); }));
  client.send(request.substr(halfOf(request).size()));
  site.gate.open();
  REQUIRE(site.until([&] { return client.take() || client.has(" 202 "); }));
  CHECK(client.has(" 202 "));
  REQUIRE(site.until([&] { return newcomer.has(" 202 "); }));
  REQUIRE(site.until([&] { return site.endpoint.calls.size() == 3; }));
  REQUIRE(site.until([&] {
    return std::any_of(stalled.begin(), stalled.end(), [](const auto& other) { return other->take(); });
  }));
  std::size_t rejected = 0;
  for (const auto& other : stalled) {
    other->take();
    if (other->has("HTTP/1.1 503 ") && other->has("Retry-After: ") && other->ended()) ++rejected;
    CHECK_FALSE(other->wasReset());
  }
  CHECK(rejected == 1);
  CHECK(site.counts("requests=3 malformed=0 taken=3 "));
  CHECK(site.logHas("evicted=1"));
}

// Forced: the list is learned while clients hold every descriptor that they can get.
TEST_CASE(
    "idle clients that fill the descriptors while discovery is down take nothing that its return needs") {
  limitDescriptors(0, 4096);
  for (const std::size_t sockets : {256, 1024}) {
    CAPTURE(sockets);
    GatedSite site(MYRTLELOFT_GATED, R"("sockets":)" + std::to_string(sockets) + R"(,"disk_mb":1)");
    site.directory.become(Directory::Mode::kDown);
    site.relay->start();
    REQUIRE(site.until([&] { return site.relay->ready(); }));
    limitDescriptors(site.relay->pid(), sockets);
    Crowd crowd(site.relay->address(), sockets);
    const auto until = [&](const std::function<bool()>& done) {
      return site.until([&] {
        crowd.turn();
        return done();
      });
    };
    const std::size_t room =
        sockets - 48 - sockets / 8 - 7;  // what clients get; see relay/component_options.cpp
    std::size_t most = 0;
    REQUIRE(until([&] { return (most = std::max(most, descriptorsOf(site.relay->pid()))) >= room; }));
    // Discovery is down, and the relay answers: what it cannot serve yet is refused with when to come back.
    std::unique_ptr<RawClient> client;
    const auto answer = [&](const std::string& id, const char* status) {
      return until([&] {
        most = std::max(most, descriptorsOf(site.relay->pid()));
        if (client && client->has(status)) return true;
        if (client && !client->take() && !client->has("\r\n\r\n")) return false;
        client = std::make_unique<RawClient>(site.relay->address());
        client->send(postOf(id));
        return false;
      });
    };
    REQUIRE(answer("down", " 503 "));
    CHECK(client->has("Retry-After: "));
    site.relay->signal(SIGHUP);
    REQUIRE(until([&] { return site.logHas("configuration reloaded"); }));
    site.directory.become(Directory::Mode::kUp);
    REQUIRE(until([&] { return site.directory.heard(); }));
    REQUIRE(answer("up", " 202 "));
    REQUIRE(until([&] { return site.endpoint.calls.size() == 1; }));
    CHECK(most <= sockets - 40);  // the crowd never had those
  }
}

// Forced: the client sends more than the relay may hold for all clients before it has read 20,000 answers.
TEST_CASE("a client that sends ahead without end is read no faster than it is answered") {
  GatedSite site(MYRTLELOFT_GATED, R"("sockets":256,"disk_mb":1,"memory_mb":16)");  // 4 MB for all clients
  REQUIRE(site.start());
  RawClient flood(site.relay->address()), good(site.relay->address());
  std::string ahead;
  while (ahead.size() < 6 * 1024 * 1024) ahead += "GET /up HTTP/1.1\r\n\r\n";
  std::size_t sent = 0, answers = 0;
  bool refused = false;
  REQUIRE(site.until([&] {
    for (int i = 0; i < 100; ++i) {
      sent += flood.send(ahead.substr(sent, 65536));
      flood.take();
    }
    refused = refused || flood.in.find(" 503 ") != std::string::npos;
    for (std::size_t at = flood.in.find("\r\n\r\n"); at != std::string::npos;
         at = flood.in.find("\r\n\r\n", at + 4))
      ++answers;
    flood.in.erase(0, flood.in.rfind("\r\n\r\n") == std::string::npos ? 0 : flood.in.rfind("\r\n\r\n") + 4);
    return refused || answers >= 20000;
  }));
  CHECK_FALSE(refused);
  good.send(postOf("good"));
  REQUIRE(site.until([&] { return good.has(" 202 "); }));
  // Its answers have no room any more and nobody reads them; the end waits for it no longer than it may.
  site.relay->signal(SIGTERM);
  int code = -1;
  REQUIRE(site.until([&] { return site.relay->ended(code); }));
  CHECK(code == 0);
}

// Forced: a request is read at a time at which draining may end, so that its answer is the last thing that
// the process does, and its client sends on in the instant in which the relay has shut its side behind it.
TEST_CASE("an answer written as draining ends is not reset by the end of the process") {
  GatedSite site(MYRTLELOFT_GATED);
  REQUIRE(site.start());
  // The batch of the first list is over: none is due that would take the request on before the end begins.
  REQUIRE(site.until([&] { return site.counts("batches=2 "); }));
  RawClient client(site.relay->address());
  site.relay->signal(SIGTERM);
  REQUIRE(site.until([&] { return site.logHas(": draining"); }));
  const double termMs = steadyMs();
  site.gate.hold({Call::kRecv, When::kAfter, client.port()});
  client.send(postOf("late"));
  REQUIRE(site.until([&] { return site.gate.held(); }));
  REQUIRE(site.until([&] { return steadyMs() > termMs + 2700; }));  // the relay's clock is past kQuiesceMs
  site.gate.hold({Call::kShutdown, When::kAfter, client.port()});
  REQUIRE(site.until([&] { return site.gate.held(); }));
  client.send("more");
  client.shut();
  site.gate.open();
  int code = -1;
  REQUIRE(site.until([&] { return site.relay->ended(code); }));
  CHECK(code == 0);
  REQUIRE(site.until([&] { return client.take(); }));
  CHECK(client.has("HTTP/1.1 503 "));
  CHECK(client.has("Retry-After: "));
  CHECK(client.ended());
}
