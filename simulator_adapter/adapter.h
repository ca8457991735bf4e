// Connects the decision module to the simulator: reads batches of events and replies with the actions of
// each. Takes no decisions itself.
//
//   Adapter adapter;
//   adapter.run(std::cin, std::cout);
//
// Wire format: a batch is a line BATCH with its time, the lines of its events, and a line EOF_BATCH. The
// reply is one line for each action, and a line OK. A line is a message name followed by name=value fields,
// separated by tabs. Empty lines are ignored. Not thread-safe.
#pragma once

#include <istream>
#include <optional>
#include <ostream>
#include <string_view>

#include "simulator_adapter/event_reader.h"
#include "simulator_adapter/instance_table.h"
#include "simulator_adapter/wire_fields.h"

namespace myrtleloft::wire {

class Adapter {
 public:
  // Replies to each batch before reading the next, until the input ends. Throws WireError on malformed input;
  // the adapter cannot be used after that.
  void run(std::istream& input, std::ostream& output);

 private:
  // Reads one batch and returns its time in ms. Returns std::nullopt at the end of the input.
  std::optional<double> readBatch(std::istream& input);
  void readLine(std::string_view name, const Fields& fields, std::istream& input);
  // Reads the endpoint list that follows a SHEET line.
  void readSheet(const Fields& fields, std::istream& input);
  void reply(double nowMs, std::ostream& output);

  InstanceTable instances_;
  EndpointSheets sheets_;
};

}  // namespace myrtleloft::wire
