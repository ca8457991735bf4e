// The command line and the operator's file: what they accept, and how they report errors.
#include "myrtleloft/command_line.h"

#include <doctest/doctest.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/operator_file.h"
#include "discovery/endpoint_cache.h"
#include "journal/journal.h"
#include "journal/segment.h"
#include "lab/module_site.h"

using namespace myrtleloft;
namespace fs = std::filesystem;

namespace {

struct Output {
  int code = 0;
  std::string out, err;
};

Output run(std::vector<const char*> arguments, const Environment& environment = {}) {
  arguments.insert(arguments.begin(), "myrtleloft");
  std::ostringstream out, err;
  Output result;
  result.code = runCommandLine(static_cast<int>(arguments.size()), arguments.data(), environment, out, err);
  result.out = out.str();
  result.err = err.str();
  return result;
}

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

// A folder with three pending requests, one with a final status, and at least a segment of completed ones.
struct Folder {
  Folder() {
    std::string name = (fs::temp_directory_path() / "cli-XXXXXX").string();
    path = ::mkdtemp(name.data());
    open();
    for (int i = 0; i < 200; ++i) {
      PendingRequest completed;
      completed.id = "over";
      completed.body = std::string(500, 'b');
      CHECK(journal->recordAccepted(completed));
      journal->recordCompleted(completed);
    }
    for (const char* id : {"r1", "r2", "r3"}) {
      PendingRequest& pending = requests.emplace_back();
      pending.id = id;
      pending.key = "SECRET-KEY";
      pending.body = "SECRET-BODY";
      CHECK(journal->recordAccepted(pending));
    }
    CHECK(journal->recordAttempt(requests[0], {"E1", 1, 5, 0}));
    CHECK(journal->recordFinalStatus(requests[1], FinalStatus::kFailed, 0));
  }
  ~Folder() { fs::remove_all(path); }
  void open() {
    JournalOptions options;
    options.folder = path;
    options.diskBytes = 1000000;
    options.owner = "pid 77, relay n9";
    options.salt = 3;
    journal = std::make_unique<Journal>(Journal::Parts{files, clock, log}, options);
    CHECK(journal->open());
  }

  std::string path;
  PosixFiles files;
  Clock clock;
  std::ostringstream log;
  std::deque<PendingRequest> requests;
  std::unique_ptr<Journal> journal;
};

std::string faultOf(const std::string& text) {
  try {
    parseOperatorFile(text, "f.toml");
  } catch (const ConfigError& error) {
    return error.what();
  }
  return "";
}

}  // namespace

TEST_CASE("arguments: help and version are answered, anything odd is refused with 2") {
  CHECK(has(run({"--help"}).out, "journal"));
  CHECK_EQ(run({"--help"}).code, 0);
  CHECK(has(run({"--version"}).out, "myrtleloft 0."));
  CHECK_EQ(run({"bogus"}).code, 2);
  CHECK_EQ(run({"journal"}).code, 2);
  CHECK_EQ(run({"journal", "verify"}).code, 2);
  CHECK_EQ(run({"journal", "compact", "/nowhere", "--disk-mb", "0"}).code, 2);
  const Output noArguments = run({});  // serves, and reports the missing variable
  CHECK_EQ(noArguments.code, 2);
  CHECK(has(noArguments.err, "BALANCER_CONFIG"));
  CHECK_EQ(run({"serve"}).code, 2);
  CHECK_EQ(run({"config", "check"}).code, 2);
}

TEST_CASE("a folder that a process holds is left alone, and the tool says who holds it") {
  Folder folder;
  for (const char* command : {"inspect", "verify", "dump", "compact"}) {
    const Output result = run({"journal", command, folder.path.c_str()});
    CHECK_EQ(result.code, 1);
    CHECK(has(result.err, "pid 77, relay n9"));
  }
}

TEST_CASE("a folder at rest: inspected, verified, dumped without secrets, compacted") {
  Folder folder;
  folder.journal.reset();
  const char* path = folder.path.c_str();
  CHECK(has(run({"journal", "inspect", path}).out, "owed=3 given_up=1 in_doubt=1"));
  CHECK(has(run({"journal", "inspect", path, "--json"}).out, "{\"owed\":3,"));
  CHECK_EQ(run({"journal", "verify", path}).code, 0);
  const Output dump = run({"journal", "dump", path, "--json"});
  CHECK_EQ(dump.code, 0);
  CHECK(has(dump.out, R"("type":"attempt","id":"r1","attempt":0,"endpoint":"E1")"));
  CHECK(has(dump.out, R"("body_bytes":11)"));
  CHECK_FALSE(has(dump.out, "SECRET"));

  const auto bytes = [&] {
    std::uintmax_t sum = 0;
    for (const auto& file : fs::directory_iterator(folder.path)) sum += file.file_size();
    return sum;
  };
  const auto before = bytes();
  const Output compacted = run({"journal", "compact", path});
  CHECK_EQ(compacted.code, 0);
  CHECK(has(compacted.out, "owed=3"));
  CHECK(bytes() < before / 10);
  CHECK(has(run({"journal", "inspect", path}).out, "owed=3 given_up=1 in_doubt=1"));
}

TEST_CASE("a damaged folder: verify says where and exits with 4, and changes nothing") {
  Folder folder;
  folder.journal.reset();
  const std::string file = folder.path + "/" + segmentName(2);
  std::fstream bytes(file, std::ios::in | std::ios::out | std::ios::binary);
  bytes.seekp(400);
  bytes.put('\x55');
  bytes.close();
  const auto changed = fs::last_write_time(file);
  for (int i = 0; i < 2; ++i) {
    const Output result = run({"journal", "verify", folder.path.c_str()});
    CHECK_EQ(result.code, 4);
    CHECK(has(result.out, segmentName(2) + " is damaged at byte "));
    CHECK(has(result.out, "result=damaged"));
  }
  CHECK(fs::last_write_time(file) == changed);
  CHECK_EQ(run({"journal", "verify", "/nowhere/at/all"}).code, 1);
}

TEST_CASE("the operator's file is read strictly, and a fault names key, line and column") {
  CHECK(parseOperatorFile("", "f").journal.durability == Durability::kProcess);
  const OperatorFile file =
      parseOperatorFile("[journal]\nsegment_kb = 64\nslice_kb = 32\ndurability = \"group\"\n", "f");
  CHECK_EQ(file.journal.segmentBytes, 64 * 1024);
  CHECK_EQ(file.journal.compactionStepBytes, 32 * 1024);
  CHECK(file.journal.durability == Durability::kGroup);

  CHECK(has(faultOf("[journal]\n  slice_kb = 1\n"),
            "f.toml:2:14: journal.slice_kb: expected a whole number from 16"));
  CHECK(has(faultOf("[journal]\nslice_kb = \"many\"\n"), "f.toml:2:12: journal.slice_kb"));
  CHECK(has(faultOf("[journal]\nslice_kb = 64.0\n"), "expected a whole number"));
  CHECK(has(faultOf("[journal]\nslice_kb = true\n"), "expected a whole number"));
  CHECK(has(faultOf("[journal]\nsegment_kb = -9223372036854775808\n"), "journal.segment_kb"));
  CHECK(has(faultOf("[journal]\ndurability = \"always\"\n"),
            "expected one of \"process\", \"group\", found 'always'"));
  CHECK(has(faultOf("[journal]\n\nslize_kb = 1\n"),
            "f.toml:3:1: journal.slize_kb: unknown key; valid keys: segment_kb, slice_kb, free_percent, "
            "durability"));
  CHECK(has(faultOf("[jornal]\n"), "f.toml:1:2: jornal: unknown"));
  CHECK(has(faultOf("journal = 3\n"), "journal: expected a section"));
  CHECK(has(faultOf("[journal]\nslice_kb = 64\nslice_kb = 65\n"), "f.toml:3:"));
  CHECK(has(faultOf("[journal\n"), "f.toml:1:"));
  const Output result =
      run({"config", "check", "--operator", "/no/such/file"}, {{"BALANCER_CONFIG", "/dev/null"}});
  CHECK_EQ(result.code, 2);
}

TEST_CASE("the section [membership]: defaults, each key, and what does not go together") {
  const OperatorFile::EndpointListSection plain = parseOperatorFile("", "f").endpointList;
  CHECK((plain.cache && plain.rejectByAge && plain.guardPercent == 0 && plain.directories.empty()));
  const OperatorFile::EndpointListSection m =
      parseOperatorFile(
          "[membership]\nkeep = false\nrefuse = false\nfresh_s = 300000\nguard_percent = 40\n"
          "guard_hold_s = 9\ndirectories = [\"127.0.0.1:8500\"]\nback_off_ms = 200\nmost_back_off_ms = 9000\n"
          "[membership.classes]\nbilling-charge = \"old\"\n",
          "f")
          .endpointList;
  CHECK((!m.cache && !m.rejectByAge && m.guardPercent == 40 && m.guardHoldSeconds == 9));
  CHECK((m.freshSeconds == 300000 && m.ageingSeconds == 300000 && m.staleSeconds == 2592000));  // raised
  CHECK((m.minBackoffMs == 200 && m.maxBackoffMs.value() == 9000));
  CHECK(m.directories == std::vector<std::string>{"127.0.0.1:8500"});
  REQUIRE(m.classes.size() == 1);
  CHECK((m.classes[0].className == "billing-charge" && m.classes[0].lastAccepted == 2));
  const auto fault = [](const char* lines) { return faultOf(std::string("[membership]\n") + lines); };
  CHECK(has(fault("ageing_s = 5\n"), "f.toml:2:12: membership.ageing_s: expected at least fresh_s, found 5"));
  CHECK(has(fault("old_s = 7000\n"), "f.toml:2:9: membership.old_s: expected at least ageing_s"));
  CHECK(
      has(fault("back_off_ms = 500\nmost_back_off_ms = 400\n"), "f.toml:3:20: membership.most_back_off_ms"));
  CHECK(has(fault("keep = 1\n"), "membership.keep: expected true or false, found 1"));
  CHECK(has(fault("directories = \"x\"\n"), "membership.directories: expected a list"));
  CHECK(has(fault("directories = [\"127.0.0.1:1\", \"nowhere\"]\n"),
            "f.toml:2:31: membership.directories: expected"));
  CHECK(has(fault("guard_percent = 100\n"), "expected a whole number from 0 to 99"));
  CHECK(has(fault("[membership.classes]\na = \"never\"\n"),
            "f.toml:3:5: membership.classes.a: expected one of"));
  CHECK(has(faultOf("[log]\nformat = \"xml\"\n"),
            "log.format: expected one of \"plain\", \"logfmt\", \"json\""));
  CHECK_EQ(parseOperatorFile("[log]\nformat = \"json\"\nlevel = \"error\"\n", "f").log.level, 3);
  CHECK(has(fault("fresh = 3\n"), "membership.fresh: unknown key; valid keys: keep, refuse, fresh_s"));
}

TEST_CASE("the section [quota]: a tree of nodes, and what cannot be one") {
  const std::string head = "[quota]\nwindows_s = [2, 60]\n";
  const std::string root = "[[quota.node]]\nname = \"u\"\ntenant = \"univ-costa\"\n";
  const QuotaPlan plan =
      parseOperatorFile(head + "header = \"X-Faculty\"\n" + root +
                            "messages = [5]\nworth = [0, 2.5]\ncalls = [7, 9]\n" +
                            "[[quota.node]]\nname = \"f\"\nparent = \"u\"\nunit = \"med\"\n",
                        "f")
          .quota;
  CHECK((plan.windowsS == std::vector<std::int64_t>{2, 60} && plan.header == "X-Faculty"));
  REQUIRE(plan.nodes.size() == 2);
  CHECK((plan.nodes[0].messages == std::vector<std::int64_t>{5}));
  CHECK((plan.nodes[0].worth == std::vector<double>{0, 2.5}));
  CHECK((plan.nodes[1].parent == "u" && plan.nodes[1].unit == "med"));
  CHECK(parseOperatorFile("", "f").quota.nodes.empty());

  const auto fault = [&](const std::string& lines) { return faultOf(head + lines); };
  const auto below = [&](const std::string& lines) { return fault(root + "[[quota.node]]\n" + lines); };
  CHECK(has(faultOf("[quota]\nwindows_s = [0]\n"), "f.toml:2:14: quota.windows_s: expected up to 8 spans"));
  CHECK(has(faultOf("[quota]\nwindows_s = [60, 60]\n"),
            "f.toml:2:13: quota.windows_s: expected each to be longer"));
  CHECK(has(fault("node = 3\n"), "quota.node: expected an array of sections [[quota.node]]"));
  CHECK(has(fault("[[quota.node]]\ntenant = \"t\"\n"), "f.toml:3:1: quota.node.name: missing"));
  CHECK(has(fault("[[quota.node]]\nname = \"t\"\n"), "f.toml:3:1: quota.node.tenant: missing"));
  CHECK(has(fault(root + "messages = [1, 2, 3]\n"), "f.toml:6:12: quota.node.messages: expected at most"));
  CHECK(has(fault(root + "worth = [-1]\n"), "f.toml:6:10: quota.node.worth: expected at most"));
  CHECK(has(fault(root + "mesages = [1]\n"), "f.toml:6:1: quota.node.mesages: unknown"));
  CHECK(has(fault(root + "unit = \"x\"\n"), "quota.node.unit: expected no unit in a node without a parent"));
  // A node that would be its own ancestor, or whose parent does not exist.
  CHECK(has(below("name = \"a\"\nparent = \"a\"\n"), "f.toml:8:10: quota.node.parent: expected the name of"));
  CHECK(has(below("name = \"u\"\nparent = \"u\"\n"),
            "f.toml:7:8: quota.node.name: expected a name that no earlier"));
  CHECK(has(below("name = \"v\"\ntenant = \"univ-costa\"\n"),
            "quota.node.tenant: expected a tenant that no earlier"));
  CHECK(has(below("name = \"v\"\nparent = \"u\"\nrest = true\n[[quota.node]]\nname = \"w\"\nparent = \"u\"\n"
                  "rest = true\n"),
            "f.toml:13:8: quota.node.rest: expected in at most one node of each tenant"));
  CHECK(has(fault(root + "rest = true\n"), "quota.node.rest: expected only in a node with a parent"));
  // Several nodes without a unit are allowed.
  CHECK(below("name = \"v\"\nparent = \"u\"\n[[quota.node]]\nname = \"w\"\nparent = \"u\"\n").empty());
  CHECK(has(below("name = \"v\"\nparent = \"u\"\nunit = \"m\"\n[[quota.node]]\nname = \"w\"\nparent = \"v\"\n"
                  "unit = \"m\"\n"),
            "f.toml:13:8: quota.node.unit: expected a unit that no earlier node of the tenant has"));
}

TEST_CASE("the kept list of a folder is shown and checked, by the operator's spans") {
  std::string folder = (fs::temp_directory_path() / "list-XXXXXX").string();
  REQUIRE(::mkdtemp(folder.data()));
  CHECK_EQ(run({"list", "show", folder.c_str()}).code, kExitUnavailable);
  lab::CountedShare share;
  struct Yesterday : Clock {
    double wallMs() const override { return Clock::wallMs() - 86400e3; }
    std::string machineRun() const override { return "another"; }
  } clock;
  PosixFiles files;
  std::ostringstream log;
  EndpointTable table;
  EndpointList list{41, true, {}};
  for (const char* uid : {"a", "b"}) {
    EndpointRecord& e = list.endpoints.emplace_back();
    e.info.endpoint = uid;
    e.info.destination = 7;
    e.address = parseAddress("127.0.0.1:3000").value();
  }
  list.endpoints[1].info.state = EndpointState::kDraining;
  EndpointCache cache({files, clock, share, log}, {folder, 1 << 20, 5, {{"norte"}, {"large"}}, {}});
  cache.markChanged(table.apply(list, ListUpdateKind::kSnapshot, 1e12).changedUids);
  cache.markConfirmed();
  cache.step(table);

  Output result = run({"list", "show", folder.c_str()});
  CHECK_EQ(result.code, kExitSuccess);
  CHECK(has(result.out, "uid=a endpoint=127.0.0.1:3000 destination=7 az=norte model=large state=active"));
  CHECK(has(result.out, "uid=b"));
  CHECK(has(result.out, "drains_since_ms=1000000000000.0"));
  CHECK(has(result.out, "rev=41 endpoints=2 draining=1"));
  result = run({"list", "check", folder.c_str()});
  CHECK(has(result.out, "trust=ageing whole=true once=refused by_key=accepted repeatable=accepted"));
  const std::string file = folder + "/o.toml";
  std::ofstream(file) << "[membership]\nfresh_s = 100000\n[membership.classes]\nx = \"fresh\"\n";
  result = run({"list", "check", folder.c_str(), "--json", "--operator", file.c_str()});
  CHECK(has(result.out, "\"trust\":\"fresh\",\"whole\":true,\"once\":\"accepted\""));
  CHECK(has(result.out, "\"x\":\"accepted\""));
  std::fstream(folder + "/members", std::ios::in | std::ios::out).seekp(200).put('!');
  result = run({"list", "check", folder.c_str()});
  CHECK_EQ(result.code, kExitCorrupt);
  CHECK(has(result.err, "damage at byte"));
  fs::remove_all(folder);
}

TEST_CASE("the operator's example under deploy/ is good") {
  CHECK(readOperatorFile(MYRTLELOFT_DEPLOY "/example.toml").journal.compactionStepBytes == 256 * 1024);
}
