#include "myrtleloft/command_line.h"

#include <CLI/CLI.hpp>
#include <exception>
#include <string>

#include "cli/journal_tool.h"
#include "cli/list_tool.h"
#include "config/config.h"
#include "journal/planner.h"

#ifndef MYRTLELOFT_VERSION
#define MYRTLELOFT_VERSION "unknown"
#endif

namespace myrtleloft {
namespace {

int checkConfig(const Environment& environment, std::ostream& out) {
  const Config config = readConfig(environment);
  const OperatorFile::JournalSection& journal = config.operatorFile.journal;
  const OperatorFile::EndpointListSection& list = config.operatorFile.endpointList;
  const std::size_t chosen = JournalPlanner().segmentBytes(config.diskBytes);
  out << "name " << config.name << ", listens on " << config.listen.text << ", discovery at "
      << config.discovery.text << '\n'
      << config.classes.size() << " classes, " << config.tenants.size() << " tenants, "
      << config.known.endpoints.size() << " endpoints known, " << config.sockets << " descriptors, "
      << config.memoryBytes << " bytes of memory, " << config.diskBytes << " bytes of disk\n"
      << "journal: segments of " << (journal.segmentBytes ? journal.segmentBytes : chosen)
      << " bytes, slices of " << journal.compactionStepBytes << " bytes at most, " << journal.freePercent
      << "% to be kept free, durability " << nameOf(journal.durability) << '\n'
      << "membership: " << (list.cache ? "kept in" : "not kept; ")
      << (list.cache ? " at most a tenth of the disk; " : "") << "fresh for " << list.freshSeconds
      << " s, ageing for " << list.ageingSeconds << " s, old for " << list.staleSeconds << " s; "
      << (list.rejectByAge ? "refuses by age" : "refuses nothing") << "; guard "
      << (list.guardPercent > 0 ? std::to_string(list.guardPercent) + "%" : "off") << "; "
      << list.directories.size() << " directories beside the configuration's\n";
  return kExitSuccess;
}

// What the arguments ask for; set by CLI11's callbacks.
struct Asked {
  enum class What { kServe, kCheckConfig, kInspect, kVerify, kDump, kCompact, kShowList, kCheckList };
  What what = What::kServe;
  std::string operatorFile;
  JournalTool tool;
  ListTool list;
};

void describe(CLI::App& app, Asked& asked) {
  app.set_version_flag("--version", std::string("myrtleloft ") + MYRTLELOFT_VERSION);
  app.require_subcommand(0, 1);
  app.footer(
      "Without a command, serves. Exit codes: 0 good, 1 cannot start or cannot use the folder, 2 a fault in "
      "arguments or configuration, 3 unforeseen, 4 the journal or the kept list is damaged (journal verify, "
      "list show, list check).");

  const auto operatorOption = [&](CLI::App& at) {
    at.add_option("--operator", asked.operatorFile,
                  "the operator's file (TOML); before BALANCER_OPERATOR, default: none");
  };
  operatorOption(app);

  CLI::App* serve = app.add_subcommand("serve", "serve until SIGTERM, as without a command");
  operatorOption(*serve);

  CLI::App* config = app.add_subcommand("config", "look at the configuration");
  config->require_subcommand(1);
  CLI::App* check = config->add_subcommand("check", "read and check all of it, and start nothing");
  operatorOption(*check);
  check->callback([&asked] { asked.what = Asked::What::kCheckConfig; });

  CLI::App* journal = app.add_subcommand("journal", "look into the journal of a folder at rest");
  journal->require_subcommand(1);
  const auto tool = [&](const char* name, const char* help, Asked::What what) {
    CLI::App* command = journal->add_subcommand(name, help);
    command->add_option("folder", asked.tool.folder, "the state folder")->required();
    command->add_flag("--json", asked.tool.json, "for programs: JSON, one object a line");
    command->callback([&asked, what] { asked.what = what; });
    return command;
  };
  tool("inspect", "segments, what is owed, what is damaged", Asked::What::kInspect);
  tool("verify", "read it as a start would; 4 where it is damaged", Asked::What::kVerify);
  tool("dump", "each record, without bodies and keys", Asked::What::kDump);
  CLI::App* list = app.add_subcommand("list", "look at the kept list of endpoints of a folder");
  list->require_subcommand(1);
  const auto listTool = [&](const char* name, const char* help, Asked::What what) {
    CLI::App* command = list->add_subcommand(name, help);
    command->add_option("folder", asked.list.folder, "the state folder")->required();
    command->add_flag("--json", asked.list.json, "for programs: JSON, one object a line");
    operatorOption(*command);
    command->callback([&asked, what] { asked.what = what; });
  };
  listTool("show", "each endpoint, and how old the list is", Asked::What::kShowList);
  listTool("check", "what a start without discovery would refuse now; 4 where the list is damaged",
           Asked::What::kCheckList);
  CLI::App* compact =
      tool("compact", "carry over all that is owed, and remove the rest", Asked::What::kCompact);
  compact->add_option("--disk-mb", asked.tool.diskMb, "its limit, as limits.disk_mb in the configuration")
      ->check(CLI::Range(0.0625, 1e7));
}

int carryOut(Asked& asked, Environment environment, std::ostream& out, std::ostream& err) {
  if (!asked.operatorFile.empty()) environment["BALANCER_OPERATOR"] = asked.operatorFile;
  switch (asked.what) {
    case Asked::What::kServe:
      blockRelaySignals();  // where it fails, the relay tries again and says so
      return Relay(environment, err).run();
    case Asked::What::kCheckConfig:
      return checkConfig(environment, out);
    case Asked::What::kInspect:
      return inspectJournal(asked.tool, out, err);
    case Asked::What::kVerify:
      return verifyJournal(asked.tool, out, err);
    case Asked::What::kDump:
      return dumpJournal(asked.tool, out, err);
    case Asked::What::kCompact:
      return compactJournal(asked.tool, out, err);
    case Asked::What::kShowList:
      asked.list.operatorFile = asked.operatorFile;
      return showList(asked.list, out, err);
    case Asked::What::kCheckList:
      asked.list.operatorFile = asked.operatorFile;
      return checkList(asked.list, out, err);
  }
  return kExitInternalError;
}

}  // namespace

int runCommandLine(int argc, const char* const* argv, Environment environment, std::ostream& out,
                   std::ostream& err) {
  try {
    CLI::App app("myrtleloft: a message relay that owes each message its end", "myrtleloft");
    Asked asked;
    describe(app, asked);
    try {
      app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
      return app.exit(error, out, err) == 0 ? kExitSuccess
                                            : kExitUsage;  // --help and --version come here too
    }
    return carryOut(asked, std::move(environment), out, err);
  } catch (const ConfigError& error) {
    err << "myrtleloft: " << error.what() << '\n';
    return kExitUsage;
  } catch (const std::exception& error) {
    err << "myrtleloft: " << error.what() << '\n';
    return kExitInternalError;
  }
}

}  // namespace myrtleloft
