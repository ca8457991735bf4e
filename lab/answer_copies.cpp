#include "lab/answer_copies.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace myrtleloft::lab {
namespace {

enum class Form : std::uint8_t {
  kBehindAnswer,      // up to 40 ms behind the first copy, whether a call has come by then or not
  kBehindNextCall,    // up to 8 ms behind the connection's next call
  kTwice,             // two copies at once, behind the next call
  kFirstHalf,         // what comes behind the next call ends half-way
  kBehindInterim,     // an interim answer, and the copy, behind the next call
  kWithFurtherBytes,  // bytes of nothing stand behind the copy
  kCount
};
constexpr std::int64_t kLatestBehindAnswerMs = 40, kLatestBehindCallMs = 8;
const std::string kInterim = "HTTP/1.1 100 Continue\r\n\r\n";

std::string bytesOf(Form form, const std::string& answer) {
  switch (form) {
    case Form::kTwice:
      return answer + answer;
    case Form::kFirstHalf:
      return answer.substr(0, answer.size() / 2 + 1);
    case Form::kBehindInterim:
      return kInterim + answer;
    case Form::kWithFurtherBytes:
      return answer + "HTTP/1.";
    default:
      return answer;
  }
}

}  // namespace

void AnswerCopies::onCall(Hub::Id from, double nowMs) {
  for (auto [at, last] = waiting_.equal_range(from); at != last; ++at)
    at->second.dueMs = std::min(at->second.dueMs, nowMs + at->second.afterMs);
}

void AnswerCopies::onAnswer(Hub::Id to, const std::string& answer, std::int64_t number, double nowMs) {
  if (number % kAnsweredTwice != 0) return;
  const std::int64_t drawn = number / kAnsweredTwice;
  const auto form = static_cast<Form>(drawn % static_cast<std::int64_t>(Form::kCount));
  Copy copy{bytesOf(form, answer), static_cast<double>(drawn % (kLatestBehindCallMs + 1))};
  if (form == Form::kBehindAnswer)
    copy.dueMs = nowMs + static_cast<double>(drawn * 7 % (kLatestBehindAnswerMs + 1));
  waiting_.emplace(to, std::move(copy));
}

void AnswerCopies::turn(double nowMs) {
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    const auto& [to, copy] = *at;
    const bool due = copy.dueMs <= nowMs, open = hub_.open(to) && !hub_.gone(to);
    if (due && open) {
      hub_.send(to, copy.bytes);
      ++sent_;
    }
    at = due || !open ? waiting_.erase(at) : std::next(at);
  }
}

}  // namespace myrtleloft::lab
