// The relay's surroundings as stand-ins on loopback: a directory that can be down, slow, silent or lie, and
// start again, endpoints that record each call, and the relay's own process. They speak HTTP through
// lab/hub.h and share no code with the relay.
//
//   Hub hub;
//   Endpoint a(hub, "a", 7);
//   Directory directory(hub);
//   directory.tell({a.entry()});
//   Program relay(hub, "build/myrtleloft", folder, config);
//   relay.start();
//   hub.run([&] { return relay.ready(); }, 2000);
//
// One thread; each must outlive the hub's last turn.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "lab/answer_copies.h"
#include "lab/hub.h"

namespace myrtleloft::lab {

double steadyMs();

struct Entry {
  std::string uid, address, state = "active";  // "active", "leaving"; of changes also "left"
  int destination = 0;
  std::string zone = "norte", kind = "other";
  double capacity = 1000;  // the hint: calls a second
};

class Endpoint {
 public:
  struct Call {
    double atMs = 0;
    std::string id;
    bool run = false;  // else it was turned away
  };
  // Runs each call and answers 200, or turns it away with `status`.
  Endpoint(Hub& hub, std::string uid, int destination);

  Entry entry(const std::string& state = "active") const { return {uid, address, state, destination}; }
  // Answers what has waited, and from now on at once.
  void release();
  // Calls recorded from that moment on.
  std::size_t callsSince(double ms) const;

  const std::string uid;
  const int destination;
  std::string address;
  int status = 200;
  std::string headers = {};  // more lines of its answers, each with its end
  bool holds = false;        // answers wait for `release`
  std::vector<Call> calls;

 private:
  void answerTo(Hub::Id to);

  Hub& hub_;
  std::vector<Hub::Id> waiting_;
};

// Discovery, and the platform that takes notices at the same address.
class Directory {
 public:
  enum class Mode {
    kUp,
    kSilent,  // takes questions and answers none
    kSlow,    // each answer after `slowMs`
    kSpoilt,  // answers what is no list
    kDown     // refuses connections, and has closed what there were; what it takes as platform fails too
  };
  explicit Directory(Hub& hub);

  const std::string& address() const { return address_; }
  // The whole list from now on, with the next rev; watches out are answered with it. A watch is answered with
  // the whole list, too, at the end of its wait.
  void tell(std::vector<Entry> entries);
  // A rev of its own: backwards, too.
  void tell(std::vector<Entry> entries, std::int64_t rev);
  void become(Mode mode);
  // As a process that ends and is there again at once.
  void restart();
  // Answers what is due; to be called often.
  void turn();
  // Whether the present list was given as an answer, and the next question has come since.
  bool heard() const { return heard_; }
  Mode mode() const { return mode_; }
  // By id: "dead" or "bounced".
  const std::map<std::string, std::string>& notices() const { return notices_; }

  std::uint64_t copiesSent() const { return copies_.sent(); }
  int postsHung() const { return postsHung_; }

  double slowMs = 500;
  bool confirms = true;  // as platform; else notices that come get no answer
  int hangs = 0;         // as platform: so many of the next posts are neither taken nor answered
  // Writes answers a second time (lab/answer_copies.h); some posts are neither taken nor answered meanwhile.
  bool answersTwice = false;
  // Told of each line that the platform takes, also of one that was there before.
  std::function<void(const std::string& id, const std::string& result)> noticed;

 private:
  struct Asked {
    double dueMs = 0;  // no answer before this time
    std::int64_t after = -1;
    double waitsUntilMs = 0;  // a watch with nothing new is answered then
  };
  void onMessage(Hub::Id from, const Message& m);
  void onPost(Hub::Id from, const Message& m);
  void answerWith(Hub::Id to, const std::string& text);
  std::string list() const;

  Hub& hub_;
  std::string address_;
  Mode mode_ = Mode::kUp;
  std::vector<Entry> entries_;
  std::int64_t rev_ = 0;
  bool given_ = false, heard_ = false;  // of the present list
  std::map<Hub::Id, Asked> asked_;
  std::map<std::string, std::string> notices_;
  AnswerCopies copies_;
  std::int64_t answers_ = 0, posts_ = 0;
  int postsHung_ = 0;
};

// A relay's process, its log, and where it listens.
class Program {
 public:
  // `config`: the text of BALANCER_CONFIG's file; `folder` gets it and the state.
  Program(Hub& hub, std::string program, std::string folder, const std::string& config,
          const std::string& operatorFile = "");
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  void start();
  void signal(int number) const;
  // From now on nobody reads its log.
  void leaveLog() { hub_.close(logReader_); }
  // SIGKILL, and waits for it.
  void kill();
  // Whether it has ended; `code` is its exit code then, -1 after a signal.
  bool ended(int& code);
  bool ready() const { return !address_.empty(); }
  const std::string& address() const { return address_; }
  pid_t pid() const { return child_; }
  // Whether it keeps SIGHUP for itself: before, the signal would end it as it would any program.
  bool takesSignals() const;
  const std::string& log() const { return log_; }

  std::vector<std::pair<std::string, std::string>> environment;  // of the next process, beside its own
  std::vector<std::string> unsetVariables;  // that the next process does not get, though it would otherwise

 private:
  Hub& hub_;
  std::string program_, folder_, operatorFile_, address_, log_;
  std::size_t began_ = 0;
  Hub::Id logReader_ = 0;
  pid_t child_ = -1;
};

}  // namespace myrtleloft::lab
