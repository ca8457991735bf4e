// Days of ever new endpoints, destinations, ids, keys and connections: whatever the module and the relay
// hold, they hold no more of it on the second day than in its first hours. Measured where all containers
// meet, at `operator new`, so that a container that somebody adds is covered as well.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <memory>
#include <new>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "discovery/discovery_client.h"
#include "exchange/request_manager.h"
#include "inbound/http_server.h"
#include "journal/files.h"
#include "lab/hand_clock.h"
#include "lab/hub.h"
#include "lab/module_site.h"

using namespace myrtleloft;
using lab::Hub;

namespace {

std::size_t liveBytes = 0;

void* counted(std::size_t bytes) {
  void* memory = std::malloc(bytes > 0 ? bytes : 1);
  if (!memory) throw std::bad_alloc();
  liveBytes += malloc_usable_size(memory);
  return memory;
}
void forgotten(void* memory) noexcept {
  if (memory) liveBytes -= malloc_usable_size(memory);
  std::free(memory);
}

}  // namespace

void* operator new(std::size_t bytes) { return counted(bytes); }
void* operator new[](std::size_t bytes) { return counted(bytes); }
void* operator new(std::size_t bytes, const std::nothrow_t&) noexcept { return counted(bytes); }
void* operator new[](std::size_t bytes, const std::nothrow_t&) noexcept { return counted(bytes); }
void operator delete(void* memory) noexcept { forgotten(memory); }
void operator delete[](void* memory) noexcept { forgotten(memory); }
void operator delete(void* memory, std::size_t) noexcept { forgotten(memory); }
void operator delete[](void* memory, std::size_t) noexcept { forgotten(memory); }

namespace {

constexpr double kHourMs = 3600e3, kDaysMs = 48 * kHourMs;

// The most that was held in the third and fourth hour, and in the last two.
class Growth {
 public:
  explicit Growth(std::size_t before) : before_(before) {}
  void look(double nowMs) {
    const std::size_t held = liveBytes - before_;
    if (nowMs >= 2 * kHourMs && nowMs < 4 * kHourMs) early = std::max(early, held);
    if (nowMs >= kDaysMs - 2 * kHourMs) late = std::max(late, held);
  }
  bool none() const { return late <= early + early / 20 + 2048; }
  std::size_t early = 0, late = 0;

 private:
  std::size_t before_;
};

// ---- the module alone ----
TEST_CASE("two days of new endpoints, destinations, ids and keys leave the module as small as it was") {
  for (const bool apart : {true, false}) {
    Settings settings = lab::moduleSettings(7);
    settings.kindHasSeparateLimits = {apart, apart};
    settings.orderHoldAfterAmbiguityMs = 500;
    settings.mayCancel = true;
    for (ClassSettings& c : settings.classes) c.orderedByKey = true;
    Growth growth(liveBytes);
    Dispatcher module(settings);
    std::vector<std::pair<double, Event>> due;
    std::vector<EndpointInfo> there;
    std::map<std::string, int> attempts;
    int number = 0;
    for (double now = 0; now < kDaysMs; now += 2000) {
      ++number;
      std::vector<Event> events;
      if (number % 10 == 1) {  // a new endpoint of a new destination; the oldest of eight goes
        EndpointListEvent list;
        there.push_back(
            {"e" + std::to_string(number), number % 2, number % 2, number, EndpointState::kRunning, 5});
        list.entries.push_back(there.back());
        if (there.size() > 8) {
          list.entries.push_back(there.front());
          list.entries.back().state = EndpointState::kRemoved;
          there.erase(there.begin());
        }
        events.emplace_back(std::move(list));
      }
      for (auto& [at, event] : std::exchange(due, {}))
        if (at <= now)
          events.push_back(std::move(event));
        else
          due.emplace_back(at, std::move(event));
      for (int i = 0; i < 3; ++i) {
        RequestEvent m;
        m.id = "m" + std::to_string(number) + "-" + std::to_string(i);
        m.classIndex = i;
        m.orderKey = "k" + m.id;
        // Now and then to a destination that no list ever named.
        m.destination =
            number % 50 == 0 ? -number : there[static_cast<std::size_t>(number) % there.size()].destination;
        m.deadlineMs = now + 16000;
        if (number % 40 == 0) due.emplace_back(now + 2000, ClientDisconnectEvent{m.id});
        events.emplace_back(std::move(m));
      }
      int draw = 0;
      for (const Action& action : module.onBatch(now, events))
        if (const auto* send = std::get_if<SendAction>(&action)) {
          OutcomeEvent o;
          o.id = send->id;
          o.endpoint = send->endpoint;
          o.attempt = attempts[send->id]++;
          o.outcome = static_cast<Outcome>((number + draw++) % 8);
          o.retryAfterMs = o.outcome == Outcome::kRejected ? 3000 : 0;
          o.completed = o.outcome == Outcome::kSuccess;
          due.emplace_back(now + 1000, std::move(o));
        }
      // Longer than any message lives.
      std::erase_if(attempts, [&](const auto& a) { return std::atoi(a.first.c_str() + 1) < number - 20; });
      growth.look(now);
    }
    CHECK_MESSAGE(growth.none(), "held " << growth.early << " bytes early, " << growth.late << " late");
    CHECK(module.endpointCount() < 40);
  }
}

// ---- all of the relay but its process ----
class Relay {
 public:
  explicit Relay(bool takesList) : files_{takesList} {
    outbound_.setListener(exchange_);
    notices_.onConfirmed([this](const std::string& id) { exchange_.onConfirmed(id); });
    REQUIRE(inbound_.open(*parseAddress("127.0.0.1:0"), error_));
    inbound_.setReady(true);
    auto found = journal_.open();
    REQUIRE(found);
    exchange_.recover(std::move(*found), membership_.begin({}, 0));
    watch_.start([this](EndpointListEvent event) { exchange_.onList(std::move(event)); });
  }

  ~Relay() { std::filesystem::remove_all(folder_); }

  // Five seconds: sockets have their turns before each step of the clock.
  void pass() {
    for (const double stepMs : {0.0, 5.0, 20.0, 75.0, 400.0, 1000.0, 1500.0, 2000.0}) {
      clock_.nowMs += stepMs;
      for (int i = 0; i < 4; ++i) {
        hub_.turn(0);
        loop_.after(0, [] {});
        loop_.runOnce();
      }
    }
  }
  void newEndpoint(int number) {
    there_.push_back(number);
    if (there_.size() > 6) there_.erase(there_.begin());
    ++rev_;
    tell();
  }
  void handIn(int number) {
    const int destination =
        number % 9 == 0 ? there_.front() - 100 : there_[static_cast<std::size_t>(number) % there_.size()];
    constexpr const char* kClasses[] = {"status-update", "caption-order", "billing-charge"};
    const std::string body(static_cast<std::size_t>(number % 700), 'b');
    const Hub::Id client = hub_.connect(inbound_.listening(), {[this](Hub::Id from, const lab::Message& m) {
                                                                 if (m.start.find(" 202 ") != m.start.npos)
                                                                   ++taken;
                                                                 hub_.close(from);
                                                               },
                                                               {},
                                                               {}});
    hub_.send(client, std::string("POST /") + kClasses[number % 3] + " HTTP/1.1\r\nX-Request-ID: m" +
                          std::to_string(number) + "\r\nIdempotency-Key: k" + std::to_string(number) +
                          "\r\nX-Timeout: 9\r\nX-Addressing: dest=" + std::to_string(destination) +
                          "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  double nowMs() const { return clock_.nowMs; }
  const Counters& counters() const { return counters_; }
  int taken = 0;

 private:
  static std::string newFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "days-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    return name;
  }
  EndpointDirectory::Options options() const {
    EndpointDirectory::Options o;
    o.cache.folder = folder_;
    o.cache.maxBytes = 100000;
    o.cache.names = lab::kNames;
    o.classes = lab::kThreeClasses;
    return o;
  }
  void tell() {
    if (asking_ == 0 || !hub_.open(asking_)) return;
    std::string body = "{\"rev\":" + std::to_string(rev_) + ",\"all\":true,\"targets\":[";
    for (const int number : there_)
      body += std::string(body.back() == '[' ? "" : ",") + R"({"uid":"u)" + std::to_string(number) +
              R"(","endpoint":")" + endpoint_ + R"(","az":"norte","model":"large","pod_group":)" +
              std::to_string(number) + R"(,"state":"active","capacity_hint":9,"boot_ms":0})";
    body += "]}";
    hub_.send(std::exchange(asking_, 0), answer("200 OK", body));
    told_ = rev_;
  }
  static std::string answer(const std::string& status, const std::string& body = "") {
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  void onPlatform(Hub::Id from, const lab::Message& m) {
    if (m.start.starts_with("POST")) return hub_.send(from, "HTTP/1.1 204 No Content\r\n\r\n");
    asking_ = from;
    if (told_ != rev_ || m.start.find("after=") == m.start.npos) tell();
  }
  void onCall(Hub::Id from) {
    switch (++calls_ % 7) {
      case 0:
        return hub_.send(from, answer("500 No"));
      case 1:
        return hub_.send(from, answer("429 No\r\nRetry-After: 1.5"));
      case 2:
        return hub_.close(from, true);
      case 3:
        return;  // no answer
      default:
        return hub_.send(from, answer("200 OK"));
    }
  }
  // The system's files, of which the list's may be refused.
  struct ListFiles : PosixFiles {
    explicit ListFiles(bool allowed) : takesList(allowed) {}
    Result<std::shared_ptr<OutFile>, FileError> create(const std::string& path) override {
      if (!takesList && path.find("members") != path.npos) return FileError{"create", path, EROFS};
      return PosixFiles::create(path);
    }
    bool takesList;
  };
  ListFiles files_;
  std::string folder_ = newFolder(), error_;
  Hub hub_;
  std::string endpoint_ = hub_.listen({[this](Hub::Id from, const lab::Message&) { onCall(from); }, {}, {}});
  std::string platformAddress_ =
      hub_.listen({[this](Hub::Id from, const lab::Message& m) { onPlatform(from, m); }, {}, {}});
  Address platform_ = *parseAddress(platformAddress_);
  Hub::Id asking_ = 0;
  int rev_ = 1, told_ = 0, calls_ = 0;
  std::vector<int> there_{1};
  lab::HandClock clock_;
  Loop loop_{clock_};
  lab::CountedShare share_;
  Counters counters_;
  std::ostream log_{nullptr};
  Journal journal_{{files_, clock_, log_}, {folder_, 300000, 0, {}, "the test", 5}};
  EndpointDirectory membership_{{files_, clock_, share_, counters_, log_}, options()};
  NotificationSender notices_{loop_, platform_, counters_, log_};
  UpstreamClient outbound_{loop_, counters_, {1500, {}}};
  RequestManager exchange_{{loop_, membership_, journal_, notices_, outbound_, counters_},
                           lab::moduleSettings(5)};
  DiscoveryClient watch_{{loop_, membership_, counters_, log_}, platform_, {lab::kNames, {}, {}, 5}};
  HttpServer inbound_{loop_, exchange_, counters_, {{"status-update", "caption-order", "billing-charge"}, {}},
                      8,     1 << 20};
};

TEST_CASE(
    "two days of new endpoints, destinations, ids, keys and connections leave the relay as small as it was") {
  for (const bool takesList : {true, false}) {
    const std::size_t before = liveBytes;
    {
      Growth growth(before);
      Relay relay(takesList);
      int number = 0;
      for (relay.pass(); relay.nowMs() < kDaysMs; relay.pass()) {
        ++number;
        relay.newEndpoint(1000 + number);
        relay.handIn(number);
        growth.look(relay.nowMs());
      }
      CHECK_MESSAGE(growth.none(), "held " << growth.early << " bytes early, " << growth.late << " late");
      // It was a test of something.
      CHECK(relay.taken > number / 2);
      CHECK(relay.counters().notifications > 100);
    }
  }
}

}  // namespace
