#include "review/support/endpoint.h"

#include <utility>

namespace myrtleloft::review {
namespace {

// The ids of a bulk call's messages, in their order.
std::vector<std::string> bulkIds(const std::string& body) {
  const std::string mark = R"("id":")";
  std::vector<std::string> ids;
  for (std::size_t at = body.find(mark); at != std::string::npos; at = body.find(mark, at)) {
    at += mark.size();
    ids.push_back(body.substr(at, body.find('"', at) - at));
  }
  return ids;
}

std::string joined(const std::vector<std::string>& texts) {
  std::string all;
  for (const std::string& text : texts) all += (all.empty() ? "" : ",") + text;
  return all;
}

}  // namespace

Endpoint::Endpoint(lab::Hub& hub, Record& record, std::string uid, int destination)
    : hub_(hub), record_(record), uid_(std::move(uid)), destination_(destination) {
  onCall = [this](const Call& call) { accept(call); };
  address_ = hub.listen(
      {[this](lab::Hub::Id from, const lab::Message& message) { onMessage(from, message); }, {}, {}});
}

EndpointEntry Endpoint::entry(const std::string& state) const {
  return {uid_, address_, destination_, state};
}

void Endpoint::stop() {
  record_.write("endpoint " + uid_ + ": ends, its address refuses connections");
  hub_.refuse(address_);
}

void Endpoint::startAs(const std::string& uid, int destination) {
  uid_ = uid;
  destination_ = destination;
  record_.write("endpoint " + uid_ + ": starts at " + address_ + " for destination " +
                std::to_string(destination_));
  hub_.acceptAgain(address_);
}

void Endpoint::onMessage(lab::Hub::Id from, const lab::Message& message) {
  const std::size_t pathAt = message.start.find(' ') + 1;
  const std::string path = message.start.substr(pathAt, message.start.find(' ', pathAt) - pathAt);
  Call call{from, steadyMs(), path, destination_, {}, message};
  if (call.path != "/inbox" && call.path != "/inbox/bulk") {
    hub_.send(from, httpAnswer(call.path == "/alive" ? "200 OK" : "404 Not Found"));
    return;
  }
  if (call.path == "/inbox")
    call.ids = {message.header("x-request-id")};
  else
    call.ids = bulkIds(message.body);
  record_.write("endpoint " + uid_ + ": call " + joined(call.ids) + " on " + call.path + ", timeout " +
                message.header("x-timeout"));
  calls.push_back(call);
  onCall(call);
}

void Endpoint::answer(const Call& call, const std::string& status, const std::string& headers,
                      const std::string& body) {
  if (!hub_.open(call.connection)) return;
  record_.write("endpoint " + uid_ + ": answers " + joined(call.ids) + " with " + status);
  hub_.send(call.connection, httpAnswer(status, headers, body));
}

void Endpoint::accept(const Call& call) {
  std::string states;
  if (call.path == "/inbox/bulk")
    for (const std::string& id : call.ids)
      states += (states.empty() ? "[" : ",") + std::string(R"({"id":")") + id + R"(","state":"accepted"})";
  answer(call, "200 OK", "", states.empty() ? "" : states + "]");
}

void Endpoint::reset(const Call& call) {
  record_.write("endpoint " + uid_ + ": resets the connection of " + joined(call.ids));
  hub_.close(call.connection, true);
}

}  // namespace myrtleloft::review
