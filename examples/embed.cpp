// The smallest forwarder: one destination with one route, one message, one decision.
#include <iostream>

#include "myrtleloft/dispatcher.h"

int main() {
  using namespace myrtleloft;

  Settings settings;
  settings.seed = 42;
  settings.callSlots = 8;
  settings.maxOpen = 100;
  ClassSettings notices;
  notices.targetMs = 2000;
  notices.hardLimitMs = 20000;
  notices.repeat = Repeat::kRepeatable;
  settings.classes = {notices};
  Dispatcher dispatcher(settings);

  ListEvent list;
  list.kind = ListKind::kSnapshot;
  list.entries.push_back({.target = "10.0.0.1:5000", .destination = 7});
  MessageEvent message;
  message.id = "order-1";
  message.notAfterMs = 20000;
  message.destination = 7;

  bool sent = false;
  for (const Action& action : dispatcher.onBatch(0, {list, message})) {
    if (const auto* send = std::get_if<SendAction>(&action)) {
      std::cout << "send " << send->id << " to " << send->target << " within " << send->capMs << " ms\n";
      sent = true;
    }
  }
  return sent ? 0 : 1;
}
