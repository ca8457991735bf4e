#include "log/request_trace.h"

#include <string>

namespace myrtleloft {

void RequestTrace::received(std::string_view id, double unreadMs, double leftMs) const {
  if (on_) write("request.received", id, {{"unread_ms", unreadMs}, {"left_ms", leftMs}});
}

void RequestTrace::accepted(std::string_view id) const {
  if (on_) write("request.accepted", id, {});
}

void RequestTrace::rejected(std::string_view id, std::string_view reason, double waitMs) const {
  if (on_) write("request.rejected", id, {{"reason", reason}, {"wait_ms", waitMs}});
}

void RequestTrace::called(std::string_view id, std::string_view endpoint, int attempt) const {
  if (on_) write("request.called", id, {{"endpoint", endpoint}, {"attempt", attempt}});
}

void RequestTrace::departed(std::string_view id, std::string_view endpoint, std::uint64_t call,
                            double capMs) const {
  if (on_) write("request.departed", id, {{"endpoint", endpoint}, {"call", call}, {"cap_ms", capMs}});
}

void RequestTrace::outcome(std::string_view id, std::string_view endpoint, std::string_view outcome,
                           std::int64_t detail, bool givenUp) const {
  if (!on_) return;
  write("request.outcome", id,
        {{"endpoint", endpoint}, {"outcome", outcome}, {"detail", detail}, {"given_up", givenUp}});
}

void RequestTrace::completed(std::string_view id, std::string_view status, double waitMs, bool recorded,
                             double leftMs) const {
  if (!on_) return;
  write("request.completed", id,
        {{"status", status}, {"wait_ms", waitMs}, {"recorded", recorded}, {"left_ms", leftMs}});
}

void RequestTrace::notified(std::string_view id, double lateMs) const {
  if (on_) write("request.notified", id, {{"late_ms", lateMs}});
}

void RequestTrace::closed(std::uint64_t connection, std::string_view reason, std::string_view id) const {
  if (on_) write("connection.closed", id, {{"connection", connection}, {"reason", reason}});
}

void RequestTrace::write(std::string_view event, std::string_view id, const Log::Fields& fields) const {
  Log::Fields allFields = {{"id", id}};
  std::string text(event);
  text.append(" id=").append(id);
  for (const LogField& field : fields) {
    allFields.push_back(field);
    text.append(" ").append(field.name).append("=").append(asText(field.value));
  }
  log_.write(LogLevel::kDebug, event, text, allFields);
}

}  // namespace myrtleloft
