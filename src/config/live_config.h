// The configuration of a running relay, which can be reloaded.
//
//   LiveConfig config(environmentOf(environ));
//   const Config& current = config.get();       // the reference stays valid; `reload` updates the object
//   if (const std::optional<ConfigError> error = config.reload()) log(error->what());
//
// This is the only owner of the configuration. While the relay runs, only `discovery` and the peers of the
// fleet change. Code that uses them must hold a reference, not a copy. Not thread-safe: used by one thread.
#pragma once

#include <optional>
#include <string>

#include "config/config.h"
#include "json/json.h"
#include "myrtleloft/relay.h"

namespace myrtleloft {

class LiveConfig {
 public:
  // Reads the configuration. Throws ConfigError.
  explicit LiveConfig(Environment environment);

  const Config& get() const { return config_; }
  // Sets the address that was bound if the configuration has port 0, so that a relay that is started again
  // with this configuration binds the same port.
  void setListenAddress(const Address& address) { config_.listen = address; }
  void setFleetListenAddress(const Address& address) { config_.operatorFile.fleet.listen = address; }
  // Reads both files again. Returns the error if one is invalid; the configuration is then unchanged.
  std::optional<ConfigError> reload();
  // The first key in `name`, `listen`, `limits` or `settings` that, in the file read by the last `reload`,
  // differs from the value at the start, with line and column. Empty if none differs. Changes of these keys
  // take effect together at the next start.
  const std::string& keyNeedingRestart() const { return keyNeedingRestart_; }

 private:
  LiveConfig(Environment environment, const ConfigFile& file);

  Environment environment_;
  Config config_;
  json::Value appliedAtStart_;  // the part of the JSON file that cannot be changed while the process runs
  std::string keyNeedingRestart_;
};

}  // namespace myrtleloft
