// The accepted state: a pure function of a prefix of the log's `config` stream.

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

// Publish ids that a state remembers, to recognise repeated records.
inline constexpr std::size_t kMaxPublishIds = 65'536;
// Verdicts kept for each service.
inline constexpr std::size_t kMaxVerdictsPerService = 50;
// Services with kept verdicts. Above it the history of the service without a document whose last
// verdict is oldest is dropped: refused records can name any number of services.
inline constexpr std::size_t kMaxServicesWithHistory = 4'096;

// Changes with the content or the texts of verdicts that snapshots hold.
inline constexpr std::uint64_t kSnapshotFormat = 1;
// Decompressed size above which a snapshot is not read.
inline constexpr std::size_t kMaxSnapshotBytes = 64ULL * 1024 * 1024;

// A document in force with the version that put it there.
struct AcceptedDocument {
  document::Version version = 0;
  std::shared_ptr<const document::ServiceDocument> document;
  // The JSON as published, for differences and display.
  std::shared_ptr<const nlohmann::json> source;
};

// A copyable value: copies share the documents.
class State final : public document::RouteTable {
 public:
  // The state before the first record.
  State();

  // Folds the record at `offset`, which must be HeadOffset() + 1 or later: the log may have gaps
  // only where records were never written, which the caller knows. Fails with
  // kRecordUnknownFormat, changing nothing, where this release must stop; a record at or below
  // HeadOffset() fails with kOffsetGap. A repeated publish id gives the first verdict with outcome
  // kDuplicate: its offset, code and texts are those of the first record.
  utils::Result<Verdict> Apply(Offset offset, const nlohmann::json& record);

  Offset HeadOffset() const;

  // Equal for equal states; changes with every applied record.
  std::uint64_t Hash() const;

  std::optional<document::RouteMatch> Match(std::string_view host, std::string_view path,
                                            std::string_view method) const override;
  std::shared_ptr<const document::ServiceDocument> Find(std::string_view service) const override;

  // Null for a service without a document.
  const AcceptedDocument* FindAccepted(std::string_view service) const;

  // Names of all services with a document, in ascending order.
  std::vector<std::string> Services() const;

  // Newest last; at most 50 a service.
  std::vector<Verdict> History(std::string_view service) const;

  // The verdict on the first record with this publish id, while it is remembered.
  std::optional<Verdict> FindVerdictByPublishId(std::string_view publish_id) const;

  // Services whose routes have the service as a target, in ascending order.
  std::vector<std::string> FindReferencingServices(std::string_view service) const;

  // The first reference that does not resolve, as text; empty for a closed state (promise P2).
  std::string FirstDanglingReference() const;

  // Canonical bytes: the same prefix of the log gives the same bytes on every node.
  std::string EncodeSnapshot() const;
  // Fails with kSnapshotMalformed or kSnapshotHashMismatch.
  static utils::Result<State> DecodeSnapshot(std::string_view bytes);

  // Defined in the library only.
  struct Data;

 private:
  explicit State(std::shared_ptr<const Data> data);

  std::shared_ptr<const Data> data;
};

}  // namespace amaranthlatch::acceptance
