// Application of log records to the accepted state, and queries.

#include "amaranthlatch/acceptance/state.h"

#include <utility>

#include "amaranthlatch/acceptance/publish_record.h"
#include "amaranthlatch/document/json_guard.h"
#include "state_data.h"
#include "validation.h"

namespace amaranthlatch::acceptance {

namespace {

using utils::ErrorCode;

Verdict MakeAcceptedVerdict(Offset offset, const PublishRecord& record) {
  Verdict verdict;
  verdict.outcome = Outcome::kAccepted;
  verdict.offset = offset;
  verdict.service = record.service;
  verdict.publish_id = record.publish_id;
  verdict.author = record.author;
  verdict.published_at = record.published_at;
  verdict.action = record.action;
  return verdict;
}

void MarkRefused(Verdict& verdict, const utils::Error& error) {
  verdict.outcome = Outcome::kRefused;
  verdict.code = error.code;
  verdict.message = error.message;
  verdict.pointer = error.pointer;
}

// Applies a well-formed record with a new publish id.
Verdict ApplyRecord(State::Data& data, Offset offset, const PublishRecord& record) {
  Verdict verdict = MakeAcceptedVerdict(offset, record);
  if (const auto* current = data.documents.Find(record.service)) {
    verdict.replaced = (*current)->accepted.version;
  }
  const auto change = details::ValidateRecord(data, offset, record);
  if (!change) {
    MarkRefused(verdict, change.error());
  } else if (change->entry != nullptr) {
    data.PutDocument(change->entry);
  } else {
    data.RemoveDocument(record.service);
  }
  const details::StoredVerdictPtr stored = details::MakeStoredVerdict(verdict);
  data.AddPublishId(stored);
  data.AppendHistory(stored);
  return verdict;
}

}  // namespace

State::State() : data(std::make_shared<const Data>()) {}

State::State(std::shared_ptr<const Data> data) : data(std::move(data)) {}

utils::Result<Verdict> State::Apply(Offset offset, const nlohmann::json& record) {
  if (offset <= this->data->head_offset) {
    return utils::Fail(ErrorCode::kOffsetGap, "offset " + std::to_string(offset) +
                                                  " is not above the head offset " +
                                                  std::to_string(this->data->head_offset));
  }
  const auto parsed = ParsePublishRecord(record);
  if (!parsed && parsed.error().code == ErrorCode::kRecordUnknownFormat) {
    return tl::unexpected(parsed.error());
  }
  auto next = std::make_shared<Data>(*this->data);
  next->head_offset = offset;
  Verdict verdict;
  if (!parsed) {
    verdict.offset = offset;
    MarkRefused(verdict, parsed.error());
  } else if (const auto* first = next->verdicts_by_publish_id.Find(parsed->publish_id)) {
    verdict = (*first)->verdict;
    verdict.outcome = Outcome::kDuplicate;
  } else {
    verdict = ApplyRecord(*next, offset, *parsed);
  }
  this->data = std::move(next);
  return verdict;
}

Offset State::HeadOffset() const { return this->data->head_offset; }

std::uint64_t State::Hash() const {
  return utils::CombineHash(this->data->element_hash_sum, this->data->head_offset);
}

std::optional<document::RouteMatch> State::Match(std::string_view host, std::string_view path,
                                                 std::string_view method) const {
  const auto* entry = this->data->documents_by_host.Find(document::NormalizeHost(host));
  if (entry == nullptr) {
    return std::nullopt;
  }
  const document::Route* route = (*entry)->matcher.Match(path, method);
  if (route == nullptr) {
    return std::nullopt;
  }
  const AcceptedDocument& accepted = (*entry)->accepted;
  return document::RouteMatch{accepted.document, accepted.version, route};
}

std::shared_ptr<const document::ServiceDocument> State::Find(std::string_view service) const {
  const AcceptedDocument* accepted = this->FindAccepted(service);
  return accepted == nullptr ? nullptr : accepted->document;
}

const AcceptedDocument* State::FindAccepted(std::string_view service) const {
  const auto* entry = this->data->documents.Find(service);
  return entry == nullptr ? nullptr : &(*entry)->accepted;
}

std::vector<std::string> State::Services() const {
  std::vector<std::string> services;
  services.reserve(this->data->documents.Size());
  this->data->documents.ForEach([&](const auto& entry) { services.push_back(entry.key); });
  return services;
}

std::vector<Verdict> State::History(std::string_view service) const {
  std::vector<Verdict> history;
  if (const auto* list = this->data->histories.Find(service)) {
    for (const details::StoredVerdictPtr& stored : **list) {
      history.push_back(stored->verdict);
    }
  }
  return history;
}

std::optional<Verdict> State::FindVerdictByPublishId(std::string_view publish_id) const {
  const auto* stored = this->data->verdicts_by_publish_id.Find(publish_id);
  return stored == nullptr ? std::nullopt : std::optional((*stored)->verdict);
}

std::vector<std::string> State::FindReferencingServices(std::string_view service) const {
  std::vector<std::string> referencing_services;
  const details::Reference first_reference{std::string(service), ""};
  this->data->references.ForEachFrom(first_reference, [&](const auto& entry) {
    if (entry.key.target != service) {
      return false;
    }
    referencing_services.push_back(entry.key.source);
    return true;
  });
  return referencing_services;
}

std::string State::FirstDanglingReference() const {
  std::string dangling;
  const auto is_defined = [this](const document::ServiceDocument& source,
                                 const document::SplitTarget& target) {
    if (target.service == source.service) {
      return source.versions.contains(target.version);
    }
    const AcceptedDocument* other = this->FindAccepted(target.service);
    return other != nullptr && other->document->versions.contains(target.version);
  };
  this->data->documents.ForEach([&](const auto& entry) {
    const document::ServiceDocument& source = *entry.value->accepted.document;
    for (const document::Route& route : source.routes) {
      for (const document::SplitTarget& target : route.split) {
        if (dangling.empty() && !is_defined(source, target)) {
          dangling = source.service + " route " + route.name + " -> " + target.service + "/" +
                     target.version;
        }
      }
    }
  });
  return dangling;
}

}  // namespace amaranthlatch::acceptance
