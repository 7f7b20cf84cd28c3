// Bounded decoding of JSON text and CBOR. Do not change the error messages, nor the output of Quote
// and EscapePointerToken, which error messages and pointers contain: see ErrorSink in
// object_reader.h.

#include "amaranthlatch/document/json_guard.h"

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "amaranthlatch/document/document_limits.h"

namespace amaranthlatch::document {

namespace {

using nlohmann::json;
using utils::ErrorCode;

constexpr std::size_t kMaxQuotedLength = 64;
constexpr char kFirstPrintable = 0x20;
constexpr char kLastPrintable = 0x7e;

bool IsPrintable(char c) { return c >= kFirstPrintable && c <= kLastPrintable; }

// SAX handler that checks nesting depth and duplicate keys without building the value; stops at the
// first error.
class StructureValidator final : public nlohmann::json_sax<json> {
 public:
  utils::Error error;

  bool null() override { return this->EndValue(); }
  bool boolean(bool /*value*/) override { return this->EndValue(); }
  bool number_integer(number_integer_t /*value*/) override { return this->EndValue(); }
  bool number_unsigned(number_unsigned_t /*value*/) override { return this->EndValue(); }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override {
    return this->EndValue();
  }
  bool string(string_t& /*value*/) override { return this->EndValue(); }
  bool binary(binary_t& /*value*/) override { return this->EndValue(); }
  bool start_object(std::size_t /*size*/) override { return this->EnterContainer(false); }
  bool start_array(std::size_t /*size*/) override { return this->EnterContainer(true); }
  bool end_object() override { return this->LeaveContainer(); }
  bool end_array() override { return this->LeaveContainer(); }

  bool key(string_t& name) override {
    Level& level = this->levels.back();
    level.key = name;
    if (level.keys.insert(name).second) {
      return true;
    }
    this->error = {ErrorCode::kDocumentDuplicateName, "field occurs twice", this->Pointer()};
    return false;
  }

  bool parse_error(std::size_t position, const std::string& /*token*/,
                   const json::exception& exception) override {
    std::string message = "not JSON at byte " + std::to_string(position);
    message.append(": ").append(Quote(exception.what()));
    this->error = {ErrorCode::kDocumentNotJson, std::move(message), {}};
    return false;
  }

 private:
  struct Level {
    bool is_array = false;
    std::size_t index = 0;
    std::string key;
    std::set<std::string> keys;
  };
  std::vector<Level> levels;

  bool EndValue() {
    if (!this->levels.empty()) {
      ++this->levels.back().index;
    }
    return true;
  }

  bool EnterContainer(bool is_array) {
    if (this->levels.size() >= kMaxJsonDepth) {
      this->error = {ErrorCode::kDocumentNotJson,
                     "nested deeper than " + std::to_string(kMaxJsonDepth) + " levels",
                     this->Pointer()};
      return false;
    }
    this->levels.push_back({is_array, 0, {}, {}});
    return true;
  }

  bool LeaveContainer() {
    this->levels.pop_back();
    return this->EndValue();
  }

  std::string Pointer() const {
    std::string pointer;
    for (const Level& level : this->levels) {
      pointer.append("/").append(level.is_array ? std::to_string(level.index)
                                                : EscapePointerToken(level.key));
    }
    return pointer;
  }
};

// Number of continuation bytes after the lead byte of a UTF-8 sequence; -1 for an invalid lead
// byte.
int ContinuationByteCount(unsigned char lead) {
  if (lead < 0x80) {
    return 0;
  }
  if (lead >= 0xc2 && lead <= 0xdf) {
    return 1;
  }
  if (lead >= 0xe0 && lead <= 0xef) {
    return 2;
  }
  return lead >= 0xf0 && lead <= 0xf4 ? 3 : -1;
}

// Rejects overlong encodings, surrogates and code points above U+10FFFF.
bool IsSecondByteAllowed(unsigned char lead, unsigned char second) {
  switch (lead) {
    case 0xe0:
      return second >= 0xa0;
    case 0xed:
      return second <= 0x9f;
    case 0xf0:
      return second >= 0x90;
    case 0xf4:
      return second <= 0x8f;
    default:
      return true;
  }
}

}  // namespace

utils::Result<void> CheckJsonText(std::string_view text) {
  StructureValidator check;
  if (!json::sax_parse(text, &check)) {
    return tl::unexpected(check.error);
  }
  return {};
}

utils::Result<json> ParseJsonText(std::string_view text) {
  if (const auto checked = CheckJsonText(text); !checked) {
    return tl::unexpected(checked.error());
  }
  return json::parse(text);
}

utils::Result<json> ParseCbor(std::string_view bytes, ErrorCode malformed) {
  StructureValidator check;
  if (!json::sax_parse(bytes, &check, json::input_format_t::cbor)) {
    return utils::Fail(malformed, check.error.message, check.error.pointer);
  }
  return json::from_cbor(bytes);
}

bool IsDepthWithin(const json& value, std::size_t limit) {
  if (!value.is_structured()) {
    return true;
  }
  if (limit == 0) {
    return false;
  }
  for (const json& child : value) {
    if (!IsDepthWithin(child, limit - 1)) {
      return false;
    }
  }
  return true;
}

bool IsPrintableUtf8(std::string_view text) {
  constexpr unsigned char kDelete = 0x7f;
  for (std::size_t i = 0; i < text.size();) {
    const auto lead = static_cast<unsigned char>(text[i]);
    const int count = ContinuationByteCount(lead);
    if (count < 0 || i + count >= text.size() || lead < kFirstPrintable || lead == kDelete) {
      return false;
    }
    for (int k = 1; k <= count; ++k) {
      const auto byte = static_cast<unsigned char>(text[i + k]);
      if ((byte & 0xc0U) != 0x80 || (k == 1 && !IsSecondByteAllowed(lead, byte))) {
        return false;
      }
    }
    i += static_cast<std::size_t>(count) + 1;
  }
  return true;
}

std::string Quote(std::string_view text) {
  std::string quoted = "\"";
  for (const char c : text.substr(0, kMaxQuotedLength)) {
    quoted.push_back(IsPrintable(c) ? c : '?');
  }
  return quoted.append(text.size() > kMaxQuotedLength ? "...\"" : "\"");
}

std::string EscapePointerToken(std::string_view key) {
  std::string token;
  for (const char c : key.substr(0, kMaxQuotedLength)) {
    if (c == '~') {
      token.append("~0");
    } else if (c == '/') {
      token.append("~1");
    } else {
      token.push_back(IsPrintable(c) ? c : '?');
    }
  }
  return token;
}

}  // namespace amaranthlatch::document
