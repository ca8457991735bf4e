#include "lab/demo.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>
#include <utility>
#include <vector>

#include "lab/site.h"
#include "lab/stand_ins.h"

namespace myrtleloft::lab {
namespace {

namespace fs = std::filesystem;

constexpr std::array<const char*, 3> kClasses = {"status-update", "caption-order", "billing-charge"};
// An endpoint that must not be called any more, from a moment on.
struct Forbidden {
  const Endpoint* endpoint;
  double fromMs;
};

class Demo {
 public:
  Demo(const DemoOptions& options, std::ostream& out) : options_(options), out_(out) {}

  int run() {
    std::string name = (fs::temp_directory_path() / "myrtleloft-demo-XXXXXX").string();
    if (!::mkdtemp(name.data())) return told("no temporary folder");
    folder_ = name;
    Program relay(hub_, options_.program, folder_, config());
    relay_ = &relay;
    directory_.tell({a_.entry(), b_.entry(), c_.entry(), d_.entry(), e_.entry()});
    relay.start();
    if (!until([&] { return relay.ready(); }, 5000))
      return finish("the relay does not start:\n" + relay.log());
    startMs_ = steadyMs();
    say("serving at " + relay.address() + "; 2 endpoints for destination 7, 2 for 8, 1 for 9");
    at(0.15, [&] {
      directory_.tell({a_.entry("leaving"), b_.entry(), c_.entry(), d_.entry(), e_.entry()});
      forbid(a_);
      say("the directory tells that endpoint a drains");
    });
    at(0.25, [&] {
      // Where the demo has stood still, this follows on the step before at once.
      until([&] { return directory_.heard(); }, 5000);
      directory_.become(Directory::Mode::kSilent);
      say("the directory falls silent");
    });
    at(0.32, [&] {
      relay.kill();
      say("the relay is killed");
      relay.start();
      until([&] { return relay.ready(); }, 5000);
      say("... and is back: " + line("starting with the "));
    });
    at(0.55, [&] {
      directory_.tell({b_.entry(), d_.entry(), e_.entry(), f_.entry()});
      directory_.become(Directory::Mode::kUp);
      forbid(c_);
      say("the directory speaks again: a and c are gone, f is new for destination 8");
    });
    at(0.70, [&] {
      e_.status = 503;
      say("the one endpoint of destination 9 turns calls away");
    });
    at(0.80, [&] {
      e_.status = 200;
      say("... and takes them again");
    });
    double nextMs = startMs_, tellMs = startMs_ + 1000;
    const double untilMs = startMs_ + options_.seconds * 1000 * 0.9;
    until(
        [&] {
          for (; !script_.empty() && steadyMs() >= script_.front().first; script_.erase(script_.begin()))
            script_.front().second();
          for (; steadyMs() >= nextMs; nextMs += 1000 / options_.perSecond) handIn();
          for (; steadyMs() >= tellMs; tellMs += 1000) summary();
          return steadyMs() >= untilMs;
        },
        static_cast<int>(options_.seconds * 2000));
    const bool ended = until([&] { return owed() == 0; }, 20000);
    relay.signal(SIGTERM);
    int code = -1;
    const bool drained = until([&] { return relay.ended(code); }, 6000);
    table();
    if (!ended) return finish(std::to_string(owed()) + " messages taken on have no end");
    if (!drained || code != 0) return finish("the relay did not drain with exit code 0");
    for (const Forbidden& f : forbidden_)
      if (f.endpoint->callsSince(f.fromMs + options_.toldMs) > 0)
        return finish("endpoint " + f.endpoint->uid + " was called after it was told not to be");
    for (const std::string& id : charged_)
      if (runs_[id] > 1) return finish("a charge, " + id + ", was called twice");
    return finish("");
  }

 private:
  struct Tally {
    int handedIn = 0, taken = 0, delivered = 0, refused = 0, notices = 0, cut = 0;
  };

  template <typename Done>
  bool until(const Done& done, int mostMs) {
    return hub_.run(
        [&] {
          directory_.turn();
          return done();
        },
        mostMs);
  }
  void at(double share, std::function<void()> action) {
    script_.emplace_back(startMs_ + share * options_.seconds * 1000, std::move(action));
  }
  void forbid(const Endpoint& endpoint) { forbidden_.push_back({&endpoint, steadyMs()}); }
  void say(const std::string& text) {
    out_ << std::fixed << std::setprecision(1) << std::setw(6) << (steadyMs() - startMs_) / 1000 << " s  "
         << text << std::endl;
  }
  // The last line of the relay's log with that in it.
  std::string line(const std::string& part) const {
    const std::string& log = relay_->log();
    const std::size_t at = log.rfind(part);
    return at == std::string::npos ? "(nothing in its log)" : log.substr(at, log.find('\n', at) - at);
  }
  std::string config() const {
    std::string settings = kSiteSettings;
    return R"({"name":"demo","listen":"127.0.0.1:0","discovery":")" + directory_.address() +
           R"(","seed":"5","limits":{"sockets":256,"disk_mb":1},"settings":)" + settings + "}";
  }

  void handIn() {
    const int number = next_++, destination = 7 + number % 3;
    const std::string id = "demo" + std::to_string(number),
                      cls = kClasses[static_cast<std::size_t>(number / 3) % 3];
    if (cls == "billing-charge") charged_.insert(id);
    destinations_[id] = destination;
    ++tally_[destination].handedIn;
    auto answered = std::make_shared<bool>(false);
    Hub::Handler handler;
    handler.message = [this, id, destination, answered](Hub::Id from, const Message& m) {
      *answered = true;
      hub_.close(from);
      if (m.start.find(" 202 ") != std::string::npos) {
        taken_.insert(id);
        ++tally_[destination].taken;
        return;
      }
      ++tally_[destination].refused;
      ++reasons_[m.start.substr(m.start.find(' ') + 1) + ", come back in " + m.header("retry-after") + " s"];
    };
    handler.closed = [this, destination, answered](Hub::Id) {
      if (!std::exchange(*answered, true)) ++tally_[destination].cut;  // the relay was away; nothing is owed
    };
    hub_.send(
        hub_.connect(relay_->address(), handler),
        "POST /" + cls + " HTTP/1.1\r\nX-Request-ID: " + id + "\r\nX-Timeout: 6\r\nIdempotency-Key: " + id +
            "\r\nX-Addressing: dest=" + std::to_string(destination) + "\r\nContent-Length: 5\r\n\r\nhello");
  }

  // Sorts the calls that came since the last time.
  void count() {
    for (Endpoint* endpoint : {&a_, &b_, &c_, &d_, &e_, &f_}) {
      std::size_t& seen = seen_[endpoint];
      for (; seen < endpoint->calls.size(); ++seen) {
        const Endpoint::Call& call = endpoint->calls[seen];
        if (!call.run) continue;
        delivered_.insert(call.id);
        ++runs_[call.id];
      }
    }
  }
  std::size_t owed() {
    count();
    return static_cast<std::size_t>(std::count_if(taken_.begin(), taken_.end(), [&](const std::string& id) {
      return !delivered_.count(id) && !directory_.notices().count(id);
    }));
  }
  void summary() {
    const std::size_t open = owed();
    int refused = 0;
    for (const auto& [destination, t] : tally_) refused += t.refused;
    std::ostringstream text;
    text << "handed in " << next_ << ", taken on " << taken_.size() << ", delivered " << delivered_.size()
         << ", refused " << refused << ", ended by notice " << directory_.notices().size() << ", still owed "
         << open;
    say(text.str());
  }
  void table() {
    count();
    for (const std::string& id : taken_) {
      Tally& t = tally_[destinations_[id]];
      delivered_.count(id) ? ++t.delivered : directory_.notices().count(id) ? ++t.notices : 0;
    }
    out_ << "\ndestination  handed in  taken on  delivered  by notice  refused  no answer\n";
    for (const auto& [destination, t] : tally_)
      out_ << std::setw(11) << destination << std::setw(11) << t.handedIn << std::setw(10) << t.taken
           << std::setw(11) << t.delivered << std::setw(11) << t.notices << std::setw(9) << t.refused
           << std::setw(11) << t.cut << '\n';
    out_ << "\nendpoint  destination  calls\n";
    for (const Endpoint* e : {&a_, &b_, &c_, &d_, &e_, &f_})
      out_ << std::setw(8) << e->uid << std::setw(13) << e->destination << std::setw(7) << e->calls.size()
           << '\n';
    for (const auto& [reason, times] : reasons_) out_ << "\nrefused " << times << " times: " << reason;
    out_ << std::endl;
  }
  int told(const std::string& fault) {
    out_ << fault << std::endl;
    return 1;
  }
  int finish(const std::string& fault) {
    if (!folder_.empty()) fs::remove_all(folder_);
    if (!fault.empty()) return told("\nNot as it should be: " + fault);
    out_ << "\nEvery message taken on had its end; no call went where the list forbade it; no charge was "
            "called twice."
         << std::endl;
    return 0;
  }

  DemoOptions options_;
  std::ostream& out_;
  Hub hub_;
  Endpoint a_{hub_, "a", 7}, b_{hub_, "b", 7}, c_{hub_, "c", 8}, d_{hub_, "d", 8}, e_{hub_, "e", 9},
      f_{hub_, "f", 8};
  Directory directory_{hub_};
  Program* relay_ = nullptr;
  std::string folder_;
  double startMs_ = 0;
  std::vector<std::pair<double, std::function<void()>>> script_;
  std::vector<Forbidden> forbidden_;
  int next_ = 0;
  std::set<std::string> taken_, delivered_, charged_;
  std::map<std::string, int> destinations_, runs_, reasons_;
  std::map<int, Tally> tally_;
  std::map<const Endpoint*, std::size_t> seen_;
};

}  // namespace

int demo(const DemoOptions& options, std::ostream& out) { return Demo(options, out).run(); }

}  // namespace myrtleloft::lab
