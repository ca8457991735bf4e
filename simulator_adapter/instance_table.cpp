#include "simulator_adapter/instance_table.h"

#include <string_view>
#include <utility>

#include "simulator_adapter/settings_decoding.h"
#include "simulator_adapter/wire_names.h"

namespace myrtleloft::wire {

void InstanceTable::start(const Fields& fields) {
  Instance instance;
  Settings settings = decodeSettings(fields);
  instance.dispatcher = std::make_unique<Dispatcher>(settings);
  instance.classes = std::move(settings.classes);
  for (const std::string_view column : commaList(fields.textOr("reporting.columns", "")))
    instance.reportColumns.emplace_back(column);
  instance.selected = true;
  instances_.insert_or_assign(std::string(fields.text(kInstanceId)), std::move(instance));
}

void InstanceTable::retire(const Fields& fields) {
  select(fields);
  instances_.erase(instances_.find(fields.text(kInstanceId)));
}

Instance& InstanceTable::select(const Fields& fields) {
  const std::string_view id = fields.text(kInstanceId);
  const auto found = instances_.find(id);
  if (found == instances_.end()) throw WireError("unknown instance " + quoted(id));
  found->second.selected = true;
  return found->second;
}

void InstanceTable::decide(double nowMs,
                           const std::function<void(const std::string& id, const Action& action)>& onAction) {
  for (auto& [id, instance] : instances_) {
    if (!instance.selected) continue;
    instance.selected = false;
    const auto actions = instance.dispatcher->onBatch(nowMs, instance.events);
    instance.events.clear();
    for (const Action& action : actions) onAction(id, action);
  }
}

}  // namespace myrtleloft::wire
