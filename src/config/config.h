// The one place where configuration is read, checked and given defaults.
#pragma once

#include <string>
#include <vector>

#include "config/operator_file.h"
#include "discovery/destination_set.h"
#include "myrtleloft/dispatcher.h"
#include "myrtleloft/relay.h"
#include "net/socket.h"

namespace myrtleloft {

struct Config {
  std::string name, stateFolder;
  Address listen, discovery;
  int sockets = 1024;
  std::size_t memoryBytes = 0, diskBytes = 0;
  Settings settings;  // the decision module's, decoded as the adapter does
  std::vector<std::string> classes, tenants, reportColumns;
  ListNames names;
  DestinationList known;
  double drainGraceMs = 0;    // guarantees.drainGraceMs; 0: none told
  double writtenWallMs = 0;   // when the file was last written, and with it `known`; 0: not known
  OperatorFile operatorFile;  // defaults, where BALANCER_OPERATOR names none
};

// The one owner of the configuration. Of what the files say, `discovery` and the fleet's peers may change
// while the relay runs: those who use them keep a reference, never a copy.
class LiveConfig {
 public:
  // Throws ConfigError.
  explicit LiveConfig(Environment environment);

  const Config& get() const { return config_; }
  // Port 0 was asked for, and this is what came: whoever goes on with this configuration listens there again.
  void listensOn(const Address& address) { config_.listen = address; }
  void fleetListensOn(const Address& address) { config_.operatorFile.fleet.listen = address; }
  // Reads the file and the operator's again. On a fault everything stays as it was, and the text names the
  // faulty key; empty: none.
  std::string reload();

 private:
  Environment environment_;
  Config config_;
};

// Reads the file that BALANCER_CONFIG names; the other BALANCER_ variables go before what it says.
Config readConfig(const Environment& environment);
// The same from the file's text.
Config readConfig(const Environment& environment, const std::string& text);

}  // namespace myrtleloft
