// 1,000 chosen points at which the real relay is killed, over a scripted day with all three classes and
// compaction running. Stand-ins for clients, endpoints and platform record each call; after the restarts
// every message that had its 202 must have its end, no charge is called twice where the first call may have
// run, no two attempts are out.
//
// 130 more points at which the disk fails instead, for some operations, at the last ten for 600 ms: new
// messages are refused with when to come back, what is held goes on and is not given up for the disk's sake,
// and by itself the relay takes on again.
//
//   kill_points_test RELAY [FIRST [COUNT]]     all points, or some; points are shared out over twelve
//   processes, which mostly wait
//
// The list is fixed: it follows from the point's number alone.
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "journal/recovery.h"
#include "lab/hub.h"
#include "lab/site.h"

namespace {

using namespace myrtleloft;
using lab::Hub;
namespace fs = std::filesystem;

constexpr int kPoints = 1000, kFaults = 130, kLongFaults = 10, kLanes = 12, kMessages = 44, kClients = 6,
              kPatienceMs = 15000;
// The module may give up one or two for reasons of its own.
constexpr std::size_t kUncalled = 2;
// Of a write, so much reaches the disk: nothing; into the length of a frame; into its check; into its
// payload.
constexpr std::array<int, 4> kTorn = {0, 6, 10, 200};

struct Point {
  int number = 0;
  bool fails() const { return number >= kPoints; }
  int failWith() const {
    constexpr std::array<int, 4> kErrors = {ENOSPC, EIO, EDQUOT, EROFS};
    return kErrors[static_cast<std::size_t>(number) % kErrors.size()];
  }
  bool failsLong() const { return number >= kPoints + kFaults - kLongFaults; }
  int failCount() const { return failsLong() ? 0 : 1 + number % 5; }
  int failMs() const { return failsLong() ? 600 : 0; }  // long enough for a hundred batches
  // The first two operations begin the first segment: without them it does not start, and says so.
  int killAt() const {
    return fails() ? 3 + (number - kPoints) * 2 : 1 + number / static_cast<int>(kTorn.size());
  }
  int torn() const { return kTorn[static_cast<std::size_t>(number) % kTorn.size()]; }
  // Every third point kills the restarted process in its recovery too, every sixth the one after it as well.
  int killAgainAt(int restart) const {
    if (fails() || number % 3 != 0 || restart > (number % 6 == 0 ? 2 : 1)) return 0;
    return 1 + number / 6 % 5;
  }
  // Every seventh point runs at the level `group`: syncs count as operations there.
  bool group() const { return number % 7 == 2; }
  // Every fifth point's restarts find the wall clock set back a day.
  int wallBackMs(int process) const { return number % 5 == 1 && process > 0 ? 86400000 : 0; }
};

// Quick batches, and more calls out at once.
std::string settings() {
  std::string text = lab::kSiteSettings;
  lab::replaceAll(text, "\"resolutionMs\":5.0", "\"resolutionMs\":1.0");
  lab::replaceAll(text, "\"callSlots\":7", "\"callSlots\":12");
  return text;
}
constexpr std::array<const char*, 3> kClasses = {"status-update", "caption-order", "billing-charge"};

class Round {
 public:
  Round(const Point& point, std::string relay) : point_(point), relay_(std::move(relay)) {}
  ~Round() {
    if (child_ > 0) kill();
    if (!folder_.empty()) fs::remove_all(folder_);
  }

  // "" where all went as it must.
  std::string run() {
    std::string name = (fs::temp_directory_path() / "kill-XXXXXX").string();
    if (!::mkdtemp(name.data())) return "no temporary folder";
    folder_ = name;
    fs::create_directory(folder_ / "state");
    platform_ = hub_.listen({[this](Hub::Id from, const lab::Message& m) { onPlatform(from, m); }, {}, {}});
    for (std::string& address : endpoints_)
      address = hub_.listen({[this](Hub::Id from, const lab::Message& m) { onCall(from, m); },
                             [this](Hub::Id from) { out_.erase(from); },
                             {}});
    start(0, point_.killAt());
    until([this] { return ready_ || dead(); });
    if (ready_)
      for (int i = 0; i < kClients; ++i) handIn();
    if (!until([this] { return dead() || !fault_.empty() || (enough() && ended()); }))
      return fail("the first process neither ends nor finishes");
    killed_ = child_ < 0;
    if (point_.fails() && killed_) return fail("a fault ended the process: " + std::to_string(status_));
    if (!killed_ && std::getenv("LAB_LOG")) tellCounters();
    if (child_ > 0) kill();
    for (int restart = 1;; ++restart) {
      restarts_ = restart;
      ready_ = false;
      start(restart, point_.killAgainAt(restart));
      // The last ends are recorded behind the platform's answers.
      if (!until([this] { return dead() || !fault_.empty() || (ready_ && ended() && empty()); }))
        return fail(ended() ? "still owed: " + stillOwed_ : missing());
      if (child_ > 0) break;
      if (point_.killAgainAt(restart) == 0) return fail("the restarted process ended by itself");
    }
    if (std::getenv("LAB_LOG")) tellCounters();
    // By the journal, or by the list of endpoints, which is kept from the start on.
    if (point_.fails() && log_.find(": cannot ") == std::string::npos) broken("no fault was met");
    if (point_.failsLong() && uncalled() > kUncalled)
      broken(std::to_string(uncalled()) + " were given up, and no endpoint was ever called with them");
    if (fault_.empty() && taken_.empty() && point_.killAt() > 40) fault_ = "nothing was taken on";
    return fault_.empty() ? "" : fail(fault_);
  }
  // For whoever looks at a point by hand.
  std::string summary() const {
    std::ostringstream text;
    text << "point " << point_.number << ": operation " << point_.killAt() << ", handed in " << next_
         << ", taken on " << taken_.size() << ", calls " << calls_.size() << ", delivered "
         << delivered_.size() << ", notices " << notices_.size() << ", restarts " << restarts_
         << ", given up uncalled " << uncalled() << (killed_ ? "" : ", not killed");
    return text.str();
  }

 private:
  std::string fail(const std::string& what) {
    return "point " + std::to_string(point_.number) + " (operation " + std::to_string(point_.killAt()) +
           ", " + std::to_string(point_.torn()) + " bytes): " + what + "\n" + log_;
  }

  // ---- the process ----
  void start(int process, int killAt) {
    const std::string config = (folder_ / "config.json").string();
    std::ofstream out(config);
    out << R"({"name":"n1","listen":"127.0.0.1:0","discovery":")" << platform_
        << R"(","seed":"5","limits":{"sockets":256,"disk_mb":0.0625},"known":)" << list() << R"(,"settings":)"
        << settings() << "}";
    out.close();
    std::array<int, 2> ends{};
    began_ = log_.size();
    log_ += "---- a process, killed at " + std::to_string(killAt) + "\n";
    if (::pipe2(ends.data(), O_CLOEXEC) != 0) return;
    const std::string state = "BALANCER_STATE=" + (folder_ / "state").string(),
                      file = "BALANCER_CONFIG=" + config;
    const std::string operatorFile = (folder_ / "operator.toml").string();
    // Compaction as often as there is anything to win.
    std::ofstream(operatorFile) << "[journal]\nsegment_kb = 4\nslice_kb = 16\nfree_percent = 100\n"
                                << (point_.group() ? "durability = \"group\"\n" : "");
    const std::string extra = "BALANCER_OPERATOR=" + operatorFile;
    const std::string at = "LAB_KILL_AT=" + std::to_string(killAt),
                      bytes = "LAB_TORN=" + std::to_string(point_.torn()),
                      back = "LAB_WALL_BACK=" + std::to_string(point_.wallBackMs(process));
    const bool fails = point_.fails() && process == 0;
    const std::string with = "LAB_FAIL_WITH=" + std::to_string(fails ? point_.failWith() : 0),
                      count = "LAB_FAIL_COUNT=" + std::to_string(point_.failCount()),
                      failMs = "LAB_FAIL_MS=" + std::to_string(point_.failMs());
    child_ = ::fork();
    if (child_ == 0) {
      ::dup2(ends[1], STDERR_FILENO);
      std::array<char*, 2> arguments = {relay_.data(), nullptr};
      std::array<const char*, 10> environment = {state.c_str(),  file.c_str(), at.c_str(),   bytes.c_str(),
                                                 extra.c_str(),  back.c_str(), with.c_str(), count.c_str(),
                                                 failMs.c_str(), nullptr};
      ::execve(relay_.c_str(), arguments.data(), const_cast<char* const*>(environment.data()));
      ::_exit(127);
    }
    ::close(ends[1]);
    hub_.adopt(ends[0], {{}, {}, [this](Hub::Id, std::string& text) {
                           log_ += std::exchange(text, "");
                           const std::size_t where = log_.find("listening on ", began_);
                           if (where == std::string::npos || log_.find('\n', where) == std::string::npos)
                             return;
                           address_ = log_.substr(where + 13, log_.find('\n', where) - where - 13);
                           ready_ = true;
                         }});
  }
  bool dead() {
    if (child_ > 0 && ::waitpid(child_, &status_, WNOHANG) == child_) child_ = -1;
    return child_ < 0;
  }
  void kill() {
    ::kill(child_, SIGKILL);
    ::waitpid(child_, nullptr, 0);
    child_ = -1;
  }

  // For whoever looks at a point by hand, with LAB_LOG set.
  void tellCounters() {
    ::kill(child_, SIGUSR1);
    hub_.run([] { return false; }, 100);
    std::cout << log_;
  }

  // ---- clients ----
  // With a failing disk, until twenty have been taken on after the first refusal.
  bool enough() const {
    if (!point_.fails()) return next_ >= kMessages;
    return refused_ > 0 ? taken_.size() >= takenBefore_ + 20 : taken_.size() >= 300;
  }
  void handIn() {
    if (enough()) return;
    const int number = next_++;
    const std::string id = "m" + std::to_string(number);
    const std::string body(400 + static_cast<std::size_t>(number) * 37 % 900, 'b');
    std::ostringstream text;
    text << "POST /" << kClasses[static_cast<std::size_t>(number) % 3] << " HTTP/1.1\r\nX-Request-ID: " << id
         << "\r\nX-Timeout: 9\r\nIdempotency-Key: k" << number
         << "\r\nX-Addressing: dest=7\r\nContent-Length: " << body.size() << "\r\n\r\n"
         << body;
    const Hub::Id client = hub_.connect(address_, {[this, id](Hub::Id from, const lab::Message& m) {
                                                     hub_.close(from);
                                                     onAnswer(id, m);
                                                     handIn();
                                                   },
                                                   {},
                                                   {}});
    hub_.send(client, text.str());
  }

  void onAnswer(const std::string& id, const lab::Message& m) {
    if (m.start.find(" 202 ") != std::string::npos) {
      taken_.insert(id);
    } else if (m.start.find(" 503 ") == std::string::npos) {
      broken(id + " is answered " + m.start);
    } else {
      if (refused_++ == 0) takenBefore_ = taken_.size();
      if (m.header("retry-after").empty()) broken(id + " is refused without word of when to come back");
    }
  }

  // ---- endpoints ----
  // What the endpoint does with a message's first call; later ones are answered with 200.
  enum class First { kGood, kError, kFull, kReset };
  static First firstOf(const std::string& id) {
    const int number = std::atoi(id.c_str() + 1);
    return number % 11 == 3   ? First::kError
           : number % 11 == 5 ? First::kFull
           : number % 11 == 8 ? First::kReset
                              : First::kGood;
  }
  void onCall(Hub::Id from, const lab::Message& m) {
    const std::string id = m.header("x-request-id");
    if (m.start != "POST /inbox HTTP/1.1" || id.empty()) return broken("an odd call: " + m.start);
    const bool charge = std::atoi(id.c_str() + 1) % 3 == 2;
    // The end of an earlier call may stand in the same turn, behind this one.
    for (const auto& [other, called] : out_)
      if (called == id && !hub_.gone(other)) return broken(id + " is out twice at once");
    if (charge && mayHaveRun_.count(id))
      return broken(id + ", a charge, is called after a call that may have run");
    if (notices_.count(id)) return broken(id + " is called after its notice");
    out_[from] = id;
    const First first = calls_[id]++ == 0 ? firstOf(id) : First::kGood;
    if (first != First::kFull) mayHaveRun_.insert(id);
    // Every fifth is slow: it is held while others come and go, and so has to be carried over.
    held_.push_back({from, id, first, turn_ + (std::atoi(id.c_str() + 1) % 5 == 0 ? 40u : 2u)});
  }
  // Answers the calls whose turn has come: some are always out when the process ends.
  void answerCalls() {
    ++turn_;
    for (const Held& call : std::exchange(held_, {})) {
      if (call.due > turn_) {
        held_.push_back(call);
        continue;
      }
      const bool there = out_.erase(call.from) > 0;
      if (call.first == First::kReset) {
        hub_.close(call.from, true);
        continue;
      }
      const char* answer = call.first == First::kGood    ? "200 OK"
                           : call.first == First::kError ? "500 Error"
                                                         : "503 Full";
      hub_.send(call.from, std::string("HTTP/1.1 ") + answer + "\r\nContent-Length: 0\r\n\r\n");
      if (there && call.first == First::kGood) delivered_.insert(call.id);
    }
  }

  // ---- discovery and platform ----
  std::string list() const {
    std::string text = R"({"rev":1,"all":true,"targets":[)";
    for (std::size_t i = 0; i < endpoints_.size(); ++i)
      text += std::string(i ? "," : "") + R"({"uid":"E)" + std::to_string(i) + R"(","endpoint":")" +
              endpoints_[i] +
              R"(","az":"norte","model":"other","pod_group":7,"state":"active","capacity_hint":1000.0,)"
              R"("boot_ms":0})";
    return text + "]}";
  }
  void onPlatform(Hub::Id from, const lab::Message& m) {
    if (m.start.find("&wait_ms=10000 ") != std::string::npos) return;  // a watch: nothing ever changes
    if (m.start.starts_with("GET /discovery/hosts")) {
      const std::string body = list();
      return hub_.send(
          from, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    std::istringstream lines(m.body);
    for (std::string line; std::getline(lines, line);) {
      const std::size_t at = line.find("\"ref\":\"") + 7;
      const std::string id = line.substr(at, line.find('"', at) - at);
      const std::string result = line.find("\"dead\"") != std::string::npos ? "dead" : "bounced";
      const auto [seen, fresh] = notices_.emplace(id, result);
      if (!fresh && seen->second != result) broken(id + " has two ends: " + seen->second + " and " + result);
    }
    hub_.send(from, "HTTP/1.1 204 No Content\r\n\r\n");
  }

  // ---- what must hold ----
  void broken(const std::string& what) {
    if (fault_.empty()) fault_ = what;
  }
  bool ended() const {
    if (!fault_.empty()) return true;
    for (const std::string& id : taken_)
      if (!delivered_.count(id) && !notices_.count(id)) return false;
    return true;
  }
  std::size_t uncalled() const {
    return static_cast<std::size_t>(std::count_if(
        notices_.begin(), notices_.end(), [&](const auto& notice) { return !calls_.count(notice.first); }));
  }
  std::string missing() const {
    std::string text = "no end has come for";
    for (const std::string& id : taken_)
      if (!delivered_.count(id) && !notices_.count(id)) text += " " + id;
    return text;
  }
  // The folder, read while the relay runs: whole, and nothing owed.
  bool empty() {
    PosixFiles files;
    const auto found = recover(files, (folder_ / "state").string());
    if (!found) return false;  // a segment went meanwhile
    if (!found->corruptions.empty()) broken("corruption without a fault: " + found->corruptions[0].file);
    stillOwed_.clear();
    for (const RecoveredRequest& request : found->pending)
      stillOwed_ += request.pending.id + " (" + std::to_string(request.pending.ambiguousAttempts.size()) +
                    " doubts, verdict " + std::to_string(static_cast<int>(request.pending.status)) +
                    ", calls " + std::to_string(calls_[request.pending.id]) + ") ";
    return found->pending.empty();
  }

  struct Held {
    Hub::Id from = 0;
    std::string id;
    First first = First::kGood;
    std::uint64_t due = 0;
  };

  // Turns the loop until that is so; false: not in time.
  template <typename Done>
  bool until(const Done& done) {
    return hub_.run(
        [&] {
          answerCalls();
          return done();
        },
        kPatienceMs);
  }

  const Point point_;
  std::string relay_;
  fs::path folder_;
  Hub hub_;
  std::string platform_, address_, log_, fault_, stillOwed_;
  std::array<std::string, 3> endpoints_;
  pid_t child_ = -1;
  bool ready_ = false, killed_ = false;
  int next_ = 0, restarts_ = 0, status_ = 0;  // the last: waitpid's
  std::size_t refused_ = 0, takenBefore_ = 0;
  std::set<std::string> taken_, delivered_, mayHaveRun_;
  std::map<std::string, std::string> notices_;
  std::map<std::string, int> calls_;
  std::map<Hub::Id, std::string> out_;
  std::vector<Held> held_;
  std::uint64_t turn_ = 0;
  std::size_t began_ = 0;  // where the log of the present process begins
};

int lane(const std::string& relay, int first, int end, int step) {
  int failed = 0;
  for (int number = first; number < end && failed < 3; number += step) {
    Round round({number}, relay);
    const std::string fault = round.run();
    if (step == 1) std::cout << round.summary() << std::endl;
    if (fault.empty()) continue;
    std::cerr << fault << std::endl;
    ++failed;
  }
  return failed;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  const int first = argc > 2 ? std::atoi(argv[2]) : 0;
  const int end = argc > 3 ? first + std::atoi(argv[3]) : argc > 2 ? first + 1 : kPoints + kFaults;
  if (end == first + 1) return lane(argv[1], first, end, 1);
  std::vector<pid_t> lanes;
  for (int i = 0; i < kLanes; ++i) {
    const pid_t child = ::fork();
    if (child == 0) ::_exit(lane(argv[1], first + i, end, kLanes) == 0 ? 0 : 1);
    lanes.push_back(child);
  }
  bool good = true;
  for (const pid_t child : lanes) {
    int status = 0;
    ::waitpid(child, &status, 0);
    good = good && WIFEXITED(status) && WEXITSTATUS(status) == 0;
  }
  std::cout << (good ? end - first : 0) << " kill and fault points passed" << std::endl;
  return good ? 0 : 1;
}
