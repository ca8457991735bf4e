#include "log/log.h"

// Headers only: nothing to be there at run time.
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
  return std::visit([](const auto& held) { return Json(held); }, value);
}

// Quoted where a reader of key=value would stumble over it.
std::string logfmtOf(const LogField::Value& value) {
  const auto* text = std::get_if<std::string>(&value);
  if (!text) return jsonText(jsonOf(value));
  const bool plain =
      !text->empty() && text->find_first_of(" =\"\\") == text->npos &&
      std::none_of(text->begin(), text->end(), [](unsigned char byte) { return byte < 0x21 || byte > 0x7e; });
  return plain ? *text : jsonText(Json(*text));
}

// A line is a line: what came from outside must not begin another.
std::string oneLine(std::string_view text) {
  std::string line(text);
  for (char& byte : line)
    if (byte == '\n' || byte == '\r') byte = ' ';
  return line;
}

}  // namespace

std::string asText(const LogField::Value& value) { return logfmtOf(value); }

struct Log::Impl {
  struct Said {
    double atMs = -1e18;
    std::uint64_t untold = 0;
  };

  Impl(std::ostream& out, const LogOptions& chosen, const Clock& given)
      : options(chosen),
        clock(given),
        logger("", std::make_shared<spdlog::sinks::ostream_sink_st>(out, true)) {
    switch (options.format) {
      case LogFormat::kPlain:
        set("%v");
        break;
      case LogFormat::kLogfmt:
        set("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v");
        break;
      case LogFormat::kJson:
        set(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})");
    }
    logger.set_level(levelOf(options.least));
  }
  void set(std::string pattern) {
    logger.set_formatter(
        std::make_unique<spdlog::pattern_formatter>(std::move(pattern), spdlog::pattern_time_type::utc));
  }

  std::string lineOf(std::string_view event, std::string_view text, const Fields& fields) const {
    if (options.format == LogFormat::kPlain) return oneLine(text);
    if (options.format == LogFormat::kLogfmt) {
      std::string line;
      if (!options.relay.empty()) line = "relay=" + logfmtOf(options.relay) + " ";
      line.append("event=").append(event);
      for (const LogField& field : fields) line += " " + field.name + "=" + logfmtOf(field.value);
      return line + " msg=" + jsonText(Json(oneLine(text)));
    }
    Json json;
    if (!options.relay.empty()) json["relay"] = options.relay;
    json["event"] = event;
    for (const LogField& field : fields) json[field.name] = jsonOf(field.value);
    json["msg"] = oneLine(text);
    const std::string object = jsonText(json);
    return object.substr(1, object.size() - 2);  // the pattern has the braces
  }

  LogOptions options;
  const Clock& clock;
  spdlog::logger logger;
  std::map<std::string, Said, std::less<>> said;  // by event
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
    impl_->logger.log(when, spdlog::source_loc(), levelOf(level), impl_->lineOf(event, text, fields));
}

void Log::writeRateLimited(double nowMs, LogLevel level, std::string_view event, std::string_view text,
                           const Fields& fields) const {
  Impl::Said& said = impl_->said.try_emplace(std::string(event)).first->second;
  if (nowMs < said.atMs + impl_->options.againMs) {
    ++said.untold;
    return;
  }
  const std::uint64_t untold = std::exchange(said.untold, 0);
  said.atMs = nowMs;
  if (untold == 0) return write(level, event, text, fields);
  Fields all = fields;
  all.emplace_back("before", untold);
  write(level, event, std::string(text) + " (and " + std::to_string(untold) + " before)", all);
}

void Log::pairs(std::string_view lines) const {
  std::istringstream text{std::string(lines)};
  for (std::string line; std::getline(text, line);) {
    const std::size_t colon = line.find(": ");
    std::string event = line.substr(0, colon);
    for (char& byte : event)
      if (byte == ' ') byte = '.';
    Fields fields;
    std::istringstream rest(colon == line.npos ? std::string() : line.substr(colon + 2));
    for (std::string pair; rest >> pair;) {
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
