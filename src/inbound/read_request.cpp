#include "inbound/read_request.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "net/http_text.h"

namespace myrtleloft {
namespace {

constexpr std::size_t kMaxIdBytes = 128, kMaxKeyBytes = 256;

template <typename T>
std::optional<T> parsed(std::string_view text) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// Parses "dest=7", possibly among other pairs.
std::optional<std::int64_t> destination(std::string_view addressing) {
  static constexpr std::string_view kName = "dest=";
  while (!addressing.empty()) {
    const std::size_t end = std::min(addressing.find_first_of(",; "), addressing.size());
    const std::string_view part = addressing.substr(0, end);
    if (part.substr(0, kName.size()) == kName) return parsed<std::int64_t>(part.substr(kName.size()));
    addressing.remove_prefix(std::min(end + 1, addressing.size()));
  }
  return std::nullopt;
}

bool printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char character) { return character == ' ' || isVisible(character); });
}

std::string text(const HttpMessage& message, std::string_view name) {
  const std::string* value = message.header(name);
  return value ? *value : std::string();
}

}  // namespace

std::string_view path(std::string_view target) { return target.substr(0, target.find('?')); }

// Expects a request line such as "POST /notice HTTP/1.1" and CR LF. It is stricter than HttpReader, which
// accepts any token as a method, because the bytes may be the rest of a body.
TrailingBytes classifyTrailing(std::string_view bytes) {
  constexpr std::size_t kMaxMethodBytes = 7;  // OPTIONS, CONNECT
  if (bytes.empty()) return TrailingBytes::kNothing;
  const std::size_t space = bytes.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ");
  if (std::min(space, bytes.size()) > kMaxMethodBytes) return TrailingBytes::kGarbage;
  if (space == std::string_view::npos) return TrailingBytes::kIncomplete;
  if (space == 0 || bytes[space] != ' ') return TrailingBytes::kGarbage;
  const std::string_view target = bytes.substr(space + 1);
  if (target.empty()) return TrailingBytes::kIncomplete;
  const auto end =
      std::find_if(target.begin(), target.end(), [](char character) { return !isVisible(character); });
  if (target.front() != '/') return TrailingBytes::kGarbage;
  if (end == target.end())
    return target.size() < kHeadLimit ? TrailingBytes::kIncomplete : TrailingBytes::kGarbage;
  const std::string_view version = target.substr(static_cast<std::size_t>(end - target.begin()));
  for (const std::string_view expected : {" HTTP/1.1\r\n", " HTTP/1.0\r\n"}) {
    if (version.starts_with(expected)) return TrailingBytes::kRequest;
    if (expected.starts_with(version)) return TrailingBytes::kIncomplete;
  }
  return TrailingBytes::kGarbage;
}

// Returns "notice" for "/notice" and "/notice/more".
std::string_view firstSegment(std::string_view target) {
  std::string_view rest = path(target);
  if (rest.empty() || rest.front() != '/') return {};
  rest.remove_prefix(1);
  return rest.substr(0, rest.find('/'));
}

std::optional<int> indexOfName(const std::vector<std::string>& names, std::string_view name) {
  const auto at = std::find(names.begin(), names.end(), name);
  if (at == names.end()) return std::nullopt;
  return static_cast<int>(at - names.begin());
}

std::optional<IncomingRequest> readRequest(const HttpMessage& message, const RequestNames& names) {
  IncomingRequest request;
  const auto cls = indexOfName(names.classes, firstSegment(message.target));
  const auto to = destination(text(message, "X-Addressing"));
  const auto seconds = parsed<double>(text(message, "X-Timeout"));
  request.id = text(message, "X-Request-ID");
  request.key = text(message, "Idempotency-Key");
  if (!cls || !to || !seconds || !std::isfinite(*seconds) || *seconds < 0) return std::nullopt;
  if (request.id.empty() || request.id.size() > kMaxIdBytes || request.key.size() > kMaxKeyBytes)
    return std::nullopt;
  // Both are sent on inside JSON. Other bytes would make a notification invalid, so that the platform would
  // never learn the final status.
  if (!printable(request.id) || !printable(request.key)) return std::nullopt;
  if (const std::string* tenant = message.header("X-Tenant-Id"); tenant && !names.tenants.empty()) {
    const auto index = indexOfName(names.tenants, *tenant);
    if (!index) return std::nullopt;
    request.tenant = *index;
  }
  request.classIndex = *cls;
  request.destination = *to;
  request.timeLeftMs = *seconds * 1000;
  const std::string retried = text(message, "X-Retried");
  request.isRetry = retried == "1";
  request.heldByAnotherRelay = retried == "again";
  if (!names.unitHeader.empty()) request.unit = text(message, names.unitHeader);
  request.body = message.body;
  return request;
}

}  // namespace myrtleloft
