// Strict, bounded encoding of the calls messages.

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

enum class Type : std::uint8_t {
  kCallRequest = 1,
  kCallReply = 2,
  kCallCancel = 3,
  kCallCancelReply = 4,
  kPermitRequest = 5,
  kPermitReply = 6,
  kCrashReport = 7,
  kCrashCleared = 8,
};

// Limits in bytes and items; a message above one is refused.
constexpr std::size_t kKibibyte = 1'024;
constexpr std::size_t kMaxName = 256;
constexpr std::size_t kMaxToken = 2'048;
constexpr std::size_t kMaxText = 1'024;
constexpr std::size_t kMaxTarget = 16 * kKibibyte;
constexpr std::size_t kMaxHeaderFields = 256;
constexpr std::size_t kMaxHeaderBytes = 64 * kKibibyte;
constexpr std::size_t kMaxBody = 64 * kKibibyte * kKibibyte;
constexpr std::size_t kMaxFingerprints = 4'096;
constexpr std::int64_t kMaxRemainingUs = 3'600'000'000;
constexpr int kMaxStatus = 999;
// Length in front of a header name or value.
constexpr std::size_t kPrefixBytes = 2;

// Takes fields off an array in order. After the first fault all further fields are empty.
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

  // Callers' bytes need not be UTF-8, so they travel as binary values.
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
    id.entry = this->Text(kMaxName);
    id.entry_boot_id = this->Number();
    id.call = this->Number();
    id.attempt = this->Number32();
    return id;
  }

  // One binary value: pairs of length-prefixed names and values.
  Headers HeaderFields() {
    const std::string bytes = this->Bytes(kMaxHeaderBytes);
    Headers headers;
    std::size_t at = 0;
    while (at < bytes.size() && !this->fault) {
      std::string name = this->Prefixed(bytes, at);
      std::string value = this->Prefixed(bytes, at);
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
    if (this->fault || this->index >= this->array.size()) {
      this->FailWith(ErrorCode::kMessageMalformed);
      return nullptr;
    }
    return &this->array[this->index++];
  }

  void FailWith(ErrorCode code) {
    if (!this->fault) {
      this->fault = code;
    }
  }

  // The first fault, or a field too many.
  std::optional<ErrorCode> Fault() const {
    if (!this->fault && this->index != this->array.size()) {
      return ErrorCode::kMessageMalformed;
    }
    return this->fault;
  }

 private:
  std::string Bounded(const std::string& text, std::size_t max) {
    if (text.size() > max) {
      this->FailWith(ErrorCode::kMessageTooLarge);
      return {};
    }
    return text;
  }

  std::string Prefixed(const std::string& bytes, std::size_t& at) {
    constexpr unsigned kByteBits = 8;
    if (this->fault || bytes.size() - at < kPrefixBytes) {
      this->FailWith(ErrorCode::kMessageMalformed);
      return {};
    }
    const auto low = static_cast<unsigned char>(bytes[at]);
    const auto high = static_cast<unsigned char>(bytes[at + 1]);
    const std::size_t size = low | (static_cast<std::size_t>(high) << kByteBits);
    at += kPrefixBytes;
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
  std::optional<ErrorCode> fault;
};

bool HeadersFit(const Headers& headers) {
  std::size_t bytes = 0;
  for (const auto& [name, value] : headers) {
    bytes += name.size() + value.size() + 2 * kPrefixBytes;
  }
  return headers.size() <= kMaxHeaderFields && bytes <= kMaxHeaderBytes;
}

json Binary(const std::string& bytes) {
  return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

void AppendPrefixed(std::vector<std::uint8_t>& out, const std::string& text) {
  constexpr std::uint8_t kByteMask = 0xff;
  constexpr unsigned kByteBits = 8;
  // FitsMessage bounds header fields below this; the rest of a longer one is cut.
  const std::size_t size = std::min<std::size_t>(text.size(), UINT16_MAX);
  out.push_back(static_cast<std::uint8_t>(size & kByteMask));
  out.push_back(static_cast<std::uint8_t>(size >> kByteBits));
  out.insert(out.end(), text.begin(), text.begin() + static_cast<std::ptrdiff_t>(size));
}

json HeadersToJson(const Headers& headers) {
  std::vector<std::uint8_t> bytes;
  for (const auto& [name, value] : headers) {
    AppendPrefixed(bytes, name);
    AppendPrefixed(bytes, value);
  }
  return json::binary(std::move(bytes));
}

// Builds an array without the copies of an initialiser list.
class Writer {
 public:
  explicit Writer(Type type) {
    this->fields.reserve(kUsualFields);
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
  static constexpr std::size_t kUsualFields = 24;
  json::array_t fields;
};

json Encode(const CallRequest& m) {
  Writer out(Type::kCallRequest);
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
  Writer out(Type::kCallReply);
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
  return Writer(Type::kCallCancel).Add(m.id).Add(m.gate_boot_id).Add(m.abort).Take();
}

json Encode(const CallCancelReply& m) {
  return Writer(Type::kCallCancelReply).Add(m.id).Add(m.ran).Add(m.running).Take();
}

json Encode(const PermitRequest& m) {
  return Writer(Type::kPermitRequest).Add(m.request).Add(m.service).Add(m.route).Take();
}

json Encode(const PermitReply& m) {
  Writer out(Type::kPermitReply);
  out.Add(m.request).Add(utils::ToNumber(m.code)).Add(m.permit).Add(m.expires_in_ms);
  return out.Take();
}

json Encode(const CrashReport& m) {
  Writer out(Type::kCrashReport);
  out.Add(m.service).Add(json(m.fingerprints)).Add(m.gate).Add(m.gate_boot_id).Add(m.crash);
  return out.Take();
}

json Encode(const CrashCleared& m) {
  return Writer(Type::kCrashCleared).Add(m.service).Add(m.fingerprint).Take();
}

Message DecodeCallRequest(Reader& in) {
  CallRequest m;
  m.id = in.Id();
  m.gate_incarnation = in.Number();
  m.gate_boot_id = in.Number();
  m.service = in.Text(kMaxName);
  m.route = in.Text(kMaxName * 2);
  m.version = in.Number();
  m.request.method = in.Bytes(kMaxName);
  m.request.target = in.Bytes(kMaxTarget);
  m.request.host = in.Bytes(kMaxText);
  m.request.headers = in.HeaderFields();
  m.request.body = in.Bytes(kMaxBody);
  m.remaining = utils::Duration(static_cast<std::int64_t>(in.Number(kMaxRemainingUs)));
  m.latency_budget = utils::Duration(static_cast<std::int64_t>(in.Number(kMaxRemainingUs)));
  m.idempotent = in.Flag();
  m.priority = static_cast<document::Priority>(in.Number(document::kPriorityCount - 1));
  m.fingerprint = in.Number();
  m.permit = in.Text(kMaxToken);
  m.max_response_bytes = in.Number();
  return m;
}

Message DecodeCallReply(Reader& in) {
  CallReply m;
  m.id = in.Id();
  m.answer.kind = static_cast<ResultKind>(in.Number(2));
  m.answer.code = in.Code();
  m.answer.message = in.Text(kMaxText);
  m.answer.response.status = static_cast<int>(in.Number(kMaxStatus));
  m.answer.response.headers = in.HeaderFields();
  m.answer.response.body = in.Bytes(kMaxBody);
  m.answer.no_retry = in.Flag();
  m.load.in_flight = in.Number32();
  for (std::uint32_t& queued : m.load.queued) {
    queued = in.Number32();
  }
  m.redirect = in.Text(kMaxName);
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
  m.service = in.Text(kMaxName);
  m.route = in.Text(kMaxName * 2);
  return m;
}

Message DecodePermitReply(Reader& in) {
  PermitReply m;
  m.request = in.Number();
  m.code = in.Code();
  m.permit = in.Text(kMaxToken);
  m.expires_in_ms = in.Number32();
  return m;
}

Message DecodeCrashReport(Reader& in) {
  CrashReport m;
  m.service = in.Text(kMaxName);
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
  m.gate = in.Text(kMaxName);
  m.gate_boot_id = in.Number();
  m.crash = in.Number();
  return m;
}

Message DecodeCrashCleared(Reader& in) {
  CrashCleared m;
  m.service = in.Text(kMaxName);
  m.fingerprint = in.Number();
  return m;
}

Message Decode(Type type, Reader& in) {
  switch (type) {
    case Type::kCallRequest:
      return DecodeCallRequest(in);
    case Type::kCallReply:
      return DecodeCallReply(in);
    case Type::kCallCancel:
      return DecodeCallCancel(in);
    case Type::kCallCancelReply:
      return DecodeCallCancelReply(in);
    case Type::kPermitRequest:
      return DecodePermitRequest(in);
    case Type::kPermitReply:
      return DecodePermitReply(in);
    case Type::kCrashReport:
      return DecodeCrashReport(in);
    case Type::kCrashCleared:
      return DecodeCrashCleared(in);
  }
  in.FailWith(ErrorCode::kMessageMalformed);
  return CallCancel{};
}
}  // namespace

bool FitsMessage(const HttpRequest& request) {
  return request.method.size() <= kMaxName && request.target.size() <= kMaxTarget &&
         request.host.size() <= kMaxText && HeadersFit(request.headers) &&
         request.body.size() <= kMaxBody;
}

bool FitsMessage(const HttpResponse& response) {
  return response.status >= 0 && response.status <= kMaxStatus && HeadersFit(response.headers) &&
         response.body.size() <= kMaxBody;
}

json ToJson(const Message& message) {
  return std::visit([](const auto& m) { return Encode(m); }, message);
}

utils::Result<Message> MessageFromJson(const json& json) {
  if (!json.is_array()) {
    return utils::Fail(ErrorCode::kMessageMalformed, "a calls message is not an array");
  }
  Reader in(json);
  const auto type = static_cast<Type>(in.Number(UINT8_MAX));
  Message message = Decode(type, in);
  if (const auto fault = in.Fault()) {
    return utils::Fail(*fault, "a calls message does not decode");
  }
  return message;
}

}  // namespace amaranthlatch::calls
