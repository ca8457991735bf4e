// The log's formats with text from outside, rate-limited events, and a standard error that is not read.
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
  lab::HandClock clock;
  clock.wall = 1764581400123;  // 2025-12-01T09:30:00.123Z
  return clock;
}();

std::string writtenLine(const LogOptions& options, const std::string& text, const Log::Fields& fields) {
  std::ostringstream out;
  Log(out, options, fixed).write(LogLevel::kWarning, "list.gap", text, fields);
  return out.str();
}

}  // namespace

TEST_CASE("a line in each format, and none that text from outside could begin") {
  const std::string text = "a \"b\"\nlevel=error c=d";
  const Log::Fields fields = {{"rev", 41}, {"file", "x y"}, {"plain", "abc"}, {"whole", true}, {"part", 0.5}};
  CHECK_EQ(writtenLine({}, text, fields), "a \"b\" level=error c=d\n");
  CHECK_EQ(
      writtenLine({LogFormat::kLogfmt, LogLevel::kInfo, "n3", 0}, text, fields),
      "time=2025-12-01T09:30:00.123Z level=warning relay=n3 event=list.gap rev=41 file=\"x y\" plain=abc "
      "whole=true part=0.5 msg=\"a \\\"b\\\" level=error c=d\"\n");
  const std::string line = writtenLine({LogFormat::kJson, LogLevel::kInfo, "n3", 0}, text, fields);
  CHECK(line.find('\n') == line.size() - 1);
  const auto json = nlohmann::json::parse(line);
  CHECK(json["time"] == "2025-12-01T09:30:00.123Z");
  CHECK(json["level"] == "warning");
  CHECK(json["event"] == "list.gap");
  CHECK(json["rev"] == 41);
  CHECK(json["file"] == "x y");
  CHECK(json["msg"] == "a \"b\" level=error c=d");
  // Bytes that are not valid UTF-8 must not make the line invalid JSON.
  CHECK(nlohmann::json::accept(
      writtenLine({LogFormat::kJson, LogLevel::kInfo, "", 0}, "\xff\x01", {{"id", "\xfe"}})));
  CHECK(writtenLine({LogFormat::kLogfmt, LogLevel::kError, "", 0}, text, fields).empty());
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
  CHECK_EQ(out.str(), "x\nanother\nx (999 earlier occurrences suppressed)\nx\n");
}

TEST_CASE("counters become events with fields") {
  std::ostringstream out;
  Log(out, {LogFormat::kJson, LogLevel::kInfo, "", 0}, fixed)
      .writeCounters("counters in: requests=3 freshness=old\n");
  const auto json = nlohmann::json::parse(out.str());
  CHECK(json["event"] == "counters.in");
  CHECK(json["requests"] == 3);
  CHECK(json["freshness"] == "old");
}

TEST_CASE("a reader that has stopped reading, or is gone, costs lines and never a wait") {
  std::array<int, 2> ends{};
  REQUIRE(::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) == 0);
  const Fd reader(ends[0]), writer(ends[1]);
  REQUIRE(::fcntl(writer.get(), F_SETFL, 0) == 0);  // blocking, like standard error
  const auto readAll = [&reader] {
    std::string text, chunk(1 << 16, ' ');
    for (ssize_t count; (count = ::read(reader.get(), chunk.data(), chunk.size())) > 0;)
      text.append(chunk, 0, static_cast<std::size_t>(count));
    return text;
  };
  StandardError err(writer.get());
  const LogOptions options{LogFormat::kPlain, LogLevel::kInfo, "n3", 0};
  const Log log(err, options, fixed);
  constexpr int kLines = 1000;  // of 1,000 bytes each, about 15 times the capacity of the pipe
  for (int i = 0; i < kLines; ++i) log.write(LogLevel::kInfo, "list.gap", std::string(999, 'x'));
  const auto linesRead = static_cast<int>(readAll().size() / 1000);
  CHECK(linesRead > 10);
  CHECK(linesRead < kLines);
  log.write(LogLevel::kInfo, "list.gap", "again");
  CHECK(readAll() == "(" + std::to_string(kLines - linesRead) +
                         " earlier messages dropped: standard error was not read)\nagain\n");
  log.write(LogLevel::kInfo, "list.gap", "and on");
  CHECK(readAll() == "and on\n");
}
