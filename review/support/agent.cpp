#include "review/support/agent.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace myrtleloft::review {
namespace {

constexpr double kMaxWaitMs = 60000;  // the page's limit for one watch

// The number behind `name=` in a request line; `otherwise` if there is none.
double queryNumber(const std::string& requestLine, const std::string& name, double otherwise) {
  const std::size_t at = requestLine.find(name + "=");
  return at == std::string::npos ? otherwise : std::atof(requestLine.c_str() + at + name.size() + 1);
}

// The text of a member of a JSON object in one line; "" if there is none.
std::string textMember(const std::string& line, const std::string& name) {
  const std::string mark = "\"" + name + "\":\"";
  const std::size_t at = line.find(mark);
  if (at == std::string::npos) return "";
  const std::size_t from = at + mark.size();
  return line.substr(from, line.find('"', from) - from);
}

std::string toJson(const EndpointEntry& entry) {
  return R"({"uid":")" + entry.uid + R"(","endpoint":")" + entry.address + R"(","az":")" + entry.zone +
         R"(","model":")" + entry.kind + R"(","pod_group":)" + std::to_string(entry.destination) +
         R"(,"state":")" + entry.state + R"(","capacity_hint":)" + std::to_string(entry.capacityHint) +
         R"(,"boot_ms":0})";
}

std::string listJson(std::int64_t revision, bool whole, const std::vector<EndpointEntry>& entries) {
  std::string text = "{\"rev\":" + std::to_string(revision) + ",\"all\":" + (whole ? "true" : "false");
  text += ",\"targets\":[";
  for (std::size_t i = 0; i < entries.size(); ++i) text += (i ? "," : "") + toJson(entries[i]);
  return text + "]}";
}

bool same(const EndpointEntry& left, const EndpointEntry& right) { return toJson(left) == toJson(right); }

}  // namespace

std::string httpAnswer(const std::string& status, const std::string& headers, const std::string& body) {
  const std::string length = "Content-Length: " + std::to_string(body.size());
  return "HTTP/1.1 " + status + "\r\n" + headers + length + "\r\n\r\n" + body;
}

Agent::Agent(lab::Hub& hub, Record& record) : hub_(hub), record_(record) {
  address_ = hub.listen({[this](lab::Hub::Id from, const lab::Message& message) { onMessage(from, message); },
                         [this](lab::Hub::Id from) { watches_.erase(from); },
                         {}});
}

void Agent::setEndpoints(std::vector<EndpointEntry> entries) {
  ++revision_;
  for (const EndpointEntry& before : entries_) {
    const auto sameUid = [&](const EndpointEntry& entry) { return entry.uid == before.uid; };
    if (std::any_of(entries.begin(), entries.end(), sameUid)) continue;
    EndpointEntry left = before;
    left.state = "left";
    changes_.push_back({revision_, left});
  }
  for (const EndpointEntry& entry : entries) {
    const auto unchanged = [&](const EndpointEntry& before) { return same(entry, before); };
    if (std::none_of(entries_.begin(), entries_.end(), unchanged)) changes_.push_back({revision_, entry});
  }
  entries_ = std::move(entries);
  record_.write("discovery: list is now " + wholeList());
}

std::string Agent::wholeList() const { return listJson(revision_, true, entries_); }

std::string Agent::changesSince(std::int64_t revision) const {
  std::vector<EndpointEntry> changed;
  for (const Change& change : changes_)
    if (change.revision > revision) changed.push_back(change.entry);
  return listJson(revision_, false, changed);
}

void Agent::turn() {
  for (auto at = watches_.begin(); at != watches_.end();) {
    const auto& [from, watch] = *at;
    if (watch.after >= revision_ && steadyMs() < watch.untilMs) {
      ++at;
      continue;
    }
    hub_.send(from, httpAnswer("200 OK", "", watch.after < 0 ? wholeList() : changesSince(watch.after)));
    at = watches_.erase(at);
  }
}

void Agent::onMessage(lab::Hub::Id from, const lab::Message& message) {
  if (message.start.starts_with("GET /discovery/hosts")) {
    record_.write("discovery: " + message.start);
    const double waitMs = std::min(queryNumber(message.start, "wait_ms", 0), kMaxWaitMs);
    watches_[from] = {static_cast<std::int64_t>(queryNumber(message.start, "after", -1)),
                      steadyMs() + waitMs};
    return;
  }
  if (message.start.starts_with("POST /v1/outcomes")) {
    onNotices(from, message);
    return;
  }
  hub_.send(from, httpAnswer("404 Not Found"));
}

void Agent::onNotices(lab::Hub::Id from, const lab::Message& message) {
  std::istringstream lines(message.body);
  for (std::string line; std::getline(lines, line);) {
    if (line.empty()) continue;
    record_.write("notice: " + line);
    notices_.insert({textMember(line, "ref"), {steadyMs(), textMember(line, "result")}});
  }
  hub_.send(from, "HTTP/1.1 204 No Content\r\n\r\n");
}

std::vector<Notice> Agent::notices(const std::string& id) const {
  std::vector<Notice> found;
  const auto [from, to] = notices_.equal_range(id);
  for (auto at = from; at != to; ++at) found.push_back(at->second);
  return found;
}

}  // namespace myrtleloft::review
