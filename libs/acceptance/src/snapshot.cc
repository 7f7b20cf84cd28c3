// Snapshots: `[format, head, hash, documents, verdicts]` in CBOR, compressed. Documents are
// `[service, version, source]` by service; verdicts are `[flags, verdict]` by offset, where the
// flags tell whether the publish id is remembered and whether the history holds the verdict.

#include <zstd.h>

#include <map>
#include <optional>
#include <utility>

#include "amaranthlatch/acceptance/state.h"
#include "amaranthlatch/document/document_parser.h"
#include "amaranthlatch/document/json_guard.h"
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

constexpr std::size_t kTopFields = 5;
constexpr std::size_t kDocumentFields = 3;
constexpr std::size_t kVerdictFields = 2;

struct FlaggedVerdict {
  details::StoredVerdictPtr stored;
  std::uint64_t flags = 0;
};

tl::unexpected<utils::Error> Malformed(std::string message) {
  return utils::Fail(ErrorCode::kSnapshotMalformed, std::move(message));
}

json DocumentsToJson(const State::Data& data) {
  json documents = json::array();
  data.documents.ForEach([&](const auto& entry) {
    const AcceptedDocument& accepted = entry.value->accepted;
    documents.push_back(json::array({entry.key, accepted.version, *accepted.source}));
  });
  return documents;
}

json VerdictsToJson(const State::Data& data) {
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
  json verdicts = json::array();
  for (const auto& [offset, item] : flagged) {
    verdicts.push_back(json::array({item.flags, details::VerdictToJson(item.stored->verdict)}));
  }
  return verdicts;
}

std::string Compress(const std::vector<std::uint8_t>& bytes) {
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

std::optional<utils::Error> AddVerdict(State::Data& data, const json& item, Offset& last_offset) {
  const utils::Error malformed{ErrorCode::kSnapshotMalformed, "a verdict has another shape", ""};
  if (!item.is_array() || item.size() != kVerdictFields || !item[0].is_number_unsigned()) {
    return malformed;
  }
  auto verdict = details::VerdictFromJson(item[1]);
  if (!verdict || verdict->offset <= last_offset || verdict->offset > data.head) {
    return malformed;
  }
  last_offset = verdict->offset;
  const auto flags = item[0].get<std::uint64_t>();
  const auto stored = details::StoreVerdict(std::move(*verdict));
  if ((flags & kPublishIdFlag) != 0) {
    if (data.publish_ids.Find(stored->verdict.publish_id) != nullptr) {
      return malformed;
    }
    data.RememberPublishId(stored);
  }
  if ((flags & kHistoryFlag) != 0) {
    data.AppendHistory(stored);
  }
  return std::nullopt;
}

bool HasTopShape(const json& content) {
  return content.is_array() && content.size() == kTopFields && content[0] == kSnapshotFormat &&
         content[1].is_number_unsigned() && content[2].is_number_unsigned() &&
         content[3].is_array() && content[4].is_array();
}

utils::Result<std::shared_ptr<State::Data>> ReadContent(const json& content) {
  if (!HasTopShape(content)) {
    return Malformed("not a snapshot of format " + std::to_string(kSnapshotFormat));
  }
  auto data = std::make_shared<State::Data>();
  data->head = content[1].get<Offset>();
  for (const json& item : content[3]) {
    if (const auto error = AddDocument(*data, item)) {
      return tl::unexpected(*error);
    }
  }
  Offset last_offset = 0;
  for (const json& item : content[4]) {
    if (const auto error = AddVerdict(*data, item, last_offset)) {
      return tl::unexpected(*error);
    }
  }
  return data;
}

}  // namespace

std::string State::EncodeSnapshot() const {
  const json content = json::array({kSnapshotFormat, this->data->head, this->Hash(),
                                    DocumentsToJson(*this->data), VerdictsToJson(*this->data)});
  return Compress(json::to_cbor(content));
}

utils::Result<State> State::DecodeSnapshot(std::string_view bytes) {
  const auto decompressed = Decompress(bytes);
  if (!decompressed) {
    return tl::unexpected(decompressed.error());
  }
  const auto content = document::ParseCbor(*decompressed, ErrorCode::kSnapshotMalformed);
  if (!content) {
    return tl::unexpected(content.error());
  }
  auto data = ReadContent(*content);
  if (!data) {
    return tl::unexpected(data.error());
  }
  State state(std::move(*data));
  if (state.Hash() != (*content)[2].get<std::uint64_t>()) {
    return utils::Fail(ErrorCode::kSnapshotHashMismatch, "the content does not match its hash");
  }
  if (const std::string dangling = state.FirstDanglingReference(); !dangling.empty()) {
    return Malformed("dangling reference " + dangling);
  }
  return state;
}

}  // namespace amaranthlatch::acceptance
