#include "log/log.h"

// The header-only form of fmt, which needs no shared library at run time.
#define FMT_HEADER_ONLY
#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace myrtleloft {
namespace {

using Json = nlohmann::ordered_json;

spdlog::level::level_enum levelOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      break;
  }
  return spdlog::level::err;
}

std::string jsonText(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

Json jsonOf(const LogField::Value& value) {
  return std::visit([](const auto& alternative) { return Json(alternative); }, value);
}

// Quotes a text that a parser of key=value pairs would misread.
std::string logfmtOf(const LogField::Value& value) {
  const auto* text = std::get_if<std::string>(&value);
  if (!text) return jsonText(jsonOf(value));
  const bool needsNoQuotes =
      !text->empty() && text->find_first_of(" =\"\\") == text->npos &&
      std::none_of(text->begin(), text->end(), [](unsigned char byte) { return byte < 0x21 || byte > 0x7e; });
  return needsNoQuotes ? *text : jsonText(Json(*text));
}

// Replaces line breaks, so that text from outside cannot start a line of its own.
std::string withoutLineBreaks(std::string_view text) {
  std::string line(text);
  for (char& byte : line)
    if (byte == '\n' || byte == '\r') byte = ' ';
  return line;
}

}  // namespace

std::string asText(const LogField::Value& value) { return logfmtOf(value); }

struct Log::Impl {
  // State of one rate-limited event.
  struct RateLimitedLog {
    double writtenMs = -1e18;      // when it was last written
    std::uint64_t suppressed = 0;  // occurrences since then
  };

  Impl(std::ostream& out, const LogOptions& logOptions, const Clock& logClock)
      : options(logOptions),
        clock(logClock),
        logger("", std::make_shared<spdlog::sinks::ostream_sink_st>(out, true)) {
    switch (options.format) {
      case LogFormat::kPlain:
        setPattern("%v");
        break;
      case LogFormat::kLogfmt:
        setPattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v");
        break;
      case LogFormat::kJson:
        setPattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})");
    }
    logger.set_level(levelOf(options.minLevel));
  }
  void setPattern(std::string pattern) {
    logger.set_formatter(
        std::make_unique<spdlog::pattern_formatter>(std::move(pattern), spdlog::pattern_time_type::utc));
  }

  std::string formatLine(std::string_view event, std::string_view text, const Fields& fields) const {
    if (options.format == LogFormat::kPlain) return withoutLineBreaks(text);
    if (options.format == LogFormat::kLogfmt) {
      std::string line;
      if (!options.relay.empty()) line = "relay=" + logfmtOf(options.relay) + " ";
      line.append("event=").append(event);
      for (const LogField& field : fields) line += " " + field.name + "=" + logfmtOf(field.value);
      return line + " msg=" + jsonText(Json(withoutLineBreaks(text)));
    }
    Json json;
    if (!options.relay.empty()) json["relay"] = options.relay;
    json["event"] = event;
    for (const LogField& field : fields) json[field.name] = jsonOf(field.value);
    json["msg"] = withoutLineBreaks(text);
    const std::string object = jsonText(json);
    return object.substr(1, object.size() - 2);  // the pattern contains the braces
  }

  LogOptions options;
  const Clock& clock;
  spdlog::logger logger;
  std::map<std::string, RateLimitedLog, std::less<>> rateLimitedEvents;
};

Log::Log(std::ostream& out) {
  static const Clock kSystem;
  impl_ = std::make_shared<Impl>(out, LogOptions(), kSystem);
}

Log::Log(std::ostream& out, const LogOptions& options, const Clock& clock)
    : impl_(std::make_shared<Impl>(out, options, clock)) {}

bool Log::writes(LogLevel level) const { return impl_->logger.should_log(levelOf(level)); }

void Log::write(LogLevel level, std::string_view event, std::string_view text, const Fields& fields) const {
  using Wall = std::chrono::system_clock;
  const auto ms = std::chrono::duration<double, std::milli>(impl_->clock.wallMs());
  const Wall::time_point when(std::chrono::duration_cast<Wall::duration>(ms));
  if (impl_->logger.should_log(levelOf(level)))
    impl_->logger.log(when, spdlog::source_loc(), levelOf(level), impl_->formatLine(event, text, fields));
}

void Log::writeRateLimited(double nowMs, LogLevel level, std::string_view event, std::string_view text,
                           const Fields& fields) const {
  Impl::RateLimitedLog& rateLimited = impl_->rateLimitedEvents.try_emplace(std::string(event)).first->second;
  if (nowMs < rateLimited.writtenMs + impl_->options.repeatIntervalMs) {
    ++rateLimited.suppressed;
    return;
  }
  const std::uint64_t suppressed = std::exchange(rateLimited.suppressed, 0);
  rateLimited.writtenMs = nowMs;
  if (suppressed == 0) return write(level, event, text, fields);
  Fields allFields = fields;
  allFields.emplace_back("before", suppressed);
  write(level, event,
        std::string(text) + " (" + std::to_string(suppressed) + " earlier occurrences suppressed)",
        allFields);
}

void Log::writeCounters(std::string_view lines) const {
  std::istringstream text{std::string(lines)};
  for (std::string line; std::getline(text, line);) {
    const std::size_t colon = line.find(": ");
    std::string event = line.substr(0, colon);
    for (char& byte : event)
      if (byte == ' ') byte = '.';
    Fields fields;
    std::istringstream pairs(colon == line.npos ? std::string() : line.substr(colon + 2));
    for (std::string pair; pairs >> pair;) {
      const std::size_t equals = pair.find('=');
      if (equals == pair.npos) continue;
      const std::string value = pair.substr(equals + 1);
      std::int64_t number = 0;
      const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
      if (error == std::errc() && end == value.data() + value.size())
        fields.emplace_back(pair.substr(0, equals), number);
      else
        fields.emplace_back(pair.substr(0, equals), value);
    }
    write(LogLevel::kInfo, event, line, fields);
  }
}

}  // namespace myrtleloft
