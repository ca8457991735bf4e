#include "outbound/answers.h"

#include <cereal/external/base64.hpp>
#include <charconv>
#include <cmath>
#include <optional>

#include "json/json.h"

namespace myrtleloft {
namespace {

std::optional<double> decimal(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

// Seconds on the socket, whole milliseconds in the module: rounded up, or the wait would end early.
std::int64_t waitMs(const HttpMessage& answer) {
  const std::string* text = answer.header("Retry-After");
  const auto seconds = text ? decimal(*text) : std::nullopt;
  return seconds && *seconds > 0 && *seconds < 1e6 ? static_cast<std::int64_t>(std::ceil(*seconds * 1000))
                                                   : 0;
}

CallOutcome outcomeOfState(const std::string& id, const std::string& state, std::int64_t wait) {
  if (state == "accepted") return {id, Outcome::kSuccess, true, wait};
  if (state == "deferred") return {id, Outcome::kRejected, false, wait};
  if (state == "expired") return {id, Outcome::kNotSent, true, 0};
  if (state == "no_more") return {id, Outcome::kNotSent, false, 0};
  return {id, Outcome::kFailure, false, wait};  // "fault", and whatever cannot be read: it may have run
}

}  // namespace

std::string base64(std::string_view bytes) {
  return cereal::base64::encode(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size());
}

std::string writeBulk(const std::vector<CallItem>& items) {
  std::string out = "[";
  for (const CallItem& item : items) {
    if (out.size() > 1) out += ',';
    out += R"({"id":)" + json::quote(item.id);
    if (!item.key.empty()) out += R"(,"key":)" + json::quote(item.key);
    out += R"(,"body":")" + base64(item.body) + R"("})";
  }
  return out += ']';
}

CallOutcome readAnswer(const HttpMessage& answer) {
  const std::int64_t wait = waitMs(answer);
  switch (answer.status) {
    case 200:
      return {"", Outcome::kSuccess, true, wait};
    case 429:
      return {"", Outcome::kRejected, false, wait};
    case 503:
      if (const std::string* over = answer.header("X-Over-Slots"); over && *over == "1")
        return {"", Outcome::kNotSent, false, 1};
      return {"", Outcome::kRejected, false, wait};
    case 410:
      return {"", Outcome::kNotSent, true, 0};
    case 400:  // unreadable, or more than one call may hold: nothing of it has run
    case 413:
    case 504:
      return {"", Outcome::kNotSent, false, 0};
    default:
      return {"", Outcome::kFailure, false, wait};
  }
}

// Its status may be as wrong as the rest: taken at its word, a 503 would send a charge again that has run.
// Only a first line with 200 stands, for the message was delivered once it was written; it speaks for one
// message alone.
CallOutcome readInvalidAnswer(const HttpMessage& begun, bool bulk) {
  if (begun.status == 200 && !bulk) return readAnswer(begun);
  return {"", Outcome::kFailure, false, waitMs(begun)};
}

std::vector<CallOutcome> readBulkAnswer(const HttpMessage& answer, const std::vector<CallItem>& items) {
  std::vector<CallOutcome> outcomes;
  std::string error;
  const auto ends = json::parse(answer.body, error);
  const std::int64_t wait = waitMs(answer);
  for (const CallItem& item : items) {
    std::string state;
    if (ends)
      for (const json::Value& end : ends->items)
        if (end.string("id") == item.id) state = end.string("state").value_or("");
    outcomes.push_back(outcomeOfState(item.id, state, wait));
  }
  return outcomes;
}

LoadReport readReport(const HttpMessage& answer, const std::vector<std::string>& columns) {
  LoadReport report;
  const std::string* header = answer.header("X-Server-Load");
  std::string_view rest = header ? *header : answer.body;
  if (columns.empty() || rest.substr(0, 5) != "TEXT ") return report;
  rest.remove_prefix(5);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find(','), rest.size());
    std::string_view part = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    while (!part.empty() && part.front() == ' ') part.remove_prefix(1);
    const std::size_t equals = part.find('=');
    if (equals == std::string_view::npos) continue;
    const std::string_view name = part.substr(0, equals);
    const auto value = decimal(part.substr(equals + 1));
    for (const std::string& column : columns) {
      if (column != name || !value) continue;
      if (name == "x1") report.limitPerSecond = value;
    }
  }
  return report;
}

}  // namespace myrtleloft
