// Validation of publish records.

#include "validation.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "amaranthlatch/document/document_parser.h"
#include "amaranthlatch/document/json_guard.h"

namespace amaranthlatch::acceptance::details {

namespace {

using document::Quote;
using document::ServiceDocument;
using utils::Error;
using utils::ErrorCode;
using OptionalError = std::optional<Error>;

const DocumentEntryPtr* FindEntry(const State::Data& data, std::string_view service) {
  return data.documents.Find(service);
}

// The last change to the service's document, or null if the history has none.
const Verdict* FindLastChange(const State::Data& data, const std::string& service) {
  const VerdictListPtr* list = data.histories.Find(service);
  if (list == nullptr) {
    return nullptr;
  }
  const auto found = std::find_if((*list)->rbegin(), (*list)->rend(), [](const auto& stored) {
    return stored->verdict.outcome == Outcome::kAccepted;
  });
  return found == (*list)->rend() ? nullptr : &(*found)->verdict;
}

OptionalError CheckBaseVersion(const State::Data& data, const PublishRecord& record) {
  const DocumentEntryPtr* entry = FindEntry(data, record.service);
  const document::Version current = entry == nullptr ? 0 : (*entry)->accepted.version;
  if (record.base_version == current) {
    return std::nullopt;
  }
  std::string message = "base version is " + std::to_string(record.base_version);
  message.append(", in force is ").append(std::to_string(current));
  if (const Verdict* last_change = FindLastChange(data, record.service)) {
    message.append("; the last change is version ").append(std::to_string(last_change->offset));
    message.append(" with publish id ").append(Quote(last_change->publish_id));
  }
  return Error{ErrorCode::kBaseVersionMismatch, std::move(message), ""};
}

OptionalError CheckHosts(const State::Data& data, const ServiceDocument& document) {
  for (std::size_t i = 0; i < document.hosts.size(); ++i) {
    const DocumentEntryPtr* owner = data.documents_by_host.Find(document.hosts[i]);
    if (owner != nullptr && (*owner)->accepted.document->service != document.service) {
      return Error{ErrorCode::kHostTaken,
                   Quote(document.hosts[i]) + " belongs to service " +
                       Quote((*owner)->accepted.document->service),
                   "/hosts/" + std::to_string(i)};
    }
  }
  return std::nullopt;
}

OptionalError CheckSplitTarget(const State::Data& data, const document::SplitTarget& target,
                               const std::string& pointer) {
  const DocumentEntryPtr* entry = FindEntry(data, target.service);
  if (entry == nullptr) {
    return Error{ErrorCode::kDanglingReference,
                 "service " + Quote(target.service) + " has no document in force",
                 pointer + "/service"};
  }
  if (!(*entry)->accepted.document->versions.contains(target.version)) {
    return Error{
        ErrorCode::kDanglingReference,
        "service " + Quote(target.service) + " defines no version " + Quote(target.version),
        pointer + "/version"};
  }
  return std::nullopt;
}

// Checks split targets in other services. The document parser checks those in the service itself.
OptionalError CheckSplitTargets(const State::Data& data, const ServiceDocument& document) {
  for (std::size_t i = 0; i < document.routes.size(); ++i) {
    const auto& split = document.routes[i].split;
    for (std::size_t target_index = 0; target_index < split.size(); ++target_index) {
      std::string pointer = "/routes/" + std::to_string(i);
      pointer.append("/split/").append(std::to_string(target_index));
      if (split[target_index].service == document.service) {
        continue;
      }
      if (auto error = CheckSplitTarget(data, split[target_index], pointer)) {
        return error;
      }
    }
  }
  return std::nullopt;
}

// Checks that `document` defines all versions that other services reference. A null `document`
// stands for a removal and defines none.
OptionalError CheckReferencedVersions(const State::Data& data, const std::string& service,
                                      const ServiceDocument* document) {
  OptionalError error;
  data.references.ForEachFrom(Reference{service, ""}, [&](const auto& entry) {
    if (entry.key.target != service) {
      return false;
    }
    for (const std::string& version : *entry.value) {
      if (document == nullptr || !document->versions.contains(version)) {
        error = Error{
            ErrorCode::kReferencedByOther,
            "version " + Quote(version) + " is a target of service " + Quote(entry.key.source),
            document == nullptr ? "" : "/versions"};
        return false;
      }
    }
    return true;
  });
  return error;
}

utils::Result<Change> ValidateRemove(const State::Data& data, const PublishRecord& record) {
  if (FindEntry(data, record.service) == nullptr) {
    return utils::Fail(ErrorCode::kServiceUnknown,
                       "service " + Quote(record.service) + " has no document in force");
  }
  if (auto error = CheckBaseVersion(data, record)) {
    return tl::unexpected(*error);
  }
  if (auto error = CheckReferencedVersions(data, record.service, nullptr)) {
    return tl::unexpected(*error);
  }
  return Change{};
}

utils::Result<Change> ValidatePut(const State::Data& data, Offset offset,
                                  const PublishRecord& record) {
  if (auto error = CheckBaseVersion(data, record)) {
    return tl::unexpected(*error);
  }
  auto document = document::FromJson(record.document);
  if (!document) {
    return tl::unexpected(document.error());
  }
  if (document->service != record.service) {
    return utils::Fail(ErrorCode::kDocumentOutOfRange,
                       "the record is for service " + Quote(record.service), "/service");
  }
  auto error = CheckHosts(data, *document);
  error = error ? error : CheckSplitTargets(data, *document);
  error = error ? error : CheckReferencedVersions(data, record.service, &*document);
  if (error) {
    return tl::unexpected(*error);
  }
  return Change{MakeDocumentEntry(offset, std::move(*document), record.document)};
}

}  // namespace

utils::Result<Change> ValidateRecord(const State::Data& data, Offset offset,
                                     const PublishRecord& record) {
  return record.action == Action::kRemove ? ValidateRemove(data, record)
                                          : ValidatePut(data, offset, record);
}

DocumentEntryPtr MakeDocumentEntry(document::Version version, ServiceDocument document,
                                   nlohmann::json source) {
  const std::uint64_t hash = HashOfDocument(document.service, version, source);
  auto shared_document = std::make_shared<const ServiceDocument>(std::move(document));
  AcceptedDocument accepted{version, shared_document,
                            std::make_shared<const nlohmann::json>(std::move(source))};
  return std::make_shared<const DocumentEntry>(
      DocumentEntry{std::move(accepted), document::RouteMatcher(shared_document), hash});
}

}  // namespace amaranthlatch::acceptance::details
