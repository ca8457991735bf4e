#include "net/http.h"

namespace myrtleloft {
namespace {

std::string_view reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 414:
      return "URI Too Long";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 503:
      return "Service Unavailable";
    default:
      return "Unknown";
  }
}

void putHead(std::string& out, const Headers& headers, std::size_t bodySize) {
  for (const auto& [name, value] : headers) out.append(name).append(": ").append(value).append("\r\n");
  out.append("Content-Length: ").append(std::to_string(bodySize)).append("\r\n\r\n");
}

}  // namespace

std::string writeRequest(std::string_view method, std::string_view target, std::string_view host,
                         const Headers& headers, std::string_view body) {
  std::string out;
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n");
  putHead(out, headers, body.size());
  return out.append(body);
}

std::string writeAnswer(int status, const Headers& headers, std::string_view body, bool keepAlive) {
  std::string out = "HTTP/1.1 " + std::to_string(status);
  out.append(" ").append(reason(status)).append("\r\n");
  if (!keepAlive) out.append("Connection: close\r\n");
  putHead(out, headers, body.size());
  return out.append(body);
}

}  // namespace myrtleloft
