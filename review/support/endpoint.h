// An endpoint as the protocol page has it: it records each call when the call's last byte has come, and
// answers as the test decides.
//
//   Endpoint endpoint(hub, record, "s-1", 7);
//   endpoint.onCall = [&](const Endpoint::Call& call) { endpoint.answer(call, "200 OK"); };
//
// One thread; must outlive the hub's last turn.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/hub.h"
#include "review/support/agent.h"
#include "review/support/record.h"

namespace myrtleloft::review {

class Endpoint {
 public:
  struct Call {
    lab::Hub::Id connection = 0;
    double atMs = 0;  // when its last byte came, of the steady clock
    std::string path;
    int destination = 0;           // of the endpoint that got it
    std::vector<std::string> ids;  // several only for a call to /inbox/bulk
    lab::Message message;
  };

  Endpoint(lab::Hub& hub, Record& record, std::string uid, int destination);

  EndpointEntry entry(const std::string& state = "active") const;
  // The process at this address ends: connections are reset and new ones refused.
  void stop();
  // Another process listens at this address: an endpoint with that uid, of that destination.
  void startAs(const std::string& uid, int destination);
  const std::string& address() const { return address_; }
  // Writes an answer on the call's connection and records it.
  void answer(const Call& call, const std::string& status, const std::string& headers = "",
              const std::string& body = "");
  // Answers 200; for a bulk call, `accepted` for each message.
  void accept(const Call& call);
  // Ends the call's connection without an answer.
  void reset(const Call& call);
  std::function<void(const Call&)> onCall;  // by default: `accept`
  std::vector<Call> calls;

 private:
  void onMessage(lab::Hub::Id from, const lab::Message& message);

  lab::Hub& hub_;
  Record& record_;
  std::string uid_, address_;
  int destination_;
};

}  // namespace myrtleloft::review
