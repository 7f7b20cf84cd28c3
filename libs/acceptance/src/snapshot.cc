// Snapshot encoding: a compressed sequence of CBOR items. The first item is `[format, head offset,
// hash, number of documents, number of verdicts]`. Documents follow as `[service, version, source]`
// in order of service, then verdicts as `[flags, verdict]` in order of offset. The flags tell
// whether the state keeps the publish id of the verdict and whether the history contains the
// verdict.

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

// Part of the canonical encoding: another level gives other bytes.
constexpr int kCompressionLevel = 3;

constexpr std::uint64_t kPublishIdFlag = 1;
constexpr std::uint64_t kHistoryFlag = 2;

constexpr std::size_t kHeaderFieldCount = 5;
constexpr std::size_t kDocumentFieldCount = 3;
constexpr std::size_t kVerdictFieldCount = 2;

struct FlaggedVerdict {
  details::StoredVerdictPtr stored;
  std::uint64_t flags = 0;
};

tl::unexpected<utils::Error> Malformed(std::string message) {
  return utils::Fail(ErrorCode::kSnapshotMalformed, std::move(message));
}

std::map<Offset, FlaggedVerdict> CollectFlaggedVerdicts(const State::Data& data) {
  std::map<Offset, FlaggedVerdict> flagged;
  data.verdicts_by_offset.ForEach([&](const auto& entry) {
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
  // Compression cannot fail, because the buffer has the worst-case size.
  compressed.resize(ZSTD_isError(size) != 0 ? 0 : size);
  return compressed;
}

utils::Result<std::string> Decompress(std::string_view bytes) {
  const std::uint64_t size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
      size > kMaxSnapshotBytes) {
    return Malformed("not a Zstandard frame, or its content size is unknown or above the limit");
  }
  std::string content(static_cast<std::size_t>(size), '\0');
  const std::size_t written =
      ZSTD_decompress(content.data(), content.size(), bytes.data(), bytes.size());
  if (ZSTD_isError(written) != 0 || written != content.size()) {
    return Malformed("the Zstandard frame is corrupt");
  }
  return content;
}

std::optional<utils::Error> AddDocument(State::Data& data, const json& item) {
  if (!item.is_array() || item.size() != kDocumentFieldCount || !item[1].is_number_unsigned()) {
    return utils::Error{ErrorCode::kSnapshotMalformed, "a document item has unexpected fields", ""};
  }
  auto document = document::FromJson(item[2]);
  if (!document) {
    return utils::Error{ErrorCode::kSnapshotMalformed, utils::ToString(document.error()), ""};
  }
  const auto version = item[1].get<document::Version>();
  if (item[0] != document->service || version == 0 || version > data.head_offset ||
      data.documents.Find(document->service) != nullptr) {
    return utils::Error{ErrorCode::kSnapshotMalformed,
                        "a document has the wrong service or version, or its service occurs twice",
                        ""};
  }
  for (const std::string& host : document->hosts) {
    if (data.documents_by_host.Find(host) != nullptr) {
      return utils::Error{ErrorCode::kSnapshotMalformed, "a host belongs to two documents", ""};
    }
  }
  data.PutDocument(details::MakeDocumentEntry(version, std::move(*document), item[2]));
  return std::nullopt;
}

utils::Result<FlaggedVerdict> ReadVerdict(const json& item, Offset last_offset,
                                          Offset head_offset) {
  if (!item.is_array() || item.size() != kVerdictFieldCount || !item[0].is_number_unsigned()) {
    return Malformed("a verdict item has unexpected fields");
  }
  auto verdict = details::DecodeVerdict(item[1]);
  if (!verdict || verdict->offset <= last_offset || verdict->offset > head_offset) {
    return Malformed(
        "a verdict has invalid fields, or its offset is out of order or above the head offset");
  }
  return FlaggedVerdict{details::MakeStoredVerdict(std::move(*verdict)),
                        item[0].get<std::uint64_t>()};
}

// The first item.
struct Header {
  Offset head_offset = 0;
  std::uint64_t hash = 0;
  std::uint64_t document_count = 0;
  std::uint64_t verdict_count = 0;
};

utils::Result<Header> ReadHeader(details::CborSequenceReader& reader) {
  const auto item = reader.Next();
  if (!item) {
    return tl::unexpected(item.error());
  }
  bool is_valid = item->is_array() && item->size() == kHeaderFieldCount;
  for (std::size_t i = 0; is_valid && i < kHeaderFieldCount; ++i) {
    is_valid = (*item)[i].is_number_unsigned();
  }
  if (!is_valid || (*item)[0] != kSnapshotFormat) {
    return Malformed("not a snapshot of format " + std::to_string(kSnapshotFormat));
  }
  return Header{(*item)[1].get<Offset>(), (*item)[2].get<std::uint64_t>(),
                (*item)[3].get<std::uint64_t>(), (*item)[4].get<std::uint64_t>()};
}

std::optional<utils::Error> ReadDocuments(State::Data& data, details::CborSequenceReader& reader,
                                          const Header& header) {
  for (std::uint64_t i = 0; i < header.document_count; ++i) {
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
  details::VerdictList with_publish_id;
  Offset last_offset = 0;
  for (std::uint64_t i = 0; i < header.verdict_count; ++i) {
    const auto item = reader.Next();
    if (!item) {
      return item.error();
    }
    const auto flagged = ReadVerdict(*item, last_offset, header.head_offset);
    if (!flagged) {
      return flagged.error();
    }
    last_offset = flagged->stored->verdict.offset;
    if ((flagged->flags & kPublishIdFlag) != 0) {
      with_publish_id.push_back(flagged->stored);
    }
    if ((flagged->flags & kHistoryFlag) != 0) {
      data.AppendHistory(flagged->stored);
    }
  }
  if (!data.SetPublishIds(with_publish_id)) {
    return utils::Error{ErrorCode::kSnapshotMalformed,
                        "a publish id occurs twice, or there are too many publish ids", ""};
  }
  return std::nullopt;
}

utils::Result<std::shared_ptr<State::Data>> ReadContent(details::CborSequenceReader& reader,
                                                        const Header& header) {
  auto data = std::make_shared<State::Data>();
  data->head_offset = header.head_offset;
  auto error = ReadDocuments(*data, reader, header);
  error = error ? error : ReadVerdicts(*data, reader, header);
  if (error) {
    return tl::unexpected(*error);
  }
  if (!reader.IsAtEnd()) {
    return Malformed("unexpected bytes after the last item");
  }
  return data;
}

}  // namespace

std::string State::EncodeSnapshot() const {
  const std::map<Offset, FlaggedVerdict> flagged = CollectFlaggedVerdicts(*this->data);
  details::CborSequenceWriter writer;
  writer.Append(json::array({kSnapshotFormat, this->data->head_offset, this->Hash(),
                             this->data->documents.Size(), flagged.size()}));
  this->data->documents.ForEach([&](const auto& entry) {
    const AcceptedDocument& accepted = entry.value->accepted;
    writer.Append(json::array({entry.key, accepted.version, *accepted.source}));
  });
  for (const auto& [offset, item] : flagged) {
    writer.Append(json::array({item.flags, details::EncodeVerdict(item.stored->verdict)}));
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
    return utils::Fail(ErrorCode::kSnapshotHashMismatch,
                       "the content does not match the hash in the header");
  }
  if (const std::string dangling = state.FirstDanglingReference(); !dangling.empty()) {
    return Malformed("dangling reference " + dangling);
  }
  return state;
}

}  // namespace amaranthlatch::acceptance
