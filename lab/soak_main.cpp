// myrtleloft-soak: plays seeds of the soak (lab/soak.h), one after the other, and tells each one's result.
//
//   myrtleloft-soak --program build/myrtleloft --shim build/libmyrtleloft_fault_shim.so --seeds 1-100
//   myrtleloft-soak ... --seeds 7 --logs found/          # writes the report and the relays' logs of what
//   failed myrtleloft-soak ... --plan plan.txt [--shorten]      # one plan; shortened to the faults that it
//   needs
//
// Exit code: 0 all rules held, 1 some did not, 2 wrong arguments.
#include <CLI/CLI.hpp>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>

#include "lab/soak.h"

using namespace myrtleloft::lab;

namespace {

struct Arguments {
  SoakOptions soak;
  std::string seeds = "1", logs, plan;
  bool shorten = false;
};

std::string summaryOf(const SoakResult& result) {
  std::map<std::string, int> counts;
  for (const AuditFinding& finding : result.findings) ++counts[nameOf(finding.rule)];
  std::ostringstream text;
  for (const auto& [rule, count] : counts) text << ", " << rule << " " << count;
  if (result.violations > 0) text << ", violations " << result.violations;
  return (result.held() ? "held" : result.played ? "broken" : "not all up") + text.str();
}

void keepLogs(const std::string& folder, std::uint64_t seed, const SoakResult& result) {
  if (folder.empty() || result.held()) return;
  std::filesystem::create_directories(folder);
  std::ofstream(folder + "/" + std::to_string(seed) + ".txt") << result.report << result.logs;
}

int playSeeds(const Arguments& arguments) {
  std::uint64_t from = 0, to = 0;
  char dash = 0;
  std::istringstream text(arguments.seeds);
  text >> from;
  if (!(text >> dash >> to)) to = from;
  int broken = 0;
  for (std::uint64_t seed = from; seed <= to; ++seed) {
    const SoakResult result = soak(arguments.soak, seed);
    broken += !result.held();
    const std::size_t figures = result.report.rfind("handed in ");
    std::cout << "seed " << seed << ": " << summaryOf(result) << "\n  "
              << (figures == std::string::npos ? "" : result.report.substr(figures)) << result.evidence
              << std::flush;
    keepLogs(arguments.logs, seed, result);
  }
  std::cout << to - from + 1 - static_cast<std::uint64_t>(broken) << " of " << to - from + 1
            << " seeds held\n";
  return broken > 0 ? 1 : 0;
}

int playPlan(const Arguments& arguments) {
  std::ostringstream text;
  text << std::ifstream(arguments.plan).rdbuf();
  std::string error;
  const auto plan = parsePlan(text.str(), error);
  if (!plan) {
    std::cerr << arguments.plan << ": " << error << '\n';
    return 2;
  }
  const auto fails = [&](const FaultPlan& part) {
    const SoakResult result = soak(arguments.soak, part.seed, &part);
    std::cerr << result.report << summaryOf(result) << std::endl;
    keepLogs(arguments.logs, part.seed, result);
    return !result.held();
  };
  if (!arguments.shorten) return fails(*plan) ? 1 : 0;
  std::cout << print(shorten(*plan, fails));
  return 1;
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  CLI::App app("Plays seeds of the soak and tells which rules were broken", "myrtleloft-soak");
  app.add_option("--program", arguments.soak.program, "the relay")->required();
  app.add_option("--shim", arguments.soak.shim, "libmyrtleloft_fault_shim.so")->required();
  app.add_option("--relays", arguments.soak.relays, "processes in a fleet");
  app.add_option("--faults", arguments.soak.faults, "faults drawn for a plan");
  app.add_option("--traffic-ms", arguments.soak.trafficMs, "how long messages are handed in");
  app.add_option("--per-second", arguments.soak.perSecond, "messages handed in each second");
  app.add_option("--seeds", arguments.seeds, "one, or a range: 1-100");
  app.add_option("--plan", arguments.plan, "a file with one plan, in place of seeds");
  app.add_option("--logs", arguments.logs, "folder for the reports and logs of what failed");
  app.add_flag("--shorten", arguments.shorten, "with --plan: leaves out what the failure does not need");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  return arguments.plan.empty() ? playSeeds(arguments) : playPlan(arguments);
}
