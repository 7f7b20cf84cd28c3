// Search for the length in a request's header.

#include "http/request_size.h"

#include <charconv>

#include "amaranthlatch/runtime/http_headers.h"

namespace amaranthlatch::runtime::details {

namespace {

constexpr std::size_t kMaxHeadBytes = 65536;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLengthLine = "\r\ncontent-length:";

std::uint64_t StatedLength(const std::string& head) {
  const std::string lower = ToLowerCase(head);
  const std::size_t line = lower.find(kLengthLine);
  if (line == std::string::npos) {
    return 0;
  }
  const std::size_t value = lower.find_first_not_of(" \t", line + kLengthLine.size());
  std::uint64_t length = 0;
  if (value != std::string::npos) {
    std::from_chars(lower.data() + value, lower.data() + lower.size(), length);
  }
  return length;
}

}  // namespace

void RequestSize::Add(std::string_view bytes) {
  this->received += bytes.size();
  if (this->head_ended) {
    return;
  }
  this->head.append(bytes);
  const std::size_t end = this->head.find(kHeadEnd);
  if (end == std::string::npos && this->head.size() < kMaxHeadBytes) {
    return;
  }
  if (end != std::string::npos) {
    this->head.resize(end);
    this->stated = StatedLength(this->head) + end + kHeadEnd.size();
  }
  this->head_ended = true;
  this->head = {};
}

}  // namespace amaranthlatch::runtime::details
