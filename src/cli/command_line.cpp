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
  const std::size_t plannedSegmentBytes = JournalPlanner().segmentBytes(config.diskBytes);
  out << "name " << config.name << ", listens on " << config.listen.text << ", discovery at "
      << config.discovery.text << '\n'
      << config.classes.size() << " classes, " << config.tenants.size() << " tenants, "
      << config.known.endpoints.size() << " configured endpoints, " << config.sockets << " file descriptors, "
      << config.memoryBytes << " bytes of memory, " << config.diskBytes << " bytes of disk\n"
      << "journal: segments of " << (journal.segmentBytes ? journal.segmentBytes : plannedSegmentBytes)
      << " bytes, compaction steps of at most " << journal.compactionStepBytes << " bytes, compaction below "
      << journal.freePercent << "% free space, durability " << nameOf(journal.durability) << '\n'
      << "membership: " << (list.cache ? "list cached in" : "list not cached; ")
      << (list.cache ? " at most a tenth of the disk limit; " : "") << "fresh up to " << list.freshSeconds
      << " s, ageing up to " << list.ageingSeconds << " s, old up to " << list.staleSeconds << " s; "
      << (list.rejectByAge ? "rejects classes by age" : "rejects no class by age") << "; removal guard "
      << (list.guardPercent > 0 ? std::to_string(list.guardPercent) + "%" : "off") << "; "
      << list.directories.size() << " additional directories\n";
  return kExitSuccess;
}

// The parsed command line, which CLI11 fills in.
struct Arguments {
  enum class Command { kServe, kCheckConfig, kInspect, kVerify, kDump, kCompact, kShowList, kCheckList };
  Command command = Command::kServe;
  std::string operatorFile;
  JournalToolOptions journal;
  ListToolOptions list;
};

void defineCommands(CLI::App& app, Arguments& arguments) {
  app.set_version_flag("--version", std::string("myrtleloft ") + MYRTLELOFT_VERSION);
  app.require_subcommand(0, 1);
  app.footer(
      "Without a command, runs the relay. Exit codes: 0 success, 1 cannot start or cannot use the folder, "
      "2 invalid arguments or configuration, 3 internal error, 4 corrupt journal or cached endpoint list "
      "(journal verify, list show, list check).");

  const auto addOperatorOption = [&](CLI::App& command) {
    command.add_option("--operator", arguments.operatorFile,
                       "the operator's file (TOML); overrides BALANCER_OPERATOR");
  };
  addOperatorOption(app);

  CLI::App* serve = app.add_subcommand("serve", "run the relay until SIGTERM (the default command)");
  addOperatorOption(*serve);

  CLI::App* config = app.add_subcommand("config", "inspect the configuration");
  config->require_subcommand(1);
  CLI::App* check =
      config->add_subcommand("check", "check the whole configuration without starting the relay");
  addOperatorOption(*check);
  check->callback([&arguments] { arguments.command = Arguments::Command::kCheckConfig; });

  CLI::App* journal =
      app.add_subcommand("journal", "inspect or compact the journal of an unused state folder");
  journal->require_subcommand(1);
  const auto addJournalCommand = [&](const char* name, const char* help, Arguments::Command value) {
    CLI::App* command = journal->add_subcommand(name, help);
    command->add_option("folder", arguments.journal.folder, "the state folder")->required();
    command->add_flag("--json", arguments.journal.json, "print JSON, one object per line");
    command->callback([&arguments, value] { arguments.command = value; });
    return command;
  };
  addJournalCommand("inspect", "print segments, totals and corrupt parts", Arguments::Command::kInspect);
  addJournalCommand("verify", "read the journal as a starting relay would; exit code 4 if it is corrupt",
                    Arguments::Command::kVerify);
  addJournalCommand("dump", "print each record, without bodies and keys", Arguments::Command::kDump);
  CLI::App* list = app.add_subcommand("list", "inspect the cached endpoint list of a state folder");
  list->require_subcommand(1);
  const auto addListCommand = [&](const char* name, const char* help, Arguments::Command value) {
    CLI::App* command = list->add_subcommand(name, help);
    command->add_option("folder", arguments.list.folder, "the state folder")->required();
    command->add_flag("--json", arguments.list.json, "print JSON, one object per line");
    addOperatorOption(*command);
    command->callback([&arguments, value] { arguments.command = value; });
  };
  addListCommand("show", "print each endpoint and the age of the list", Arguments::Command::kShowList);
  addListCommand("check", "show which classes a relay starting without discovery would reject now",
                 Arguments::Command::kCheckList);
  CLI::App* compact = addJournalCommand(
      "compact", "rewrite all pending requests and delete all other records", Arguments::Command::kCompact);
  compact
      ->add_option("--disk-mb", arguments.journal.diskMb,
                   "the disk limit in MB, as limits.disk_mb in the configuration")
      ->check(CLI::Range(0.0625, 1e7));
}

int runCommand(Arguments& arguments, Environment environment, std::ostream& out, std::ostream& err) {
  if (!arguments.operatorFile.empty()) environment["BALANCER_OPERATOR"] = arguments.operatorFile;
  switch (arguments.command) {
    case Arguments::Command::kServe:
      blockRelaySignals();  // if this fails, the relay tries again and logs the error
      return Relay(environment, err).run();
    case Arguments::Command::kCheckConfig:
      return checkConfig(environment, out);
    case Arguments::Command::kInspect:
      return inspectJournal(arguments.journal, out, err);
    case Arguments::Command::kVerify:
      return verifyJournal(arguments.journal, out, err);
    case Arguments::Command::kDump:
      return dumpJournal(arguments.journal, out, err);
    case Arguments::Command::kCompact:
      return compactJournal(arguments.journal, out, err);
    case Arguments::Command::kShowList:
      arguments.list.operatorFile = arguments.operatorFile;
      return showList(arguments.list, out, err);
    case Arguments::Command::kCheckList:
      arguments.list.operatorFile = arguments.operatorFile;
      return checkList(arguments.list, out, err);
  }
  return kExitInternalError;
}

}  // namespace

int runCommandLine(int argc, const char* const* argv, Environment environment, std::ostream& out,
                   std::ostream& err) {
  try {
    CLI::App app("myrtleloft: a message relay that gives each request exactly one final status",
                 "myrtleloft");
    Arguments arguments;
    defineCommands(app, arguments);
    try {
      app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
      // CLI11 also throws for --help and --version; exit() then returns 0.
      return app.exit(error, out, err) == 0 ? kExitSuccess : kExitUsage;
    }
    return runCommand(arguments, std::move(environment), out, err);
  } catch (const ConfigError& error) {
    err << "myrtleloft: " << error.what() << '\n';
    return kExitUsage;
  } catch (const std::exception& error) {
    err << "myrtleloft: " << error.what() << '\n';
    return kExitInternalError;
  }
}

}  // namespace myrtleloft
