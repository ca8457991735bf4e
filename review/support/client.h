// A client as the protocol page has it: one request at a time on a connection, 400 ms for the answer.
//
//   Client client(hub, record);
//   client.submit(relay.listenAddress(), {.id = "9b1f03aa5c7e2d41", .requestClass = "status-update"});
//   client.status("9b1f03aa5c7e2d41");
//
// One thread; must outlive the hub's last turn.
#pragma once

#include <map>
#include <string>

#include "lab/hub.h"
#include "review/support/record.h"

namespace myrtleloft::review {

struct Submission {
  std::string id, requestClass;
  std::string tenant = "univ-costa";
  double timeoutS = 16;
  int destination = 7;
  std::string idempotencyKey = {};
  std::string extraHeaders = {};  // each with its line end
  std::string body = "{}";
};

// How a submission stands.
struct Submitted {
  static constexpr int kNoAnswer = 0;         // still waits
  static constexpr int kGaveUp = -1;          // no answer in 400 ms
  static constexpr int kConnectionLost = -2;  // ended without an answer

  int status = kNoAnswer;             // of the answer, or one of the above
  double sentMs = 0, answeredMs = 0;  // of the steady clock
  std::string retryAfter = {};
  lab::Hub::Id connection = 0;
};

class Client {
 public:
  static constexpr double kAnswerTimeoutMs = 400;

  Client(lab::Hub& hub, Record& record) : hub_(hub), record_(record) {}

  // Sends the request on a connection of its own, which stays open.
  void submit(const std::string& relay, const Submission& submission);
  // Sends the request on a connection that an earlier submission has opened.
  void submitOn(lab::Hub::Id connection, const Submission& submission);
  // Gives up what has had no answer for 400 ms; to be called with each turn of the hub.
  void turn();
  int status(const std::string& id) const { return submitted(id).status; }
  const Submitted& submitted(const std::string& id) const { return all_.at(id); }
  const std::map<std::string, Submitted>& all() const { return all_; }
  // Ends the connection of that submission.
  void close(const std::string& id) { hub_.close(all_.at(id).connection); }

 private:
  void onAnswer(lab::Hub::Id from, const lab::Message& message);
  void onClosed(lab::Hub::Id from);

  lab::Hub& hub_;
  Record& record_;
  std::map<std::string, Submitted> all_;
  std::map<lab::Hub::Id, std::string> waiting_;  // by connection: the id that waits for its answer
};

}  // namespace myrtleloft::review
