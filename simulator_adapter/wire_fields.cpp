#include "simulator_adapter/wire_fields.h"

#include <algorithm>
#include <string>

namespace myrtleloft::wire {
namespace {

// Reads one value. An error message starts with the name of the field, to find it in a configuration.
template <typename Read>
auto readNamed(std::string_view name, Read read, std::string_view text) {
  try {
    return read(text);
  } catch (const WireError& error) {
    throw WireError(std::string(name) + ": " + error.what());
  }
}

template <typename Item, typename Read>
std::vector<Item> readList(std::string_view name, Read read, std::string_view text) {
  std::vector<Item> items;
  for (const std::string_view item : commaList(text)) items.push_back(readNamed(name, read, item));
  return items;
}

}  // namespace

Fields::Fields(std::string_view line) {
  if (line.empty()) return;
  split(line, '\t', [&](std::string_view part) {
    const std::size_t equals = part.find('=');
    if (equals == std::string_view::npos || equals == 0) throw WireError("not name=value: " + quoted(part));
    fields_.push_back({part.substr(0, equals), part.substr(equals + 1)});
  });
}

bool Fields::has(std::string_view name) const {
  return std::any_of(fields_.begin(), fields_.end(), [&](const Field& field) { return field.name == name; });
}

std::string_view Fields::textOr(std::string_view name, std::string_view fallback) const {
  for (const Field& field : fields_)
    if (field.name == name) return field.value;
  return fallback;
}

std::string_view Fields::text(std::string_view name) const {
  if (!has(name)) throw WireError("missing field " + quoted(name));
  return textOr(name, {});
}

double Fields::number(std::string_view name) const { return readNamed(name, finiteNumber, text(name)); }
double Fields::numberOr(std::string_view name, double fallback) const {
  return has(name) ? number(name) : fallback;
}
std::int64_t Fields::integer(std::string_view name) const {
  return readNamed(name, wire::integer, text(name));
}
std::int64_t Fields::integerOr(std::string_view name, std::int64_t fallback) const {
  return has(name) ? integer(name) : fallback;
}
bool Fields::flag(std::string_view name) const { return readNamed(name, boolean, textOr(name, "0")); }

std::vector<double> Fields::numberList(std::string_view name) const {
  return readList<double>(name, finiteNumber, textOr(name, ""));
}
std::vector<std::int64_t> Fields::integerList(std::string_view name) const {
  return readList<std::int64_t>(name, wire::integer, textOr(name, ""));
}
std::vector<bool> Fields::flagList(std::string_view name) const {
  return readList<bool>(name, boolean, textOr(name, ""));
}

}  // namespace myrtleloft::wire
