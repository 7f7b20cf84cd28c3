// Encodes call messages as CBOR arrays and decodes them with strict type and size checks.

#include "amaranthlatch/calls/message_codec.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "amaranthlatch/utils/cbor.h"

namespace amaranthlatch::calls {

namespace {
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
  kCrashConfirmed = 9,
  // A CallCancel with a time limit. Earlier releases reject it and read all other ones.
  kLimitedCallCancel = 10,
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

// Reads the fields of a message in order; see CborReader for errors.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : input(bytes), size(this->input.ArraySize(kMaxFields)) {}

  std::uint64_t Number(std::uint64_t max = UINT64_MAX) {
    ++this->fields;
    return this->input.Number(max);
  }

  std::uint32_t Number32() { return static_cast<std::uint32_t>(this->Number(UINT32_MAX)); }

  bool Flag() {
    ++this->fields;
    return this->input.Flag();
  }

  std::string Text(std::size_t max) {
    ++this->fields;
    return std::string(this->input.Text(max));
  }

  // Bytes from callers need not be valid UTF-8, so they are sent as byte strings.
  std::string Bytes(std::size_t max) { return std::string(this->ByteString(max)); }

  std::vector<std::uint64_t> Numbers(std::size_t max_count) {
    ++this->fields;
    return this->input.Numbers(max_count);
  }

  AttemptId Id() {
    AttemptId id;
    id.entry = this->Text(kMaxNameBytes);
    id.entry_boot_id = this->Number();
    id.call = this->Number();
    id.attempt = this->Number32();
    return id;
  }

  // Reads one byte string that holds pairs of length-prefixed names and values.
  Headers HeaderFields() {
    std::string_view bytes = this->ByteString(kMaxHeaderBytes);
    Headers headers;
    while (!bytes.empty() && !this->input.Error()) {
      std::string name = this->LengthPrefixed(bytes);
      std::string value = this->LengthPrefixed(bytes);
      headers.emplace_back(std::move(name), std::move(value));
      if (headers.size() > kMaxHeaderFields) {
        this->input.FailWith(ErrorCode::kMessageTooLarge);
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

  void FailWith(ErrorCode code) { this->input.FailWith(code); }

  // Returns the first error, or kMessageMalformed if fields or bytes are left over.
  std::optional<ErrorCode> Error() const {
    if (!this->input.Error() && (this->fields != this->size || !this->input.AtEnd())) {
      return ErrorCode::kMessageMalformed;
    }
    return this->input.Error();
  }

 private:
  static constexpr std::size_t kMaxFields = 64;

  std::string_view ByteString(std::size_t max) {
    ++this->fields;
    return this->input.Bytes(max);
  }

  // Removes a length-prefixed text from the front of `bytes`.
  std::string LengthPrefixed(std::string_view& bytes) {
    constexpr unsigned kByteBits = 8;
    if (bytes.size() < kLengthPrefixBytes) {
      this->FailWith(ErrorCode::kMessageMalformed);
      return {};
    }
    const auto low = static_cast<unsigned char>(bytes[0]);
    const auto high = static_cast<unsigned char>(bytes[1]);
    const std::size_t length = low | (static_cast<std::size_t>(high) << kByteBits);
    bytes.remove_prefix(kLengthPrefixBytes);
    if (bytes.size() < length) {
      this->FailWith(ErrorCode::kMessageMalformed);
      return {};
    }
    std::string text(bytes.substr(0, length));
    bytes.remove_prefix(length);
    return text;
  }

  utils::CborReader input;
  // Number of fields of the message, and of those read.
  std::size_t size = 0;
  std::size_t fields = 0;
};

std::size_t EncodedSize(const Headers& headers) {
  std::size_t bytes = 0;
  for (const auto& [name, value] : headers) {
    bytes += name.size() + value.size() + 2 * kLengthPrefixBytes;
  }
  return bytes;
}

bool HeadersFit(const Headers& headers) {
  return headers.size() <= kMaxHeaderFields && EncodedSize(headers) <= kMaxHeaderBytes;
}

// FitsMessage limits header names and values to less than the prefix can express.
void AppendLengthPrefixed(std::string& out, std::string_view text) {
  constexpr std::size_t kByteMask = 0xff;
  constexpr unsigned kByteBits = 8;
  out.push_back(static_cast<char>(text.size() & kByteMask));
  out.push_back(static_cast<char>((text.size() >> kByteBits) & kByteMask));
  out.append(text);
}

// Writes the array of a message: its type, then its fields.
class Writer {
 public:
  Writer(MessageType type, std::size_t fields, std::size_t reserved_bytes) : output(this->bytes) {
    this->bytes.reserve(reserved_bytes);
    this->output.Array(fields + 1).Number(static_cast<std::uint64_t>(type));
  }

  Writer& Number(std::uint64_t value) {
    this->output.Number(value);
    return *this;
  }
  Writer& Time(utils::Duration time) {
    return this->Number(static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.count())));
  }
  Writer& Flag(bool value) {
    this->output.Flag(value);
    return *this;
  }
  Writer& Text(std::string_view value) {
    this->output.Text(value);
    return *this;
  }
  Writer& Bytes(std::string_view value) {
    this->output.Bytes(value);
    return *this;
  }
  Writer& Id(const AttemptId& id) {
    return this->Text(id.entry).Number(id.entry_boot_id).Number(id.call).Number(id.attempt);
  }
  Writer& HeaderFields(const Headers& headers) {
    this->output.BytesHeader(EncodedSize(headers));
    for (const auto& [name, value] : headers) {
      AppendLengthPrefixed(this->bytes, name);
      AppendLengthPrefixed(this->bytes, value);
    }
    return *this;
  }
  Writer& Numbers(const std::vector<std::uint64_t>& numbers) {
    this->output.Array(numbers.size());
    for (const std::uint64_t number : numbers) {
      this->output.Number(number);
    }
    return *this;
  }

  std::string Take() { return std::move(this->bytes); }

 private:
  std::string bytes;
  utils::CborWriter output;
};

// Fields of an attempt id.
constexpr std::size_t kIdFields = 4;
// Enough for the fixed fields of any message and usual names.
constexpr std::size_t kReservedBytes = 512;

std::string Encode(const CallRequest& m) {
  constexpr std::size_t kFields = kIdFields + 18;
  Writer out(MessageType::kCallRequest, kFields,
             kReservedBytes + EncodedSize(m.request.headers) + m.request.body.size());
  out.Id(m.id).Number(m.gate_incarnation).Number(m.gate_boot_id).Text(m.service).Text(m.route);
  out.Number(m.version).Bytes(m.request.method).Bytes(m.request.target).Bytes(m.request.host);
  out.HeaderFields(m.request.headers).Bytes(m.request.body);
  out.Time(m.remaining).Time(m.latency_budget).Flag(m.idempotent);
  out.Number(static_cast<std::uint64_t>(m.priority)).Number(m.fingerprint);
  out.Text(m.permit).Number(m.max_response_bytes).Text(m.workspace);
  return out.Take();
}

std::string Encode(const CallReply& m) {
  constexpr std::size_t kFields = kIdFields + 11 + 4 * document::kPriorityCount;
  Writer out(
      MessageType::kCallReply, kFields,
      kReservedBytes + EncodedSize(m.answer.response.headers) + m.answer.response.body.size());
  out.Id(m.id).Number(static_cast<std::uint64_t>(m.answer.kind));
  out.Number(utils::ToNumber(m.answer.code)).Text(m.answer.message);
  out.Number(static_cast<std::uint64_t>(m.answer.response.status));
  out.HeaderFields(m.answer.response.headers).Bytes(m.answer.response.body);
  out.Flag(m.answer.no_retry).Number(m.load.in_flight);
  for (const std::uint32_t queued : m.load.queued) {
    out.Number(queued);
  }
  for (const std::uint32_t ahead : m.load.ahead_of_new) {
    out.Number(ahead);
  }
  for (const std::uint32_t wait_ms : m.load.wait_ms) {
    out.Number(wait_ms);
  }
  for (const std::uint32_t wait_ms : m.load.link_wait_ms) {
    out.Number(wait_ms);
  }
  // 0 if it is unset.
  const std::uint64_t workspace_ahead =
      m.workspace_ahead ? std::uint64_t{*m.workspace_ahead} + 1 : 0;
  return out.Text(m.redirect).Number(workspace_ahead).Number(m.run_time_us).Take();
}

std::string Encode(const CallCancel& m) {
  const MessageType type =
      m.answer_within ? MessageType::kLimitedCallCancel : MessageType::kCallCancel;
  Writer out(type, kIdFields + (m.answer_within ? 3 : 2), kReservedBytes);
  out.Id(m.id).Number(m.gate_boot_id).Flag(m.abort);
  if (m.answer_within) {
    out.Time(*m.answer_within);
  }
  return out.Take();
}

std::string Encode(const CallCancelReply& m) {
  Writer out(MessageType::kCallCancelReply, kIdFields + 2, kReservedBytes);
  return out.Id(m.id).Flag(m.ran).Flag(m.running).Take();
}

std::string Encode(const PermitRequest& m) {
  Writer out(MessageType::kPermitRequest, 3, kReservedBytes);
  return out.Number(m.request).Text(m.service).Text(m.route).Take();
}

std::string Encode(const PermitReply& m) {
  Writer out(MessageType::kPermitReply, 4, kReservedBytes);
  out.Number(m.request).Number(utils::ToNumber(m.code)).Text(m.permit);
  return out.Number(m.expires_in_ms).Take();
}

std::string Encode(const CrashReport& m) {
  Writer out(MessageType::kCrashReport, 6, kReservedBytes);
  out.Text(m.service).Numbers(m.fingerprints).Text(m.gate);
  return out.Number(m.gate_boot_id).Number(m.crash).Numbers(m.candidates).Take();
}

std::string Encode(const CrashCleared& m) {
  Writer out(MessageType::kCrashCleared, 2, kReservedBytes);
  return out.Text(m.service).Number(m.fingerprint).Take();
}

std::string Encode(const CrashConfirmed& m) {
  Writer out(MessageType::kCrashConfirmed, 2, kReservedBytes);
  return out.Text(m.service).Number(m.fingerprint).Take();
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
  m.workspace = in.Text(kMaxNameBytes);
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
  for (std::uint32_t& ahead : m.load.ahead_of_new) {
    ahead = in.Number32();
  }
  for (std::uint32_t& wait_ms : m.load.wait_ms) {
    wait_ms = in.Number32();
  }
  for (std::uint32_t& wait_ms : m.load.link_wait_ms) {
    wait_ms = in.Number32();
  }
  m.redirect = in.Text(kMaxNameBytes);
  if (const std::uint64_t ahead = in.Number(std::uint64_t{UINT32_MAX} + 1); ahead > 0) {
    m.workspace_ahead = static_cast<std::uint32_t>(ahead - 1);
  }
  m.run_time_us = in.Number32();
  return m;
}

Message DecodeCallCancel(Reader& in, bool has_limit) {
  CallCancel m;
  m.id = in.Id();
  m.gate_boot_id = in.Number();
  m.abort = in.Flag();
  if (has_limit) {
    m.answer_within = utils::Duration(static_cast<std::int64_t>(in.Number(kMaxRemainingUs)));
  }
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
  m.fingerprints = in.Numbers(kMaxFingerprints);
  m.gate = in.Text(kMaxNameBytes);
  m.gate_boot_id = in.Number();
  m.crash = in.Number();
  m.candidates = in.Numbers(kMaxFingerprints);
  return m;
}

Message DecodeCrashCleared(Reader& in) {
  CrashCleared m;
  m.service = in.Text(kMaxNameBytes);
  m.fingerprint = in.Number();
  return m;
}

Message DecodeCrashConfirmed(Reader& in) {
  CrashConfirmed m;
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
      return DecodeCallCancel(in, false);
    case MessageType::kLimitedCallCancel:
      return DecodeCallCancel(in, true);
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
    case MessageType::kCrashConfirmed:
      return DecodeCrashConfirmed(in);
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

std::string ToCbor(const Message& message) {
  return std::visit([](const auto& m) { return Encode(m); }, message);
}

utils::Result<Message> MessageFromCbor(std::string_view bytes) {
  Reader in(bytes);
  const auto type = static_cast<MessageType>(in.Number(UINT8_MAX));
  Message message = Decode(type, in);
  if (const auto error = in.Error()) {
    return utils::Fail(*error, "call message has a missing, extra or invalid field");
  }
  return message;
}

}  // namespace amaranthlatch::calls
