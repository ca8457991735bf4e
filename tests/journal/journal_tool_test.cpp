// The command line tools on a journal whose segments have name tables.
#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "journal/journal.h"
#include "myrtleloft/command_line.h"

using namespace myrtleloft;
namespace fs = std::filesystem;

namespace {

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

struct Folder {
  Folder() {
    std::string name = (fs::temp_directory_path() / "names-XXXXXX").string();
    path = ::mkdtemp(name.data());
  }
  ~Folder() { fs::remove_all(path); }
  // Writes what a process with a class of this name and one pending request leaves in the folder.
  void writeRequest(const char* cls, const char* id) const {
    PosixFiles files;
    const Clock clock;
    std::ostringstream log;
    JournalOptions options{path, 1000000, 0, {}, "the test", 7};
    if (*cls)
      options.names = {
          {{cls, Idempotency::kNonIdempotent, DeduplicationScope::kDestination, 5000}}, {"costa"}, {"norte"}};
    Journal journal({files, clock, log}, options);
    auto found = journal.open();
    REQUIRE(found);
    for (RecoveredRequest& request : found->pending) journal.attach(request.pending);
    PendingRequest request;
    request.id = id;
    REQUIRE(journal.recordAccepted(request));
    REQUIRE(journal.recordAttempt(request, {"E1", 0, 5, 0}));
  }
  int run(const char* command, std::string& out) const {
    const std::vector<const char*> arguments = {"myrtleloft", "journal", command, path.c_str(), "--json"};
    std::ostringstream text;
    const int code = runCommandLine(static_cast<int>(arguments.size()), arguments.data(), {}, text, text);
    out = text.str();
    return code;
  }
  std::string path;
};

}  // namespace

TEST_CASE("journal inspect, verify, dump and compact support name tables") {
  const Folder folder;
  folder.writeRequest("charge", "a");
  folder.writeRequest("charge", "b");
  std::string out;
  CHECK_EQ(folder.run("verify", out), kExitSuccess);
  CHECK(has(out, R"("owed":2)"));
  CHECK(has(out, R"("records":4)"));  // name tables are not counted
  CHECK_EQ(folder.run("inspect", out), kExitSuccess);
  CHECK(has(out, R"("in_doubt":2)"));
  CHECK_EQ(folder.run("dump", out), kExitSuccess);
  CHECK(has(out, R"("type":"names","classes":["charge"],"tenants":["costa"],"zones":["norte"])"));
  CHECK_EQ(folder.run("compact", out), kExitSuccess);
  CHECK(has(out, R"("owed":2)"));
  CHECK_EQ(folder.run("dump", out), kExitSuccess);
  CHECK(has(out, R"("classes":["charge"])"));
  CHECK_EQ(folder.run("verify", out), kExitSuccess);
}

TEST_CASE("journal compact refuses a folder with records of more than one configuration") {
  for (const char* first : {"charge", ""}) {
    const Folder folder;
    folder.writeRequest(first, "a");
    folder.writeRequest("status", "b");
    std::string out, before, after;
    CHECK_EQ(folder.run("dump", before), kExitSuccess);
    CHECK_EQ(folder.run("compact", out), kExitUnavailable);
    CHECK(has(out, "records of more than one configuration"));
    CHECK_EQ(folder.run("dump", after), kExitSuccess);
    CHECK_EQ(before, after);
  }
}
