#include "simulator_adapter/wire_values.h"

#include <cmath>

namespace myrtleloft::wire {
namespace {

constexpr std::size_t kMaxQuotedBytes = 80;

}  // namespace

std::string quoted(std::string_view text) { return "'" + std::string(text.substr(0, kMaxQuotedBytes)) + "'"; }

double finiteNumber(std::string_view text) {
  const auto value = parseNumber<double>(text);
  if (!value || !std::isfinite(*value)) throw WireError("not a number: " + quoted(text));
  return *value;
}

std::int64_t integer(std::string_view text) {
  const auto value = parseNumber<std::int64_t>(text);
  if (!value) throw WireError("not a whole number: " + quoted(text));
  return *value;
}

bool boolean(std::string_view text) {
  if (text == "1" || text == "true") return true;
  if (text == "0" || text == "false" || text.empty()) return false;
  throw WireError("not a boolean: " + quoted(text));
}

std::vector<std::string_view> commaList(std::string_view text) {
  std::vector<std::string_view> items;
  if (!text.empty()) split(text, ',', [&](std::string_view item) { items.push_back(item); });
  return items;
}

}  // namespace myrtleloft::wire
