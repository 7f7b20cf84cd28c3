// Encodes call messages as JSON arrays and decodes them with strict type and size checks.

#include "amaranthlatch/calls/message_codec.h"

#include <cstdint>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace amaranthlatch::calls {

namespace {
using nlohmann::json;
using utils::ErrorCode;

enum class MessageType : std::uint8_t {
  kCallRequest = 1,
  kCallReply = 2,
  kCallCancel = 3,
  kCallCancelReply = 4,
  kPermitRequest = 5,
  kPermitReply = 6,
  kCrashReport = 7,
  kCrashCleared = 8,
};

// Size limits; a message that exceeds one is rejected.
constexpr std::size_t kKibibyte = 1'024;
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxTokenBytes = 2'048;
constexpr std::size_t kMaxTextBytes = 1'024;
constexpr std::size_t kMaxTargetBytes = 16 * kKibibyte;
constexpr std::size_t kMaxHeaderFields = 256;
constexpr std::size_t kMaxHeaderBytes = 64 * kKibibyte;
constexpr std::size_t kMaxBodyBytes = 64 * kKibibyte * kKibibyte;
constexpr std::size_t kMaxFingerprints = 4'096;
constexpr std::int64_t kMaxRemainingUs = 3'600'000'000;
constexpr int kMaxStatus = 999;
// Size of the length prefix of a header name or value.
constexpr std::size_t kLengthPrefixBytes = 2;

// Reads the fields of an array in order. After the first error all further fields are empty.
class Reader {
 public:
  explicit Reader(const json& array) : array(array) {}

  std::uint64_t Number(std::uint64_t max = UINT64_MAX) {
    const json* field = this->Next();
    if (field == nullptr || !field->is_number_unsigned()) {
      this->FailWith(ErrorCode::kMessageMalformed);
      return 0;
    }
    const auto value = field->get<std::uint64_t>();
    if (value > max) {
      this->FailWith(ErrorCode::kMessageMalformed);
      return 0;
    }
    return value;
  }

  std::uint32_t Number32() { return static_cast<std::uint32_t>(this->Number(UINT32_MAX)); }

  bool Flag() {
    const json* field = this->Next();
    if (field == nullptr || !field->is_boolean()) {
      this->FailWith(ErrorCode::kMessageMalformed);
      return false;
    }
    return field->get<bool>();
  }

  std::string Text(std::size_t max) {
    const json* field = this->Next();
    if (field == nullptr || !field->is_string()) {
      this->FailWith(ErrorCode::kMessageMalformed);
      return {};
    }
    return this->Bounded(field->get_ref<const std::string&>(), max);
  }

  // Bytes from callers need not be valid UTF-8, so they are sent as binary values.
  std::string Bytes(std::size_t max) {
    const json* field = this->Next();
    if (field == nullptr || !field->is_binary()) {
      this->FailWith(ErrorCode::kMessageMalformed);
      return {};
    }
    const std::vector<std::uint8_t>& bytes = field->get_binary();
    if (bytes.size() > max) {
      this->FailWith(ErrorCode::kMessageTooLarge);
      return {};
    }
    return std::string(reinterpret_cast<const char*>(bytes.data()), bytes.size());
  }

  AttemptId Id() {
    AttemptId id;
    id.entry = this->Text(kMaxNameBytes);
    id.entry_boot_id = this->Number();
    id.call = this->Number();
    id.attempt = this->Number32();
    return id;
  }

  // Reads one binary value that holds pairs of length-prefixed names and values.
  Headers HeaderFields() {
    const std::string bytes = this->Bytes(kMaxHeaderBytes);
    Headers headers;
    std::size_t at = 0;
    while (at < bytes.size() && !this->error) {
      std::string name = this->LengthPrefixed(bytes, at);
      std::string value = this->LengthPrefixed(bytes, at);
      headers.emplace_back(std::move(name), std::move(value));
      if (headers.size() > kMaxHeaderFields) {
        this->FailWith(ErrorCode::kMessageTooLarge);
      }
    }
    return headers;
  }

  ErrorCode Code() {
    const auto number = static_cast<std::uint16_t>(this->Number(UINT16_MAX));
    const auto code = static_cast<ErrorCode>(number);
    for (const auto& known : utils::AllErrorCodes()) {
      if (known.code == code) {
        return code;
      }
    }
    this->FailWith(ErrorCode::kMessageMalformed);
    return ErrorCode::kOk;
  }

  const json* Next() {
    if (this->error || this->index >= this->array.size()) {
      this->FailWith(ErrorCode::kMessageMalformed);
      return nullptr;
    }
    return &this->array[this->index++];
  }

  void FailWith(ErrorCode code) {
    if (!this->error) {
      this->error = code;
    }
  }

  // Returns the first error, or kMessageMalformed if fields are left over.
  std::optional<ErrorCode> Error() const {
    if (!this->error && this->index != this->array.size()) {
      return ErrorCode::kMessageMalformed;
    }
    return this->error;
  }

 private:
  std::string Bounded(const std::string& text, std::size_t max) {
    if (text.size() > max) {
      this->FailWith(ErrorCode::kMessageTooLarge);
      return {};
    }
    return text;
  }

  std::string LengthPrefixed(const std::string& bytes, std::size_t& at) {
    constexpr unsigned kByteBits = 8;
    if (this->error || bytes.size() - at < kLengthPrefixBytes) {
      this->FailWith(ErrorCode::kMessageMalformed);
      return {};
    }
    const auto low = static_cast<unsigned char>(bytes[at]);
    const auto high = static_cast<unsigned char>(bytes[at + 1]);
    const std::size_t size = low | (static_cast<std::size_t>(high) << kByteBits);
    at += kLengthPrefixBytes;
    if (bytes.size() - at < size) {
      this->FailWith(ErrorCode::kMessageMalformed);
      return {};
    }
    std::string out = bytes.substr(at, size);
    at += size;
    return out;
  }

  const json& array;
  std::size_t index = 0;
  std::optional<ErrorCode> error;
};

bool HeadersFit(const Headers& headers) {
  std::size_t bytes = 0;
  for (const auto& [name, value] : headers) {
    bytes += name.size() + value.size() + 2 * kLengthPrefixBytes;
  }
  return headers.size() <= kMaxHeaderFields && bytes <= kMaxHeaderBytes;
}

json Binary(const std::string& bytes) {
  return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

void AppendLengthPrefixed(std::vector<std::uint8_t>& out, const std::string& text) {
  constexpr std::uint8_t kByteMask = 0xff;
  constexpr unsigned kByteBits = 8;
  // FitsMessage limits header fields to less than this; a longer text is truncated.
  const std::size_t size = std::min<std::size_t>(text.size(), UINT16_MAX);
  out.push_back(static_cast<std::uint8_t>(size & kByteMask));
  out.push_back(static_cast<std::uint8_t>(size >> kByteBits));
  out.insert(out.end(), text.begin(), text.begin() + static_cast<std::ptrdiff_t>(size));
}

json HeadersToJson(const Headers& headers) {
  std::vector<std::uint8_t> bytes;
  for (const auto& [name, value] : headers) {
    AppendLengthPrefixed(bytes, name);
    AppendLengthPrefixed(bytes, value);
  }
  return json::binary(std::move(bytes));
}

// Builds a JSON array without the copies that an initializer list makes.
class Writer {
 public:
  explicit Writer(MessageType type) {
    this->fields.reserve(kReservedFields);
    this->Add(static_cast<std::uint64_t>(type));
  }

  template <typename T>
  Writer& Add(T&& value) {
    this->fields.emplace_back(std::forward<T>(value));
    return *this;
  }

  Writer& Add(const AttemptId& id) {
    return this->Add(id.entry).Add(id.entry_boot_id).Add(id.call).Add(id.attempt);
  }

  json Take() { return json(std::move(this->fields)); }

 private:
  static constexpr std::size_t kReservedFields = 24;
  json::array_t fields;
};

json Encode(const CallRequest& m) {
  Writer out(MessageType::kCallRequest);
  out.Add(m.id).Add(m.gate_incarnation).Add(m.gate_boot_id).Add(m.service).Add(m.route);
  out.Add(m.version).Add(Binary(m.request.method)).Add(Binary(m.request.target));
  out.Add(Binary(m.request.host)).Add(HeadersToJson(m.request.headers));
  out.Add(Binary(m.request.body));
  out.Add(static_cast<std::uint64_t>(std::max<std::int64_t>(0, m.remaining.count())));
  out.Add(static_cast<std::uint64_t>(std::max<std::int64_t>(0, m.latency_budget.count())));
  out.Add(m.idempotent).Add(static_cast<std::uint64_t>(m.priority)).Add(m.fingerprint);
  out.Add(m.permit).Add(m.max_response_bytes);
  return out.Take();
}

json Encode(const CallReply& m) {
  Writer out(MessageType::kCallReply);
  out.Add(m.id).Add(static_cast<std::uint64_t>(m.answer.kind));
  out.Add(utils::ToNumber(m.answer.code)).Add(m.answer.message);
  out.Add(static_cast<std::uint64_t>(m.answer.response.status));
  out.Add(HeadersToJson(m.answer.response.headers)).Add(Binary(m.answer.response.body));
  out.Add(m.answer.no_retry).Add(m.load.in_flight);
  for (const std::uint32_t queued : m.load.queued) {
    out.Add(queued);
  }
  out.Add(m.redirect);
  return out.Take();
}

json Encode(const CallCancel& m) {
  return Writer(MessageType::kCallCancel).Add(m.id).Add(m.gate_boot_id).Add(m.abort).Take();
}

json Encode(const CallCancelReply& m) {
  return Writer(MessageType::kCallCancelReply).Add(m.id).Add(m.ran).Add(m.running).Take();
}

json Encode(const PermitRequest& m) {
  return Writer(MessageType::kPermitRequest).Add(m.request).Add(m.service).Add(m.route).Take();
}

json Encode(const PermitReply& m) {
  Writer out(MessageType::kPermitReply);
  out.Add(m.request).Add(utils::ToNumber(m.code)).Add(m.permit).Add(m.expires_in_ms);
  return out.Take();
}

json Encode(const CrashReport& m) {
  Writer out(MessageType::kCrashReport);
  out.Add(m.service).Add(json(m.fingerprints)).Add(m.gate).Add(m.gate_boot_id).Add(m.crash);
  return out.Take();
}

json Encode(const CrashCleared& m) {
  return Writer(MessageType::kCrashCleared).Add(m.service).Add(m.fingerprint).Take();
}

Message DecodeCallRequest(Reader& in) {
  CallRequest m;
  m.id = in.Id();
  m.gate_incarnation = in.Number();
  m.gate_boot_id = in.Number();
  m.service = in.Text(kMaxNameBytes);
  m.route = in.Text(kMaxNameBytes * 2);
  m.version = in.Number();
  m.request.method = in.Bytes(kMaxNameBytes);
  m.request.target = in.Bytes(kMaxTargetBytes);
  m.request.host = in.Bytes(kMaxTextBytes);
  m.request.headers = in.HeaderFields();
  m.request.body = in.Bytes(kMaxBodyBytes);
  m.remaining = utils::Duration(static_cast<std::int64_t>(in.Number(kMaxRemainingUs)));
  m.latency_budget = utils::Duration(static_cast<std::int64_t>(in.Number(kMaxRemainingUs)));
  m.idempotent = in.Flag();
  m.priority = static_cast<document::Priority>(in.Number(document::kPriorityCount - 1));
  m.fingerprint = in.Number();
  m.permit = in.Text(kMaxTokenBytes);
  m.max_response_bytes = in.Number();
  return m;
}

Message DecodeCallReply(Reader& in) {
  CallReply m;
  m.id = in.Id();
  m.answer.kind = static_cast<ResultKind>(in.Number(2));
  m.answer.code = in.Code();
  m.answer.message = in.Text(kMaxTextBytes);
  m.answer.response.status = static_cast<int>(in.Number(kMaxStatus));
  m.answer.response.headers = in.HeaderFields();
  m.answer.response.body = in.Bytes(kMaxBodyBytes);
  m.answer.no_retry = in.Flag();
  m.load.in_flight = in.Number32();
  for (std::uint32_t& queued : m.load.queued) {
    queued = in.Number32();
  }
  m.redirect = in.Text(kMaxNameBytes);
  return m;
}

Message DecodeCallCancel(Reader& in) {
  CallCancel m;
  m.id = in.Id();
  m.gate_boot_id = in.Number();
  m.abort = in.Flag();
  return m;
}

Message DecodeCallCancelReply(Reader& in) {
  CallCancelReply m;
  m.id = in.Id();
  m.ran = in.Flag();
  m.running = in.Flag();
  return m;
}

Message DecodePermitRequest(Reader& in) {
  PermitRequest m;
  m.request = in.Number();
  m.service = in.Text(kMaxNameBytes);
  m.route = in.Text(kMaxNameBytes * 2);
  return m;
}

Message DecodePermitReply(Reader& in) {
  PermitReply m;
  m.request = in.Number();
  m.code = in.Code();
  m.permit = in.Text(kMaxTokenBytes);
  m.expires_in_ms = in.Number32();
  return m;
}

Message DecodeCrashReport(Reader& in) {
  CrashReport m;
  m.service = in.Text(kMaxNameBytes);
  const json* list = in.Next();
  if (list == nullptr || !list->is_array()) {
    in.FailWith(ErrorCode::kMessageMalformed);
  } else if (list->size() > kMaxFingerprints) {
    in.FailWith(ErrorCode::kMessageTooLarge);
  } else {
    for (const json& item : *list) {
      if (!item.is_number_unsigned()) {
        in.FailWith(ErrorCode::kMessageMalformed);
        break;
      }
      m.fingerprints.push_back(item.get<std::uint64_t>());
    }
  }
  m.gate = in.Text(kMaxNameBytes);
  m.gate_boot_id = in.Number();
  m.crash = in.Number();
  return m;
}

Message DecodeCrashCleared(Reader& in) {
  CrashCleared m;
  m.service = in.Text(kMaxNameBytes);
  m.fingerprint = in.Number();
  return m;
}

Message Decode(MessageType type, Reader& in) {
  switch (type) {
    case MessageType::kCallRequest:
      return DecodeCallRequest(in);
    case MessageType::kCallReply:
      return DecodeCallReply(in);
    case MessageType::kCallCancel:
      return DecodeCallCancel(in);
    case MessageType::kCallCancelReply:
      return DecodeCallCancelReply(in);
    case MessageType::kPermitRequest:
      return DecodePermitRequest(in);
    case MessageType::kPermitReply:
      return DecodePermitReply(in);
    case MessageType::kCrashReport:
      return DecodeCrashReport(in);
    case MessageType::kCrashCleared:
      return DecodeCrashCleared(in);
  }
  in.FailWith(ErrorCode::kMessageMalformed);
  return CallCancel{};
}
}  // namespace

bool FitsMessage(const HttpRequest& request) {
  return request.method.size() <= kMaxNameBytes && request.target.size() <= kMaxTargetBytes &&
         request.host.size() <= kMaxTextBytes && HeadersFit(request.headers) &&
         request.body.size() <= kMaxBodyBytes;
}

bool FitsMessage(const HttpResponse& response) {
  return response.status >= 0 && response.status <= kMaxStatus && HeadersFit(response.headers) &&
         response.body.size() <= kMaxBodyBytes;
}

json ToJson(const Message& message) {
  return std::visit([](const auto& m) { return Encode(m); }, message);
}

utils::Result<Message> MessageFromJson(const json& json) {
  if (!json.is_array()) {
    return utils::Fail(ErrorCode::kMessageMalformed, "call message is not a JSON array");
  }
  Reader in(json);
  const auto type = static_cast<MessageType>(in.Number(UINT8_MAX));
  Message message = Decode(type, in);
  if (const auto error = in.Error()) {
    return utils::Fail(*error, "call message has a missing, extra or invalid field");
  }
  return message;
}

}  // namespace amaranthlatch::calls
