// What a broken play of the soak prints for its reader.
#include "lab/soak_evidence.h"

#include <doctest/doctest.h>

#include "tests/auditor_story.h"

using namespace myrtleloft::lab;

TEST_CASE("the evidence of a lost request has its lines, its relay's troubles and its lines of the logs") {
  Story story;
  story.taken("status-update");
  story.lab(100, Saw::kStopped).lab(400, Saw::kContinued).lab(420, Saw::kStarved, "n1", 12);
  story.lab(500, Saw::kStopped, "n2");
  const AuditFinding lost{Rule::kLost, "m", {0, 1}};

  const std::string text = evidenceOf({lost}, story, "level=debug id=m\nlevel=debug id=other\n");

  CHECK(text.find("broken: lost m") != std::string::npos);
  CHECK(text.find("stopped n1") != std::string::npos);
  CHECK(text.find("continued n1") != std::string::npos);
  CHECK(text.find("starved for 12 ms") != std::string::npos);
  CHECK(text.find("n2") == std::string::npos);
  CHECK(text.find("log level=debug id=m") != std::string::npos);
  CHECK(text.find("id=other") == std::string::npos);
}
