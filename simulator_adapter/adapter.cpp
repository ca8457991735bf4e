#include "simulator_adapter/adapter.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "simulator_adapter/action_writer.h"

namespace myrtleloft::wire {
namespace {

// Returns the next line without its line break, LF or CRLF. Returns std::nullopt at the end of the input.
std::optional<std::string> nextLine(std::istream& input) {
  std::string line;
  if (!std::getline(input, line)) return std::nullopt;
  if (!line.empty() && line.back() == '\r') line.pop_back();
  return line;
}

// The message name at the start of the line.
std::string_view nameOf(std::string_view line) { return line.substr(0, line.find('\t')); }

Fields fieldsOf(std::string_view line) {
  const std::size_t tab = line.find('\t');
  return Fields(tab == std::string_view::npos ? std::string_view() : line.substr(tab + 1));
}

}  // namespace

void Adapter::run(std::istream& input, std::ostream& output) {
  while (const std::optional<double> nowMs = readBatch(input)) reply(*nowMs, output);
}

std::optional<double> Adapter::readBatch(std::istream& input) {
  std::optional<std::string> line = nextLine(input);
  while (line && line->empty()) line = nextLine(input);
  if (!line) return std::nullopt;
  if (nameOf(*line) != "BATCH") throw WireError("expected BATCH, got " + quoted(*line));
  const double nowMs = fieldsOf(*line).number("tsMs");
  for (;;) {
    line = nextLine(input);
    if (!line) throw WireError("input ended inside a batch");
    if (line->empty()) continue;
    const std::string_view name = nameOf(*line);
    if (name == "EOF_BATCH") return nowMs;
    readLine(name, fieldsOf(*line), input);
  }
}

void Adapter::readLine(std::string_view name, const Fields& fields, std::istream& input) {
  if (name == "SHEET") {
    readSheet(fields, input);
  } else if (name == "RETIRE") {
    instances_.retire(fields);
  } else if (name == "UP") {
    instances_.start(fields);
  } else {
    readEvent(name, fields, sheets_, instances_);
  }
}

void Adapter::readSheet(const Fields& fields, std::istream& input) {
  const std::int64_t number = fields.integer("ref");
  const std::int64_t rows = fields.integer("rows");
  if (!EndpointSheets::isNumber(number) || rows < 0)
    throw WireError("SHEET with its number or row count out of range");
  std::vector<EndpointInfo> endpoints;
  for (std::int64_t i = 0; i < rows; ++i) {
    const std::optional<std::string> line = nextLine(input);
    if (!line || nameOf(*line) != "TARGET")
      throw WireError("expected TARGET, got " + quoted(line.value_or("")));
    endpoints.push_back(readEndpoint(fieldsOf(*line)));
  }
  sheets_.set(number, std::move(endpoints));
}

void Adapter::reply(double nowMs, std::ostream& output) {
  instances_.decide(nowMs,
                    [&](const std::string& id, const Action& action) { writeAction(output, id, action); });
  output << "OK\n";
  output.flush();
}

}  // namespace myrtleloft::wire
