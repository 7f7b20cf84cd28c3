// The accepted state: the documents in force, the verdict history and the publish ids kept to
// detect duplicates. It is a pure function of a prefix of the log's `config` stream.

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthlatch/acceptance/record.h"
#include "amaranthlatch/document/route_table.h"
#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::acceptance {

// Publish ids that a state keeps to detect duplicate records.
inline constexpr std::size_t kMaxPublishIds = 65'536;
// Verdicts in the history of a service.
inline constexpr std::size_t kMaxVerdictsPerService = 50;
// Services with a history. Above this limit, the history with the oldest last verdict among
// services without a document is evicted, because refused records can name any number of services.
inline constexpr std::size_t kMaxServicesWithHistory = 4'096;

// Must be raised when the content of a snapshot or the text of a stored verdict changes.
inline constexpr std::uint64_t kSnapshotFormat = 1;
// Maximum decompressed size of a snapshot that is decoded.
inline constexpr std::size_t kMaxSnapshotBytes = 64ULL * 1024 * 1024;

// A document in force. The version is the offset of the record that published it.
struct AcceptedDocument {
  document::Version version = 0;
  std::shared_ptr<const document::ServiceDocument> document;
  // The JSON as published, for computing differences and for display.
  std::shared_ptr<const nlohmann::json> source;
};

// A copyable value type. Copies share their documents.
class State final : public document::RouteTable {
 public:
  // The state before the first record.
  State();

  // Applies the record at `offset`, which must be above HeadOffset(). The caller ensures that no
  // record was written at a skipped offset. Fails with kOffsetGap at or below HeadOffset(), and
  // with kRecordUnknownFormat for a newer record format, at which this release must stop; an error
  // leaves the state unchanged. For a repeated publish id, returns the verdict on the first record,
  // with its offset, code and texts, and the outcome kDuplicate.
  utils::Result<Verdict> Apply(Offset offset, const nlohmann::json& record);

  Offset HeadOffset() const;

  // Hash of the content and the head offset. Changes with every applied record.
  std::uint64_t Hash() const;

  std::optional<document::RouteMatch> Match(std::string_view host, std::string_view path,
                                            std::string_view method) const override;
  std::shared_ptr<const document::ServiceDocument> Find(std::string_view service) const override;

  // Null for a service without a document.
  const AcceptedDocument* FindAccepted(std::string_view service) const;

  // Names of all services with a document, in ascending order.
  std::vector<std::string> Services() const;

  // The last kMaxVerdictsPerService verdicts on the service, oldest first.
  std::vector<Verdict> History(std::string_view service) const;

  // The verdict on the first record with this publish id, or empty once the id has been evicted.
  std::optional<Verdict> FindVerdictByPublishId(std::string_view publish_id) const;

  // Other services whose routes have a split target in `service`, in ascending order.
  std::vector<std::string> FindReferencingServices(std::string_view service) const;

  // Describes the first split target that does not resolve. Empty if all resolve (guarantee P2).
  std::string FirstDanglingReference() const;

  // Canonical encoding: the same prefix of the log gives the same bytes on every node.
  std::string EncodeSnapshot() const;
  // Fails with kSnapshotMalformed or kSnapshotHashMismatch.
  static utils::Result<State> DecodeSnapshot(std::string_view bytes);

  // Defined in src/state_data.h.
  struct Data;

 private:
  explicit State(std::shared_ptr<const Data> data);

  std::shared_ptr<const Data> data;
};

}  // namespace amaranthlatch::acceptance
