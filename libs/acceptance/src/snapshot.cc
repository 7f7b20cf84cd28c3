// Snapshots: a compressed sequence of CBOR items. The first is `[format, head, hash, number of
// documents, number of verdicts]`. Documents follow as `[service, version, source]` by service,
// then verdicts as `[flags, verdict]` by offset, where the flags tell whether the publish id is
// remembered and whether the history holds the verdict.

#include <zstd.h>

#include <map>
#include <optional>
#include <utility>

#include "amaranthlatch/acceptance/state.h"
#include "amaranthlatch/document/document_parser.h"
#include "cbor_sequence.h"
#include "state_data.h"
#include "validation.h"
#include "verdict_codec.h"

namespace amaranthlatch::acceptance {

namespace {

using nlohmann::json;
using utils::ErrorCode;

// The level is part of the canonical form.
constexpr int kCompressionLevel = 3;

constexpr std::uint64_t kPublishIdFlag = 1;
constexpr std::uint64_t kHistoryFlag = 2;

constexpr std::size_t kHeaderFields = 5;
constexpr std::size_t kDocumentFields = 3;
constexpr std::size_t kVerdictFields = 2;

struct FlaggedVerdict {
  details::StoredVerdictPtr stored;
  std::uint64_t flags = 0;
};

tl::unexpected<utils::Error> Malformed(std::string message) {
  return utils::Fail(ErrorCode::kSnapshotMalformed, std::move(message));
}

std::map<Offset, FlaggedVerdict> FlagVerdicts(const State::Data& data) {
  std::map<Offset, FlaggedVerdict> flagged;
  data.publish_order.ForEach([&](const auto& entry) {
    flagged[entry.key] = {entry.value, kPublishIdFlag};
  });
  data.histories.ForEach([&](const auto& entry) {
    for (const details::StoredVerdictPtr& stored : *entry.value) {
      FlaggedVerdict& item = flagged[stored->verdict.offset];
      item.stored = stored;
      item.flags |= kHistoryFlag;
    }
  });
  return flagged;
}

std::string Compress(const std::string& bytes) {
  std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
  const std::size_t size = ZSTD_compress(compressed.data(), compressed.size(), bytes.data(),
                                         bytes.size(), kCompressionLevel);
  // The buffer has the size that compression needs at most, so it does not fail.
  compressed.resize(ZSTD_isError(size) != 0 ? 0 : size);
  return compressed;
}

utils::Result<std::string> Decompress(std::string_view bytes) {
  const std::uint64_t size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
      size > kMaxSnapshotBytes) {
    return Malformed("no compressed frame of a permitted size");
  }
  std::string content(static_cast<std::size_t>(size), '\0');
  const std::size_t written =
      ZSTD_decompress(content.data(), content.size(), bytes.data(), bytes.size());
  if (ZSTD_isError(written) != 0 || written != content.size()) {
    return Malformed("the compressed frame is damaged");
  }
  return content;
}

std::optional<utils::Error> AddDocument(State::Data& data, const json& item) {
  if (!item.is_array() || item.size() != kDocumentFields || !item[1].is_number_unsigned()) {
    return utils::Error{ErrorCode::kSnapshotMalformed, "a document has another shape", ""};
  }
  auto document = document::FromJson(item[2]);
  if (!document) {
    return utils::Error{ErrorCode::kSnapshotMalformed, utils::ToString(document.error()), ""};
  }
  const auto version = item[1].get<document::Version>();
  if (item[0] != document->service || version == 0 || version > data.head ||
      data.documents.Find(document->service) != nullptr) {
    return utils::Error{ErrorCode::kSnapshotMalformed, "a document is out of place", ""};
  }
  for (const std::string& host : document->hosts) {
    if (data.hosts.Find(host) != nullptr) {
      return utils::Error{ErrorCode::kSnapshotMalformed, "a host has two documents", ""};
    }
  }
  data.PutDocument(details::MakeEntry(version, std::move(*document), item[2]));
  return std::nullopt;
}

utils::Result<FlaggedVerdict> ReadVerdict(const json& item, Offset last_offset, Offset head) {
  if (!item.is_array() || item.size() != kVerdictFields || !item[0].is_number_unsigned()) {
    return Malformed("a verdict has another shape");
  }
  auto verdict = details::VerdictFromJson(item[1]);
  if (!verdict || verdict->offset <= last_offset || verdict->offset > head) {
    return Malformed("a verdict has another shape or is out of place");
  }
  return FlaggedVerdict{details::StoreVerdict(std::move(*verdict)), item[0].get<std::uint64_t>()};
}

// Counts and hash of the first item.
struct Header {
  Offset head = 0;
  std::uint64_t hash = 0;
  std::uint64_t documents = 0;
  std::uint64_t verdicts = 0;
};

utils::Result<Header> ReadHeader(details::CborSequenceReader& reader) {
  const auto item = reader.Next();
  if (!item) {
    return tl::unexpected(item.error());
  }
  bool has_shape = item->is_array() && item->size() == kHeaderFields;
  for (std::size_t i = 0; has_shape && i < kHeaderFields; ++i) {
    has_shape = (*item)[i].is_number_unsigned();
  }
  if (!has_shape || (*item)[0] != kSnapshotFormat) {
    return Malformed("not a snapshot of format " + std::to_string(kSnapshotFormat));
  }
  return Header{(*item)[1].get<Offset>(), (*item)[2].get<std::uint64_t>(),
                (*item)[3].get<std::uint64_t>(), (*item)[4].get<std::uint64_t>()};
}

std::optional<utils::Error> ReadDocuments(State::Data& data, details::CborSequenceReader& reader,
                                          const Header& header) {
  for (std::uint64_t i = 0; i < header.documents; ++i) {
    const auto item = reader.Next();
    if (!item) {
      return item.error();
    }
    if (auto error = AddDocument(data, *item)) {
      return error;
    }
  }
  return std::nullopt;
}

std::optional<utils::Error> ReadVerdicts(State::Data& data, details::CborSequenceReader& reader,
                                         const Header& header) {
  details::VerdictList remembered;
  Offset last_offset = 0;
  for (std::uint64_t i = 0; i < header.verdicts; ++i) {
    const auto item = reader.Next();
    if (!item) {
      return item.error();
    }
    const auto flagged = ReadVerdict(*item, last_offset, header.head);
    if (!flagged) {
      return flagged.error();
    }
    last_offset = flagged->stored->verdict.offset;
    if ((flagged->flags & kPublishIdFlag) != 0) {
      remembered.push_back(flagged->stored);
    }
    if ((flagged->flags & kHistoryFlag) != 0) {
      data.AppendHistory(flagged->stored);
    }
  }
  if (!data.SetPublishIds(remembered)) {
    return utils::Error{ErrorCode::kSnapshotMalformed, "the publish ids are not distinct", ""};
  }
  return std::nullopt;
}

utils::Result<std::shared_ptr<State::Data>> ReadContent(details::CborSequenceReader& reader,
                                                        const Header& header) {
  auto data = std::make_shared<State::Data>();
  data->head = header.head;
  auto error = ReadDocuments(*data, reader, header);
  error = error ? error : ReadVerdicts(*data, reader, header);
  if (error) {
    return tl::unexpected(*error);
  }
  if (!reader.IsAtEnd()) {
    return Malformed("bytes follow the last item");
  }
  return data;
}

}  // namespace

std::string State::EncodeSnapshot() const {
  const std::map<Offset, FlaggedVerdict> flagged = FlagVerdicts(*this->data);
  details::CborSequenceWriter writer;
  writer.Append(json::array({kSnapshotFormat, this->data->head, this->Hash(),
                             this->data->documents.Size(), flagged.size()}));
  this->data->documents.ForEach([&](const auto& entry) {
    const AcceptedDocument& accepted = entry.value->accepted;
    writer.Append(json::array({entry.key, accepted.version, *accepted.source}));
  });
  for (const auto& [offset, item] : flagged) {
    writer.Append(json::array({item.flags, details::VerdictToJson(item.stored->verdict)}));
  }
  return Compress(writer.Bytes());
}

utils::Result<State> State::DecodeSnapshot(std::string_view bytes) {
  const auto content = Decompress(bytes);
  if (!content) {
    return tl::unexpected(content.error());
  }
  details::CborSequenceReader reader(*content);
  const auto header = ReadHeader(reader);
  if (!header) {
    return tl::unexpected(header.error());
  }
  auto data = ReadContent(reader, *header);
  if (!data) {
    return tl::unexpected(data.error());
  }
  State state(std::move(*data));
  if (state.Hash() != header->hash) {
    return utils::Fail(ErrorCode::kSnapshotHashMismatch, "the content does not match its hash");
  }
  if (const std::string dangling = state.FirstDanglingReference(); !dangling.empty()) {
    return Malformed("dangling reference " + dangling);
  }
  return state;
}

}  // namespace amaranthlatch::acceptance
