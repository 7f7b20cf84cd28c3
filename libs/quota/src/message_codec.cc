// Encodes quota messages and decodes them with strict type and size checks.

#include "amaranthlatch/quota/message_codec.h"

#include <cstddef>
#include <utility>

#include "amaranthlatch/utils/cbor.h"

namespace amaranthlatch::quota {

namespace {

using utils::CborReader;
using utils::CborWriter;
using utils::ErrorCode;

enum class MessageType : std::uint8_t {
  kCreditRequest = 1,
  kCreditGrant = 2,
  kTransferRequest = 3,
  kTransfer = 4,
};

// Size limits; a message that exceeds one is rejected.
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxEntries = 20'000;
// A billion requests; sums of credit stay exact in a double.
constexpr std::uint64_t kMaxAmount = 1'000'000'000'000;

// Entries follow each other in one array without arrays of their own.
constexpr std::size_t kDemandFields = 4;
constexpr std::size_t kGrantFields = 4;
constexpr std::size_t kTransferDemandFields = 3;
constexpr std::size_t kTransferredCreditFields = 4;

void Write(CborWriter& out, const Stamp& stamp) {
  out.Number(stamp.boot_id);
  out.Number(static_cast<std::uint64_t>(stamp.time.time_since_epoch().count()));
}

Stamp ReadStamp(CborReader& in) {
  Stamp stamp;
  stamp.boot_id = in.Number();
  stamp.time = utils::Timestamp(utils::Duration(static_cast<std::int64_t>(in.Number(INT64_MAX))));
  return stamp;
}

std::size_t ReadEntryCount(CborReader& in, std::size_t fields) {
  const std::size_t size = in.ArraySize(kMaxEntries * fields);
  if (size % fields != 0) {
    in.FailWith(ErrorCode::kMessageMalformed);
  }
  return size / fields;
}

std::string ReadName(CborReader& in) { return std::string(in.Text(kMaxNameBytes)); }

void Write(CborWriter& out, const CreditRequest& m) {
  out.Array(m.delegation ? 7 : 5).Number(static_cast<std::uint64_t>(MessageType::kCreditRequest));
  Write(out, m.sent);
  out.Number(m.member_count).Array(m.demands.size() * kDemandFields);
  for (const Demand& demand : m.demands) {
    out.Text(demand.workspace).Number(demand.rate).Number(demand.waiting).Number(demand.wanted);
  }
  if (m.delegation) {
    Write(out, *m.delegation);
  }
}

Message ReadCreditRequest(CborReader& in, std::size_t size) {
  CreditRequest m;
  m.sent = ReadStamp(in);
  m.member_count = in.Number();
  const std::size_t count = ReadEntryCount(in, kDemandFields);
  for (std::size_t i = 0; i < count && !in.Error(); ++i) {
    Demand demand;
    demand.workspace = ReadName(in);
    demand.rate = in.Number(kMaxAmount);
    demand.waiting = in.Number32();
    demand.wanted = in.Number32();
    m.demands.push_back(std::move(demand));
  }
  if (size == 7) {
    m.delegation = ReadStamp(in);
  }
  return m;
}

void Write(CborWriter& out, const CreditGrant& m) {
  out.Array(8).Number(static_cast<std::uint64_t>(MessageType::kCreditGrant));
  Write(out, m.request);
  out.Number(m.part);
  Write(out, m.sent);
  out.Number(m.member_count).Array(m.grants.size() * kGrantFields);
  for (const Grant& grant : m.grants) {
    out.Text(grant.workspace)
        .Number(grant.credit)

        .Number(grant.retry_ms)
        .Number(grant.limit_tag);
  }
}

Message ReadCreditGrant(CborReader& in, std::size_t /*size*/) {
  CreditGrant m;
  m.request = ReadStamp(in);
  m.part = in.Number32();
  m.sent = ReadStamp(in);
  m.member_count = in.Number();
  const std::size_t count = ReadEntryCount(in, kGrantFields);
  for (std::size_t i = 0; i < count && !in.Error(); ++i) {
    Grant grant;
    grant.workspace = ReadName(in);
    grant.credit = in.Number32();
    grant.retry_ms = in.Number32();
    grant.limit_tag = in.Number32();
    m.grants.push_back(std::move(grant));
  }
  return m;
}

void Write(CborWriter& out, const TransferRequest& m) {
  out.Array(5).Number(static_cast<std::uint64_t>(MessageType::kTransferRequest));
  Write(out, m.sent);
  out.Number(m.member_count).Array(m.demands.size() * kTransferDemandFields);
  for (const TransferDemand& demand : m.demands) {
    out.Text(demand.workspace).Number(demand.amount).Flag(demand.urgent);
  }
}

Message ReadTransferRequest(CborReader& in, std::size_t /*size*/) {
  TransferRequest m;
  m.sent = ReadStamp(in);
  m.member_count = in.Number();
  const std::size_t count = ReadEntryCount(in, kTransferDemandFields);
  for (std::size_t i = 0; i < count && !in.Error(); ++i) {
    TransferDemand demand;
    demand.workspace = ReadName(in);
    demand.amount = in.Number(kMaxAmount);
    demand.urgent = in.Flag();
    m.demands.push_back(std::move(demand));
  }
  return m;
}

void Write(CborWriter& out, const Transfer& m) {
  out.Array(6).Number(static_cast<std::uint64_t>(MessageType::kTransfer));
  Write(out, m.request);
  out.Number(m.member_count).Text(m.holder);
  out.Array(m.credits.size() * kTransferredCreditFields);
  for (const TransferredCredit& credit : m.credits) {
    out.Text(credit.workspace).Number(credit.amount).Number(credit.left).Number(credit.limit_tag);
  }
}

Message ReadTransfer(CborReader& in, std::size_t /*size*/) {
  Transfer m;
  m.request = ReadStamp(in);
  m.member_count = in.Number();
  m.holder = ReadName(in);
  const std::size_t count = ReadEntryCount(in, kTransferredCreditFields);
  for (std::size_t i = 0; i < count && !in.Error(); ++i) {
    TransferredCredit credit;
    credit.workspace = ReadName(in);
    credit.amount = in.Number(kMaxAmount);
    credit.left = in.Number(kMaxAmount);
    credit.limit_tag = in.Number32();
    m.credits.push_back(std::move(credit));
  }
  return m;
}

using Reader = Message (*)(CborReader&, std::size_t);

// Returns null if no message of this type has this number of fields.
Reader FindReader(std::uint64_t type, std::size_t size) {
  switch (static_cast<MessageType>(type)) {
    case MessageType::kCreditRequest:
      return size == 5 || size == 7 ? &ReadCreditRequest : nullptr;
    case MessageType::kCreditGrant:
      return size == 8 ? &ReadCreditGrant : nullptr;
    case MessageType::kTransferRequest:
      return size == 5 ? &ReadTransferRequest : nullptr;
    case MessageType::kTransfer:
      return size == 6 ? &ReadTransfer : nullptr;
  }
  return nullptr;
}

}  // namespace

std::string ToCbor(const Message& message) {
  std::string bytes;
  CborWriter out(bytes);
  std::visit([&out](const auto& m) { Write(out, m); }, message);
  return bytes;
}

utils::Result<Message> MessageFromCbor(std::string_view bytes) {
  constexpr std::size_t kMaxFields = 16;
  const auto fail = [](ErrorCode code) {
    return utils::Fail(code, "quota message has a missing, extra or invalid field");
  };
  CborReader in(bytes);
  const std::size_t size = in.ArraySize(kMaxFields);
  const Reader reader = FindReader(in.Number(UINT8_MAX), size);
  if (in.Error() || reader == nullptr) {
    return fail(ErrorCode::kMessageMalformed);
  }
  Message message = reader(in, size);
  if (in.Error()) {
    return fail(*in.Error());
  }
  if (!in.AtEnd()) {
    return fail(ErrorCode::kMessageMalformed);
  }
  return message;
}

}  // namespace amaranthlatch::quota
