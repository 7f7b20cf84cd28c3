// Decisions on publish records.

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

// The last record that changed the service's document; null for none that is remembered.
const Verdict* LastAccepted(const State::Data& data, const std::string& service) {
  const VerdictListPtr* list = data.histories.Find(service);
  if (list == nullptr) {
    return nullptr;
  }
  const auto found = std::find_if((*list)->rbegin(), (*list)->rend(), [](const auto& stored) {
    return stored->verdict.outcome == Outcome::kAccepted;
  });
  return found == (*list)->rend() ? nullptr : &(*found)->verdict;
}

OptionalError CheckBase(const State::Data& data, const PublishRecord& record) {
  const DocumentEntryPtr* entry = FindEntry(data, record.service);
  const document::Version current = entry == nullptr ? 0 : (*entry)->accepted.version;
  if (record.base_version == current) {
    return std::nullopt;
  }
  std::string message = "base version is " + std::to_string(record.base_version);
  message.append(", in force is ").append(std::to_string(current));
  if (const Verdict* winner = LastAccepted(data, record.service)) {
    message.append("; the last change is version ").append(std::to_string(winner->offset));
    message.append(" with publish id ").append(Quote(winner->publish_id));
  }
  return Error{ErrorCode::kBaseVersionMismatch, std::move(message), ""};
}

OptionalError CheckHosts(const State::Data& data, const ServiceDocument& document) {
  for (std::size_t i = 0; i < document.hosts.size(); ++i) {
    const DocumentEntryPtr* owner = data.hosts.Find(document.hosts[i]);
    if (owner != nullptr && (*owner)->accepted.document->service != document.service) {
      return Error{ErrorCode::kHostTaken,
                   Quote(document.hosts[i]) + " belongs to service " +
                       Quote((*owner)->accepted.document->service),
                   "/hosts/" + std::to_string(i)};
    }
  }
  return std::nullopt;
}

OptionalError CheckTarget(const State::Data& data, const document::SplitTarget& target,
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

// References of the document to other services; those to its own are checked by its parser.
OptionalError CheckTargets(const State::Data& data, const ServiceDocument& document) {
  for (std::size_t i = 0; i < document.routes.size(); ++i) {
    const auto& split = document.routes[i].split;
    for (std::size_t k = 0; k < split.size(); ++k) {
      std::string pointer = "/routes/" + std::to_string(i);
      pointer.append("/split/").append(std::to_string(k));
      if (split[k].service == document.service) {
        continue;
      }
      if (auto error = CheckTarget(data, split[k], pointer)) {
        return error;
      }
    }
  }
  return std::nullopt;
}

// References of other documents to this service; a null `document` defines no version.
OptionalError CheckReferences(const State::Data& data, const std::string& service,
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

utils::Result<Change> CheckRemove(const State::Data& data, const PublishRecord& record) {
  if (FindEntry(data, record.service) == nullptr) {
    return utils::Fail(ErrorCode::kServiceUnknown,
                       "service " + Quote(record.service) + " has no document in force");
  }
  if (auto error = CheckBase(data, record)) {
    return tl::unexpected(*error);
  }
  if (auto error = CheckReferences(data, record.service, nullptr)) {
    return tl::unexpected(*error);
  }
  return Change{};
}

utils::Result<Change> CheckPut(const State::Data& data, Offset offset,
                               const PublishRecord& record) {
  if (auto error = CheckBase(data, record)) {
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
  error = error ? error : CheckTargets(data, *document);
  error = error ? error : CheckReferences(data, record.service, &*document);
  if (error) {
    return tl::unexpected(*error);
  }
  return Change{MakeEntry(offset, std::move(*document), record.document)};
}

}  // namespace

utils::Result<Change> CheckRecord(const State::Data& data, Offset offset,
                                  const PublishRecord& record) {
  return record.action == Action::kRemove ? CheckRemove(data, record)
                                          : CheckPut(data, offset, record);
}

DocumentEntryPtr MakeEntry(document::Version version, ServiceDocument document,
                           nlohmann::json source) {
  const std::uint64_t hash = HashOfDocument(document.service, version, source);
  auto shared = std::make_shared<const ServiceDocument>(std::move(document));
  AcceptedDocument accepted{version, shared,
                            std::make_shared<const nlohmann::json>(std::move(source))};
  return std::make_shared<const DocumentEntry>(
      DocumentEntry{std::move(accepted), document::RouteMatcher(shared), hash});
}

}  // namespace amaranthlatch::acceptance::details
