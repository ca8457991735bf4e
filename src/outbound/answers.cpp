#include "outbound/answers.h"

#include <cereal/external/base64.hpp>
#include <charconv>
#include <cmath>
#include <optional>

#include "json/json.h"

namespace myrtleloft {
namespace {

std::optional<double> parseDecimal(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

// Returns the Retry-After header in milliseconds, or 0 if it is missing or invalid. The header is in seconds;
// the value is rounded up so that the wait does not end early.
std::int64_t retryAfterMs(const HttpMessage& answer) {
  const std::string* text = answer.header("Retry-After");
  const auto seconds = text ? parseDecimal(*text) : std::nullopt;
  return seconds && *seconds > 0 && *seconds < 1e6 ? static_cast<std::int64_t>(std::ceil(*seconds * 1000))
                                                   : 0;
}

CallOutcome outcomeOf(const std::string& id, const std::string& state, std::int64_t retryAfter) {
  if (state == "accepted") return {id, Outcome::kSuccess, true, retryAfter};
  if (state == "deferred") return {id, Outcome::kRejected, false, retryAfter};
  if (state == "expired") return {id, Outcome::kNotSent, true, 0};
  if (state == "no_more") return {id, Outcome::kNotSent, false, 0};
  // "fault" or an unknown state: the call may have been executed.
  return {id, Outcome::kFailure, false, retryAfter};
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
  const std::int64_t retryAfter = retryAfterMs(answer);
  switch (answer.status) {
    case 200:
      return {"", Outcome::kSuccess, true, retryAfter};
    case 429:
      return {"", Outcome::kRejected, false, retryAfter};
    case 503:
      if (const std::string* overSlots = answer.header("X-Over-Slots"); overSlots && *overSlots == "1")
        return {"", Outcome::kNotSent, false, 1};
      return {"", Outcome::kRejected, false, retryAfter};
    case 410:
      return {"", Outcome::kNotSent, true, 0};
    case 400:  // malformed, or (413) larger than a call may be: not executed
    case 413:
    case 504:
      return {"", Outcome::kNotSent, false, 0};
    default:
      return {"", Outcome::kFailure, false, retryAfter};
  }
}

// The status of an invalid answer is not reliable: trusting a 503 could repeat a non-idempotent call that was
// executed. Only status 200 is trusted, because an endpoint writes it after it has accepted the request, and
// only for a call with a single request.
CallOutcome readInvalidAnswer(const HttpMessage& partialAnswer, bool bulk) {
  if (partialAnswer.status == 200 && !bulk) return readAnswer(partialAnswer);
  return {"", Outcome::kFailure, false, retryAfterMs(partialAnswer)};
}

std::vector<CallOutcome> readBulkAnswer(const HttpMessage& answer, const std::vector<CallItem>& items) {
  std::vector<CallOutcome> outcomes;
  std::string error;
  const auto results = json::parse(answer.body, error);
  const std::int64_t retryAfter = retryAfterMs(answer);
  for (const CallItem& item : items) {
    std::string state;
    if (results)
      for (const json::Value& end : results->items)
        if (end.string("id") == item.id) state = end.string("state").value_or("");
    outcomes.push_back(outcomeOf(item.id, state, retryAfter));
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
    const auto value = parseDecimal(part.substr(equals + 1));
    for (const std::string& column : columns) {
      if (column != name || !value) continue;
      if (name == "x1") report.limitPerSecond = value;
    }
  }
  return report;
}

}  // namespace myrtleloft
