// The deployment's `settings` in the JSON configuration: checked, and decoded just as the adapter decodes
// them from the simulator's wire. Keys that are not known are passed over.
#pragma once

#include "config/config.h"
#include "json/json.h"

namespace myrtleloft {

// Fills in all of `config` that the settings tell. `config.diskBytes` must be known. Throws KeyFault.
void readSettingsSection(const json::Value& root, Config& config);

}  // namespace myrtleloft
