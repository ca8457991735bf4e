// Reads the configuration from all its sources, checks it and applies the defaults.
//
//   const Config config = readConfig(environmentOf(environ));   // throws ConfigError
//
// There are three sources: the JSON file named by BALANCER_CONFIG; the environment variables BALANCER_NAME,
// BALANCER_LISTEN and BALANCER_DISCOVERY, which override its keys; and the operator's file (operator_file.h)
// named by BALANCER_OPERATOR, if that is set. BALANCER_STATE names the state folder. Unknown keys of the JSON
// file are ignored. Every error is a ConfigError that names the key, with its line and column if the key is
// in a file.
//
// Thread-safe: there is no shared state. O(text).
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "config/operator_file.h"
#include "discovery/endpoint_table.h"
#include "journal/records.h"
#include "myrtleloft/dispatcher.h"
#include "myrtleloft/relay.h"
#include "net/socket.h"

namespace myrtleloft {

struct Config {
  std::string name;  // the name of this relay
  std::string stateFolder;
  Address listen;
  Address discovery;
  int sockets = 1024;  // the number of file descriptors that the process may use
  std::size_t memoryBytes = 0;
  std::size_t diskBytes = 0;
  Settings settings;                 // of the decision module, decoded as the simulator adapter decodes them
  std::vector<std::string> classes;  // the names of request classes, by index
  std::vector<std::string> tenants;  // the names of tenants, by index
  std::vector<std::string> reportColumns;  // the meanings of the columns of an endpoint's load report
  IndexNames names;                        // the names of zones and kinds of endpoints
  NameTable nameTable;                     // classes, tenants and zones as the journal records them
  EndpointList known;                      // the endpoint list to start with if no newer one is cached
  double drainGraceMs = 0;                 // guarantees.drainGraceMs, or 0 if it is not set
  double writtenWallMs = 0;                // when the file, which contains `known`, was last written, in
                                           // milliseconds on the wall clock; 0 if unknown
  OperatorFile operatorFile;               // has only defaults if BALANCER_OPERATOR is not set
};

struct ConfigFile {
  std::string text;
  double writtenWallMs = 0;  // milliseconds on the wall clock; 0 if unknown
};

// Reads and checks all sources. Throws ConfigError.
Config readConfig(const Environment& environment);
// The same, with `text` in place of the content of the JSON file. `writtenWallMs` of the result is 0.
Config readConfig(const Environment& environment, const std::string& text);
// Reads the JSON file without parsing it. Throws ConfigError if it cannot be read.
ConfigFile readConfigFile(const Environment& environment);

}  // namespace myrtleloft
