// Checks of header lines and framing.

#include "http/response_head.h"

#include <algorithm>
#include <charconv>
#include <system_error>

#include "amaranthlatch/runtime/http_headers.h"

namespace amaranthlatch::runtime::details {

namespace {

constexpr std::string_view kBlanks = " \t";
constexpr std::string_view kLengthField = "content-length";
constexpr std::string_view kCodingField = "transfer-encoding";

std::string_view Trim(std::string_view text) {
  const std::size_t first = std::min(text.find_first_not_of(kBlanks), text.size());
  text.remove_prefix(first);
  return text.substr(0, text.find_last_not_of(kBlanks) + 1);
}

// Whether a line begins an answer of HTTP/1.x. libcurl reads the digits that it finds and takes
// whatever number they make.
bool IsStatusLine(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.x ";
  constexpr std::string_view kMinorVersions = "01";
  constexpr std::size_t kDigits = 3;
  constexpr int kMinStatus = 100;
  constexpr int kMaxStatus = 599;
  if (line.size() < kVersion.size() + kDigits || !line.starts_with("HTTP/1.") ||
      kMinorVersions.find(line[kVersion.size() - 2]) == std::string_view::npos ||
      line[kVersion.size() - 1] != ' ') {
    return false;
  }
  const std::string_view digits = line.substr(kVersion.size(), kDigits);
  const std::string_view rest = line.substr(kVersion.size() + kDigits);
  int status = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), status);
  return error == std::errc() && end == digits.data() + digits.size() && status >= kMinStatus &&
         status <= kMaxStatus && (rest.empty() || rest.front() == ' ');
}

}  // namespace

bool ResponseHead::Add(std::string_view line) {
  if (this->has_status_line) {
    // A status line further down belongs to another answer: this one broke off.
    return this->AddField(line);
  }
  constexpr std::string_view kProtocol = "HTTP/";
  this->has_status_line = IsStatusLine(line) && line.find(kProtocol, 1) == std::string_view::npos;
  this->is_http_1_0 = line.starts_with("HTTP/1.0");
  return this->has_status_line;
}

bool ResponseHead::AddField(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = Trim(line.substr(colon + 1));
  // This excludes blanks before the colon and continued lines too.
  if (!IsValidField(name, value)) {
    return false;
  }
  this->fields.emplace_back(ToLowerCase(name), value);
  return true;
}

bool ResponseHead::EndInterim() {
  const bool framed = std::any_of(this->fields.begin(), this->fields.end(), [](const auto& field) {
    return field.first == kLengthField || field.first == kCodingField;
  });
  // libcurl would apply the framing to the final answer.
  const bool valid = this->has_status_line && !framed;
  *this = ResponseHead();
  return valid;
}

bool ResponseHead::End() {
  for (const auto& [name, value] : this->fields) {
    if (name == kLengthField) {
      if (!this->ReadLength(value)) {
        return false;
      }
    } else if (name == kCodingField) {
      const bool is_first = this->framing == Framing::kConnectionEnd;
      if (!is_first || this->is_http_1_0 || ToLowerCase(value) != "chunked") {
        return false;
      }
      this->framing = Framing::kChunked;
    }
  }
  return this->has_status_line;
}

bool ResponseHead::ReadLength(std::string_view value) {
  std::uint64_t number = 0;
  const auto [end, status] = std::from_chars(value.data(), value.data() + value.size(), number);
  if (status != std::errc() || end != value.data() + value.size()) {
    return false;
  }
  const bool is_first = this->framing == Framing::kConnectionEnd;
  const bool is_repeated = this->framing == Framing::kLength && this->length == number;
  this->framing = Framing::kLength;
  this->length = number;
  return is_first || is_repeated;
}

}  // namespace amaranthlatch::runtime::details
