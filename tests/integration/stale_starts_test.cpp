// The real relay, started with a kept list while discovery is away, and discovery's return with news that
// contradict the list while messages are held and out. What must hold in each case: by the age of the list,
// what may not be wrong is refused, with when to come back; nothing is called that is known to drain, and
// from the news on nothing that is gone, has moved or serves another destination; each message taken on runs
// once.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "discovery/endpoint_cache.h"
#include "lab/hand_clock.h"
#include "lab/hub.h"
#include "lab/module_site.h"
#include "lab/site.h"
#include "lab/stand_ins.h"

namespace {

using namespace myrtleloft;
using namespace myrtleloft::lab;
namespace fs = std::filesystem;

constexpr int kPatienceMs = 20000, kSlots = 7;  // callSlots of kSiteSettings
constexpr std::int64_t kKeptRev = 41;
constexpr std::array<const char*, 3> kClasses = {"status-update", "caption-order", "billing-charge"};

double wallMsNow() {
  using Ms = std::chrono::duration<double, std::milli>;
  return Ms(std::chrono::system_clock::now().time_since_epoch()).count();
}

// What an earlier process would have left, had discovery last stood by the list so long ago.
void keep(const std::string& folder, const std::vector<Entry>& entries, double agoMs) {
  EndpointList list{kKeptRev, true, {}};
  for (const Entry& entry : entries) {
    EndpointRecord& e = list.endpoints.emplace_back();
    e.info.endpoint = entry.uid;
    e.info.destination = entry.destination;
    e.info.kind = 1;
    e.info.rating = 1000;
    e.info.state = entry.state == "leaving" ? EndpointState::kDraining : EndpointState::kRunning;
    e.address = parseAddress(entry.address).value();
  }
  HandClock clock;
  clock.wall = wallMsNow() - agoMs;
  EndpointTable set;
  PosixFiles files;
  CountedShare disk;
  EndpointCache kept({files, clock, disk, std::cerr}, {folder, 1 << 20, 5, kNames, {}});
  kept.markChanged(set.apply(list, ListUpdateKind::kSnapshot, clock.wallMs()).changedUids);
  kept.markConfirmed();
  while (kept.statistics().commits == 0) kept.step(set);
}

// A relay between clients, directories and endpoints of two destinations, 7 and 8.
struct Town {
  Town() {
    std::string name = (fs::temp_directory_path() / "stale-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()));
    folder = name;
    fs::create_directory(folder / "state");
    a.holds = b.holds = true;
  }
  ~Town() {
    relay.reset();
    fs::remove_all(folder);
  }
  // `seed`: of the decision module, which begins with other endpoints then.
  void start(const std::string& operatorText = "", std::size_t seed = 5) {
    const std::string operatorFile = operatorText.empty() ? "" : (folder / "operator.toml").string();
    if (!operatorText.empty()) std::ofstream(operatorFile) << operatorText;
    relay = std::make_unique<Program>(hub, MYRTLELOFT_PROGRAM, folder.string(),
                                      R"({"name":"n1","listen":"127.0.0.1:0","discovery":")" +
                                          directory.address() + R"(","seed":")" + std::to_string(seed) +
                                          R"(","limits":{"sockets":256,"disk_mb":1},"settings":)" +
                                          kSiteSettings + "}",
                                      operatorFile);
    relay->start();
    until("the relay listens", [this] { return relay->ready(); });
  }
  void until(const char* what, const std::function<bool()>& done) {
    const bool came = hub.run(
        [&] {
          directory.turn();
          second.turn();
          return done();
        },
        kPatienceMs);
    INFO(std::string(what) << ", calls a " << a.calls.size() << ", b " << b.calls.size() << "\n"
                           << (relay ? relay->log() : ""));
    REQUIRE(came);
  }
  bool said(const std::string& text) const { return relay->log().find(text) != std::string::npos; }
  // So many of a class, and all of their answers.
  void handIn(std::size_t cls, int destination, int count) {
    std::vector<std::string> ids;
    for (int i = 0; i < count; ++i) {
      const std::string id =
          std::to_string(destination) + "-" + kClasses.at(cls) + "-" + std::to_string(next++);
      ids.push_back(id);
      const Hub::Id client =
          hub.connect(relay->address(), {[this, id](Hub::Id, const Message& m) { answers[id] = m; }, {}, {}});
      hub.send(client, std::string("POST /") + kClasses.at(cls) + " HTTP/1.1\r\nX-Request-ID: " + id +
                           "\r\nX-Timeout: 16\r\nX-Addressing: dest=" + std::to_string(destination) +
                           "\r\nIdempotency-Key: " + id + "\r\nContent-Length: 5\r\n\r\nhello");
    }
    until("each is answered", [&] {
      return std::all_of(ids.begin(), ids.end(), [this](const std::string& id) { return answers.count(id); });
    });
  }
  bool taken(const std::string& id) const { return answers.at(id).start.find(" 202 ") != std::string::npos; }
  std::size_t takenOn() const {
    return static_cast<std::size_t>(
        std::count_if(answers.begin(), answers.end(), [this](const auto& at) { return taken(at.first); }));
  }
  std::map<std::string, int> runs() const {
    std::map<std::string, int> count;
    for (const Endpoint* e : all)
      for (const Endpoint::Call& call : e->calls) count[call.id] += call.run;
    return count;
  }
  std::size_t called() const {
    std::size_t sum = 0;
    for (const Endpoint* e : all) sum += e->calls.size();
    return sum;
  }
  // Every message taken on runs once, whatever its class: no call fails here, so none need come twice.
  void finish() {
    until("all taken on has run, or was given up",
          [this] { return runs().size() + directory.notices().size() >= takenOn(); });
    for (const auto& [id, result] : directory.notices()) FAIL_CHECK(id << " was given up: " << result);
    for (const auto& [id, count] : runs()) CHECK_MESSAGE(count == 1, id);
    for (const auto& [id, answer] : answers) {
      if (taken(id)) continue;
      CHECK_MESSAGE(answer.start.find(" 503 ") != std::string::npos, id);
      CHECK_MESSAGE(answer.headers.count("retry-after") == 1, id);
    }
    CHECK(drains.calls.empty());
  }

  fs::path folder;
  Hub hub;
  Endpoint a{hub, "a", 7}, b{hub, "b", 7}, c{hub, "c", 8}, drains{hub, "0", 7}, fresh{hub, "n", 7},
      elsewhere{hub, "a", 7};
  const std::vector<const Endpoint*> all{&a, &b, &c, &drains, &fresh, &elsewhere};
  Directory directory{hub}, second{hub};
  std::unique_ptr<Program> relay;
  std::map<std::string, Message> answers;
  int next = 0;
};

enum class News { kNone, kGone, kDrains, kMoved, kAddressReused, kUidReused, kEmpty };
constexpr std::array<const char*, 7> kNewsNames = {
    "all as it was",  "gone",         "drains", "moved", "its address is another's",
    "serves another", "an empty list"};

std::vector<Entry> listOf(const Town& town, News news) {
  std::vector<Entry> list = {town.b.entry(), town.c.entry(), town.drains.entry("leaving"),
                             town.fresh.entry()};
  Entry a = town.a.entry();
  switch (news) {
    case News::kEmpty:
      return {};
    case News::kGone:
      return list;
    case News::kNone:
      break;
    case News::kDrains:
      a.state = "leaving";
      break;
    case News::kMoved:
      a.address = town.elsewhere.address;
      break;
    case News::kAddressReused:
      a.uid = "x";
      a.destination = 8;
      break;
    case News::kUidReused:
      a.destination = 8;
  }
  list.push_back(a);
  return list;
}

// Whether by that news, and not before, `a` may be called with a message for that destination.
bool mayCallA(News news, const std::string& id) {
  if (news == News::kNone) return id.starts_with("7-");
  return (news == News::kAddressReused || news == News::kUidReused) && id.starts_with("8-");
}

struct Age {
  const char* name;
  double agoMs;
  const char* trust;
  std::array<bool, 3> accepted;  // by class
};
constexpr double kHourMs = 3600e3, kDayMs = 24 * kHourMs;
constexpr std::array<Age, 5> kAges = {{{"10 s", 10e3, "fresh", {true, true, true}},
                                       {"1 h", kHourMs, "fresh", {true, true, true}},
                                       {"1 day", kDayMs, "ageing", {true, true, false}},
                                       {"1 week", 7 * kDayMs, "old", {true, false, false}},
                                       {"a year ahead", -365 * kDayMs, "old", {true, false, false}}}};
constexpr std::array<Directory::Mode, 4> kAway = {Directory::Mode::kDown, Directory::Mode::kSilent,
                                                  Directory::Mode::kSpoilt, Directory::Mode::kSlow};

void play(const Age& age, News news, Directory::Mode away, std::size_t seed) {
  Town town;
  keep((town.folder / "state").string(),
       {town.a.entry(), town.b.entry(), town.c.entry(), town.drains.entry("leaving")}, age.agoMs);
  town.directory.slowMs = 1e9;
  town.directory.become(away);
  town.second.become(Directory::Mode::kDown);
  town.start("", seed);
  CHECK(town.said("starting with the cached list, rev 41, "));
  CHECK(town.said(std::string(", ") + age.trust + "\n"));

  // By the kept list: all slots taken, and more messages held.
  for (std::size_t cls = 0; cls < kClasses.size(); ++cls) {
    const std::size_t before = town.takenOn();
    town.handIn(cls, 7, 2 * kSlots);
    CHECK(town.takenOn() - before == (age.accepted.at(cls) ? 2 * kSlots : 0));
  }
  town.until("the slots are taken", [&] { return town.called() == kSlots; });
  CHECK(town.a.calls.size() > 0);

  town.directory.tell(listOf(town, news), kKeptRev + 1);
  if (away == Directory::Mode::kSpoilt)
    town.directory.restart();
  else
    town.directory.become(Directory::Mode::kUp);
  town.until("the news is taken in", [&] { return town.directory.heard(); });
  const std::size_t before = town.takenOn();
  for (std::size_t cls = 0; cls < kClasses.size(); ++cls)
    for (const int destination : {7, 8}) town.handIn(cls, destination, 3);
  CHECK(town.takenOn() - before == 18);  // the list is fresh

  // What was held until now goes by the news.
  const std::size_t mark = town.a.calls.size(), calledBefore = town.called();
  CHECK(town.takenOn() > calledBefore);
  town.a.release();
  town.b.release();
  if (news == News::kEmpty) {
    town.until("ten questions more", [&, asked = 0]() mutable {
      if (town.directory.heard()) town.directory.tell({}, kKeptRev + 2 + asked++);
      return asked == 10;
    });
    CHECK(town.called() == calledBefore);
    town.directory.tell(listOf(town, News::kNone), kKeptRev + 20);
  }
  town.finish();
  if (news != News::kEmpty)
    for (std::size_t i = mark; i < town.a.calls.size(); ++i)
      CHECK_MESSAGE(mayCallA(news, town.a.calls[i].id), town.a.calls[i].id);
  CHECK((town.elsewhere.calls.size() > 0) == (news == News::kMoved));
}

}  // namespace

TEST_CASE("the relay starts by a kept list of any age, and discovery comes back with any news") {
  for (std::size_t age = 0; age < kAges.size(); ++age)
    for (std::size_t news = 0; news < kNewsNames.size(); ++news) {
      const std::size_t away = (age + news) % kAway.size();
      INFO("the list is of " << std::string(kAges[age].name) << ", news: " << std::string(kNewsNames[news])
                             << ", directory " << away);
      play(kAges[age], static_cast<News>(news), kAway[away], age * kNewsNames.size() + news);
    }
}

TEST_CASE("a list that cannot be read, or none: nothing is called before discovery's first word") {
  for (const char* damage : {"none", "a bit flipped", "torn"}) {
    INFO(std::string(damage));
    Town town;
    const fs::path kept = town.folder / "state" / kCacheFileName;
    keep(kept.parent_path().string(), {town.a.entry(), town.b.entry()}, 10e3);
    if (*damage == 'n') fs::remove(kept);
    if (*damage == 't') fs::resize_file(kept, fs::file_size(kept) - 3);
    if (*damage == 'a') {
      std::fstream file(kept, std::ios::in | std::ios::out | std::ios::binary);
      file.seekg(static_cast<std::streamoff>(fs::file_size(kept) / 2));
      const char byte = static_cast<char>(file.get() ^ 4);
      file.seekp(static_cast<std::streamoff>(fs::file_size(kept) / 2));
      file.put(byte);
    }
    town.directory.become(Directory::Mode::kDown);
    town.second.become(Directory::Mode::kDown);
    town.start();
    CHECK(town.said("the cached list is not used") == (*damage != 'n'));
    for (std::size_t cls = 0; cls < kClasses.size(); ++cls) town.handIn(cls, 7, 3);
    CHECK(town.called() == 0);
    town.a.release();
    town.b.release();
    town.directory.tell(listOf(town, News::kGone), 1);
    town.directory.become(Directory::Mode::kUp);
    town.until("the list is taken in", [&] { return town.directory.heard(); });
    for (std::size_t cls = 0; cls < kClasses.size(); ++cls) town.handIn(cls, 7, 3);
    town.finish();
    CHECK(town.takenOn() >= 9);
    CHECK(town.a.calls.empty());
  }
}

TEST_CASE(
    "directories that contradict each other: the one that lags behind is not believed while the list is "
    "fresh") {
  Town town;
  town.a.release();
  town.b.release();
  town.directory.tell({town.a.entry()}, 50);
  town.second.tell({town.elsewhere.entry()}, 40);  // the same uid, where it was before
  town.start("[membership]\ndirectories = [\"" + town.second.address() + "\"]\nback_off_ms = 10\n");
  town.until("the first is believed", [&] { return town.directory.heard(); });
  town.directory.become(Directory::Mode::kDown);
  town.until("the second is doubted",
             [&] { return town.said("directory 1 sent revision 40, older than revision 50 of another"); });
  town.handIn(2, 7, 5);
  town.until("the five run", [&] { return town.a.calls.size() == 5; });
  CHECK(town.elsewhere.calls.empty());

  town.second.tell({town.elsewhere.entry()}, 51);
  town.until("the second is believed, being ahead", [&] { return town.second.heard(); });
  town.handIn(2, 7, 5);
  town.until("five more run", [&] { return town.elsewhere.calls.size() == 5; });
  CHECK(town.a.calls.size() == 5);

  town.second.become(Directory::Mode::kDown);
  town.directory.tell({town.a.entry()}, 45);  // restored from a backup
  town.directory.become(Directory::Mode::kUp);
  town.until("now the first is doubted",
             [&] { return town.said("directory 0 sent revision 45, older than revision 51 of another"); });
  town.handIn(2, 7, 5);
  town.until("the last five run", [&] { return town.elsewhere.calls.size() == 10; });
  CHECK(town.a.calls.size() == 5);
  town.finish();
}
