#include "relay/startup_report.h"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

#include "audit/rules_version.h"
#include "config/text_file.h"

#ifndef MYRTLELOFT_VERSION
#define MYRTLELOFT_VERSION "unknown"
#endif

namespace myrtleloft {
namespace {

constexpr std::string_view kPrefix = "BALANCER_";
constexpr std::array<const char*, 6> kVariables = {"BALANCER_NAME",  "BALANCER_LISTEN", "BALANCER_DISCOVERY",
                                                   "BALANCER_STATE", "BALANCER_CONFIG", "BALANCER_OPERATOR"};
constexpr std::size_t kStampCharacters = 12;  // enough to tell builds apart

// Returns nullptr if the variable is not set or empty.
const std::string* valueOf(const Environment& environment, const std::string& name) {
  const auto found = environment.find(name);
  return found == environment.end() || found->second.empty() ? nullptr : &found->second;
}

std::string describe(const Environment& environment, const std::string& name) {
  const auto found = environment.find(name);
  if (found == environment.end()) return name + " not set";
  return found->second.empty() ? name + " empty" : name + "='" + found->second + "'";
}

std::string join(const std::vector<std::string>& parts, const char* separator) {
  std::string text;
  for (const std::string& part : parts) text += (text.empty() ? "" : separator) + part;
  return text;
}

void addIfUnset(const Environment& environment, const std::string& name, std::vector<std::string>& missing) {
  if (valueOf(environment, name)) return;
  missing.push_back(name + (environment.count(name) > 0 ? " is empty" : " is not set"));
}

void addIfUnreadable(const Environment& environment, const std::string& name,
                     std::vector<std::string>& missing) {
  const std::string* path = valueOf(environment, name);
  if (!path) return;
  const Result<TextFile, TextFileError> file = readTextFile(*path);
  if (!file) missing.push_back(name + ": cannot read '" + *path + "': " + file.error().reason);
  if (file && file->text.empty()) missing.push_back(name + ": '" + *path + "' is empty");
}

// Returns the errno with which a folder cannot be used, or 0.
int folderError(const std::string& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) return errno;
  if (!S_ISDIR(status.st_mode)) return ENOTDIR;
  return ::access(path.c_str(), R_OK | W_OK | X_OK) == 0 ? 0 : errno;
}

void addIfNoFolder(const Environment& environment, const std::string& name,
                   std::vector<std::string>& missing) {
  const std::string* path = valueOf(environment, name);
  const int errorNumber = path ? folderError(*path) : 0;
  if (errorNumber != 0)
    missing.push_back(name + ": no folder '" + *path + "': " + std::strerror(errorNumber));
}

std::vector<std::string> findMissing(const Environment& environment) {
  std::vector<std::string> missing;
  addIfUnset(environment, "BALANCER_CONFIG", missing);
  addIfUnset(environment, "BALANCER_STATE", missing);
  addIfUnreadable(environment, "BALANCER_CONFIG", missing);
  addIfNoFolder(environment, "BALANCER_STATE", missing);
  addIfUnreadable(environment, "BALANCER_OPERATOR", missing);
  return missing;
}

std::string workingFolder() {
  std::error_code error;
  const std::filesystem::path folder = std::filesystem::current_path(error);
  return error ? "unknown: " + error.message() : "'" + folder.string() + "'";
}

std::string describeVariables(const Environment& environment) {
  std::string used;
  std::vector<std::string> unused;
  for (const char* name : kVariables) used += (used.empty() ? "" : ", ") + describe(environment, name);
  for (const auto& [name, value] : environment)
    if (name.starts_with(kPrefix) &&
        std::find(kVariables.begin(), kVariables.end(), name) == kVariables.end())
      unused.push_back(name);
  return used + (unused.empty() ? "" : "; not used: " + join(unused, ", "));
}

}  // namespace

void logStartupReport(const Log& log, const Environment& environment) {
  const std::string decisions(decisionCode().substr(0, kStampCharacters));
  const std::string folder = workingFolder();
  log.write(LogLevel::kError, "relay.program",
            "start: version " MYRTLELOFT_VERSION ", decisions " + decisions + ", process " +
                std::to_string(::getpid()) + ", working folder " + folder,
            {{"version", MYRTLELOFT_VERSION}, {"decisions", decisions}, {"folder", folder}});
  const std::string variables = describeVariables(environment);
  log.write(LogLevel::kError, "relay.environment",
            "start: " + std::to_string(environment.size()) + " environment variables: " + variables,
            {{"variables", variables}});
  const std::string missing = join(findMissing(environment), "; ");
  if (missing.empty()) return;
  log.write(LogLevel::kError, "relay.missing", "start: missing: " + missing, {{"missing", missing}});
}

}  // namespace myrtleloft
