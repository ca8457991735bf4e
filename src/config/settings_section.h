// Reads the object `settings` of the JSON configuration. It is checked, and decoded by the same code with
// which the simulator adapter decodes settings from its wire format. Unknown keys are ignored.
//
// Thread-safe: there is no shared state. O(settings).
#pragma once

#include "config/config.h"
#include "json/json.h"

namespace myrtleloft {

// Sets all members of `config` that derive from the settings. `config.diskBytes` must be set already. Throws
// a ConfigError that names the key.
void readSettingsSection(const json::Value& root, Config& config);

}  // namespace myrtleloft
