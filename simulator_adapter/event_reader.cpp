#include "simulator_adapter/event_reader.h"

#include <map>
#include <utility>

#include "simulator_adapter/wire_names.h"

namespace myrtleloft::wire {
namespace {

Outcome readOutcome(std::string_view text) {
  static const std::map<std::string_view, Outcome> kOutcomes = {
      {"GOOD", Outcome::kSuccess},  {"BAD", Outcome::kFailure},          {"FULL", Outcome::kRejected},
      {"LATE", Outcome::kTimeout},  {"NOCONN", Outcome::kConnectFailed}, {"RST", Outcome::kReset},
      {"CXL", Outcome::kCancelled}, {"NOP", Outcome::kNotSent}};
  const auto found = kOutcomes.find(text);
  if (found == kOutcomes.end()) throw WireError("unknown outcome " + quoted(text));
  return found->second;
}

EndpointState readState(std::string_view text) {
  if (text == "Running") return EndpointState::kRunning;
  if (text == "Stopping") return EndpointState::kDraining;
  if (text == "Deleted") return EndpointState::kRemoved;
  throw WireError("unknown state " + quoted(text));
}

ListUpdateKind readListKind(std::string_view text) {
  if (text == "diff") return ListUpdateKind::kDelta;
  if (text == "snapshot") return ListUpdateKind::kSnapshot;
  if (text == "disk") return ListUpdateKind::kCached;
  if (text == "error") return ListUpdateKind::kError;
  throw WireError("unknown list kind " + quoted(text));
}

RequestEvent readRequest(const Fields& fields, const std::vector<ClassSettings>& classes) {
  RequestEvent event;
  event.id = fields.text(kRequestId);
  event.classIndex = static_cast<int>(fields.integerOr("type", 0));
  event.tenant = static_cast<int>(fields.integerOr("clientGroup", 0));
  event.orderKey = fields.textOr("item", "");
  event.deadlineMs = fields.number("notAfterMs");
  event.effortMs = fields.numberOr("effortMs", 0);
  event.destination = fields.integerOr("destination", 0);
  event.isRetry = fields.flag("isRetry");
  const auto classIndex = static_cast<std::size_t>(event.classIndex);
  if (fields.flag("reconnect") && classIndex < classes.size())
    if (const auto attempt = attemptByAnotherRelay(classes[classIndex], event.deadlineMs))
      event.ambiguousAttempts.push_back(*attempt);
  return event;
}

LoadReport readReport(const std::vector<std::string>& columns, const Fields& fields) {
  LoadReport report;
  const std::vector<std::string_view> values = commaList(fields.textOr("feedback", ""));
  for (std::size_t i = 0; i < values.size() && i < columns.size(); ++i) {
    if (values[i].empty()) continue;
    const double value = finiteNumber(values[i]);
    if (columns[i] == "x1") report.limitPerSecond = value;
  }
  return report;
}

OutcomeEvent readAttemptOutcome(const Fields& fields, const std::vector<std::string>& reportColumns) {
  OutcomeEvent event;
  event.id = fields.text(kRequestId);
  event.attempt = static_cast<int>(fields.integerOr(kAttempt, 0));
  event.endpoint = fields.text(kEndpoint);
  event.outcome = readOutcome(fields.text("reason"));
  event.completed = fields.flag("ended");
  event.retryAfterMs = fields.integerOr("detail", 0);
  event.report = readReport(reportColumns, fields);
  return event;
}

TimerEvent readTimer(const Fields& fields) {
  const auto token = parseNumber<decltype(TimerEvent::token)>(fields.text(kTimerToken));
  if (!token) throw WireError("malformed keyBack");
  TimerEvent event;
  event.token = *token;
  return event;
}

EndpointListEvent readEndpointList(const Fields& fields, const EndpointSheets& sheets) {
  EndpointListEvent event;
  event.kind = readListKind(fields.text("kind"));
  if (event.kind == ListUpdateKind::kError) return event;
  const std::vector<EndpointInfo>* endpoints = sheets.find(fields.integer("ref"));
  if (!endpoints) throw WireError("PEERS_KNOWN names an unknown SHEET");
  event.entries = *endpoints;
  return event;
}

}  // namespace

const std::vector<EndpointInfo>* EndpointSheets::find(std::int64_t number) const {
  if (!isNumber(number)) return nullptr;
  const auto& sheet = sheets_.at(static_cast<std::size_t>(number));
  return sheet ? &*sheet : nullptr;
}

EndpointInfo readEndpoint(const Fields& fields) {
  EndpointInfo endpoint;
  endpoint.endpoint = fields.text(kEndpoint);
  endpoint.zone = static_cast<int>(fields.integerOr("zone", 0));
  endpoint.kind = static_cast<int>(fields.integerOr("hw", 0));
  endpoint.destination = fields.integerOr("dest", 0);
  endpoint.state = readState(fields.textOr("stageState", "Running"));
  endpoint.rating = fields.numberOr("rating", 1);
  return endpoint;
}

// For an event with two errors, the order of reading the instance and the event's own fields decides which is
// reported.
void readEvent(std::string_view name, const Fields& fields, const EndpointSheets& sheets,
               InstanceTable& instances) {
  if (name == "QUERY") {
    Instance& instance = instances.select(fields);
    instance.events.emplace_back(readRequest(fields, instance.classes));
  } else if (name == "RETURNED") {
    Instance& instance = instances.select(fields);
    instance.events.emplace_back(readAttemptOutcome(fields, instance.reportColumns));
  } else if (name == "DEADLINE_HIT") {
    const TimerEvent event = readTimer(fields);
    instances.select(fields).events.emplace_back(event);
  } else if (name == "PEERS_KNOWN") {
    EndpointListEvent event = readEndpointList(fields, sheets);
    instances.select(fields).events.emplace_back(std::move(event));
  } else if (name == "HANGUP") {
    Instance& instance = instances.select(fields);
    instance.events.emplace_back(ClientDisconnectEvent{std::string(fields.text(kRequestId))});
  } else if (name == "STREAMING" || name == "NOTE_FROM" || name == "PROBE_RESULT") {
    instances.select(fields);  // the decision module does not use streams, health checks or peers
  } else {
    throw WireError("unknown event " + quoted(name));
  }
}

}  // namespace myrtleloft::wire
