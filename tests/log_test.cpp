// The log's formats, what comes from outside in them, and faults that repeat.
#include "log/log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

#include "lab/hand_clock.h"
#include "myrtleloft/standard_error.h"
#include "net/socket.h"

using namespace myrtleloft;

namespace {

const lab::HandClock fixed = [] {
  lab::HandClock c;
  c.wall = 1764581400123;  // 2025-12-01T09:30:00.123Z
  return c;
}();

std::string written(const LogOptions& options, const std::string& text, const Log::Fields& fields) {
  std::ostringstream out;
  Log(out, options, fixed).write(LogLevel::kWarning, "list.gap", text, fields);
  return out.str();
}

}  // namespace

TEST_CASE("a line in each format, and none that text from outside could begin") {
  const std::string text = "a \"b\"\nlevel=error c=d";
  const Log::Fields fields = {{"rev", 41}, {"file", "x y"}, {"plain", "abc"}, {"whole", true}, {"part", 0.5}};
  CHECK_EQ(written({}, text, fields), "a \"b\" level=error c=d\n");
  CHECK_EQ(
      written({LogFormat::kLogfmt, LogLevel::kInfo, "n3", 0}, text, fields),
      "time=2025-12-01T09:30:00.123Z level=warning relay=n3 event=list.gap rev=41 file=\"x y\" plain=abc "
      "whole=true part=0.5 msg=\"a \\\"b\\\" level=error c=d\"\n");
  const std::string line = written({LogFormat::kJson, LogLevel::kInfo, "n3", 0}, text, fields);
  CHECK(line.find('\n') == line.size() - 1);
  const auto json = nlohmann::json::parse(line);
  CHECK(json["time"] == "2025-12-01T09:30:00.123Z");
  CHECK(json["level"] == "warning");
  CHECK(json["event"] == "list.gap");
  CHECK(json["rev"] == 41);
  CHECK(json["file"] == "x y");
  CHECK(json["msg"] == "a \"b\" level=error c=d");
  // Bytes that are no text must not spoil the line.
  CHECK(nlohmann::json::accept(
      written({LogFormat::kJson, LogLevel::kInfo, "", 0}, "\xff\x01", {{"id", "\xfe"}})));
  CHECK(written({LogFormat::kLogfmt, LogLevel::kError, "", 0}, text, fields).empty());
}

TEST_CASE("a fault that repeats is said once in a while, with how often it came") {
  std::ostringstream out;
  const Log log(out, {}, fixed);
  const Log copy = log;
  log.writeRateLimited(0, LogLevel::kError, "journal.fault", "x", {});
  for (int ms = 1; ms < 1000; ++ms) copy.writeRateLimited(ms, LogLevel::kError, "journal.fault", "x", {});
  log.writeRateLimited(500, LogLevel::kError, "list.gap", "another", {});
  log.writeRateLimited(1000, LogLevel::kError, "journal.fault", "x", {});
  log.writeRateLimited(5000, LogLevel::kError, "journal.fault", "x", {});
  CHECK_EQ(out.str(), "x\nanother\nx (and 999 before)\nx\n");
}

TEST_CASE("counters become events with fields") {
  std::ostringstream out;
  Log(out, {LogFormat::kJson, LogLevel::kInfo, "", 0}, fixed)
      .pairs("counters in: requests=3 freshness=old\n");
  const auto json = nlohmann::json::parse(out.str());
  CHECK(json["event"] == "counters.in");
  CHECK(json["requests"] == 3);
  CHECK(json["freshness"] == "old");
}

TEST_CASE("a reader that has stopped reading, or is gone, costs lines and never a wait") {
  std::array<int, 2> ends{};
  REQUIRE(::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) == 0);
  const Fd reader(ends[0]), writer(ends[1]);
  REQUIRE(::fcntl(writer.get(), F_SETFL, 0) == 0);  // waits, as standard error does
  const auto arrived = [&reader] {
    std::string text, piece(1 << 16, ' ');
    for (ssize_t got; (got = ::read(reader.get(), piece.data(), piece.size())) > 0;)
      text.append(piece, 0, static_cast<std::size_t>(got));
    return text;
  };
  StandardError err(writer.get());
  const LogOptions options{LogFormat::kPlain, LogLevel::kInfo, "n3", 0};
  const Log log(err, options, fixed);
  constexpr int kLines = 1000;  // of 1,000 bytes, some 15 times what the pipe takes
  for (int i = 0; i < kLines; ++i) log.write(LogLevel::kInfo, "list.gap", std::string(999, 'x'));
  const auto kept = static_cast<int>(arrived().size() / 1000);
  CHECK(kept > 10);
  CHECK(kept < kLines);
  log.write(LogLevel::kInfo, "list.gap", "again");
  CHECK(arrived() ==
        "(" + std::to_string(kLines - kept) + " before were dropped: nobody read them)\nagain\n");
  log.write(LogLevel::kInfo, "list.gap", "and on");
  CHECK(arrived() == "and on\n");
}
