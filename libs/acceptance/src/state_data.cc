// Modification of the content of a State. Every change also updates the indexes and the hash sum.

#include "state_data.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace amaranthlatch::acceptance {

namespace details {

namespace {

// Each kind of element has its own seed, so that elements of different kinds do not get equal
// hashes.
constexpr std::uint64_t kDocumentHashSeed = 1;
constexpr std::uint64_t kPublishIdHashSeed = 2;
constexpr std::uint64_t kHistoryHashSeed = 3;

std::uint64_t HashOfJson(const nlohmann::json& value, std::uint64_t seed) {
  const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(value);
  return utils::Hash64({reinterpret_cast<const char*>(bytes.data()), bytes.size()}, seed);
}

std::uint64_t HashOfVerdict(const Verdict& verdict) {
  std::uint64_t hash = utils::CombineHash(verdict.offset, verdict.replaced);
  hash = utils::CombineHash(hash, static_cast<std::uint64_t>(verdict.outcome));
  hash = utils::CombineHash(hash, static_cast<std::uint64_t>(verdict.action));
  hash = utils::CombineHash(hash, utils::ToNumber(verdict.code));
  for (const std::string* text : {&verdict.message, &verdict.pointer, &verdict.service,
                                  &verdict.publish_id, &verdict.author, &verdict.published_at}) {
    hash = utils::Hash64(*text, hash);
  }
  return hash;
}

// Versions that the document's routes have as split targets in other services, by service.
std::map<std::string, std::vector<std::string>> TargetsInOtherServices(
    const document::ServiceDocument& document) {
  std::map<std::string, std::set<std::string>> targets;
  for (const document::Route& route : document.routes) {
    for (const document::SplitTarget& target : route.split) {
      if (target.service != document.service) {
        targets[target.service].insert(target.version);
      }
    }
  }
  std::map<std::string, std::vector<std::string>> versions_by_service;
  for (const auto& [service, versions] : targets) {
    versions_by_service[service].assign(versions.begin(), versions.end());
  }
  return versions_by_service;
}

}  // namespace

StoredVerdictPtr MakeStoredVerdict(Verdict verdict) {
  const std::uint64_t hash = HashOfVerdict(verdict);
  return std::make_shared<const StoredVerdict>(StoredVerdict{std::move(verdict), hash});
}

std::uint64_t HashOfDocument(const std::string& service, document::Version version,
                             const nlohmann::json& source) {
  return HashOfJson(nlohmann::json::array({service, version, source}), kDocumentHashSeed);
}

std::uint64_t HashOfPublishId(const StoredVerdict& stored) {
  return utils::CombineHash(kPublishIdHashSeed, stored.hash);
}

std::uint64_t HashOfHistoryItem(const StoredVerdict& stored) {
  return utils::CombineHash(kHistoryHashSeed, stored.hash);
}

}  // namespace details

void State::Data::PutDocument(details::DocumentEntryPtr entry) {
  const document::ServiceDocument& document = *entry->accepted.document;
  this->RemoveDocument(document.service);
  for (const std::string& host : document.hosts) {
    this->documents_by_host.Put(host, entry);
  }
  for (auto& [target, versions] : details::TargetsInOtherServices(document)) {
    this->references.Put(details::Reference{target, document.service},
                         std::make_shared<const std::vector<std::string>>(std::move(versions)));
  }
  this->element_hash_sum += entry->hash;
  this->documents.Put(document.service, std::move(entry));
}

void State::Data::RemoveDocument(const std::string& service) {
  const details::DocumentEntryPtr* found = this->documents.Find(service);
  if (found == nullptr) {
    return;
  }
  const details::DocumentEntryPtr entry = *found;
  for (const std::string& host : entry->accepted.document->hosts) {
    this->documents_by_host.Erase(host);
  }
  for (const auto& [target, versions] :
       details::TargetsInOtherServices(*entry->accepted.document)) {
    this->references.Erase(details::Reference{target, service});
  }
  this->documents.Erase(service);
  this->element_hash_sum -= entry->hash;
}

void State::Data::AddPublishId(const details::StoredVerdictPtr& stored) {
  this->verdicts_by_publish_id.Put(stored->verdict.publish_id, stored);
  this->verdicts_by_offset.Put(stored->verdict.offset, stored);
  this->element_hash_sum += details::HashOfPublishId(*stored);
  if (this->verdicts_by_offset.Size() > kMaxPublishIds) {
    this->EvictOldestPublishId();
  }
}

bool State::Data::SetPublishIds(const details::VerdictList& verdicts) {
  using ByOffset = details::PersistentMap<Offset, details::StoredVerdictPtr>;
  using ByPublishId = details::PersistentMap<std::string, details::StoredVerdictPtr>;
  std::vector<ByOffset::Entry> by_offset;
  std::vector<ByPublishId::Entry> by_publish_id;
  for (const details::StoredVerdictPtr& stored : verdicts) {
    by_offset.push_back({stored->verdict.offset, stored});
    by_publish_id.push_back({stored->verdict.publish_id, stored});
    this->element_hash_sum += details::HashOfPublishId(*stored);
  }
  std::sort(by_publish_id.begin(), by_publish_id.end(),
            [](const auto& left, const auto& right) { return left.key < right.key; });
  const auto duplicate =
      std::adjacent_find(by_publish_id.begin(), by_publish_id.end(),
                         [](const auto& left, const auto& right) { return left.key == right.key; });
  if (duplicate != by_publish_id.end() || by_publish_id.size() > kMaxPublishIds) {
    return false;
  }
  this->verdicts_by_offset = ByOffset::FromSorted(std::move(by_offset));
  this->verdicts_by_publish_id = ByPublishId::FromSorted(std::move(by_publish_id));
  return true;
}

void State::Data::EvictOldestPublishId() {
  const details::StoredVerdictPtr oldest = this->verdicts_by_offset.First()->value;
  this->verdicts_by_offset.Erase(oldest->verdict.offset);
  this->verdicts_by_publish_id.Erase(oldest->verdict.publish_id);
  this->element_hash_sum -= details::HashOfPublishId(*oldest);
}

void State::Data::AppendHistory(const details::StoredVerdictPtr& stored) {
  const std::string& service = stored->verdict.service;
  const details::VerdictListPtr* found = this->histories.Find(service);
  details::VerdictList list = found == nullptr ? details::VerdictList() : **found;
  list.push_back(stored);
  this->element_hash_sum += details::HashOfHistoryItem(*stored);
  if (list.size() > kMaxVerdictsPerService) {
    this->element_hash_sum -= details::HashOfHistoryItem(*list.front());
    list.erase(list.begin());
  }
  this->histories.Put(service, std::make_shared<const details::VerdictList>(std::move(list)));
  if (this->histories.Size() > kMaxServicesWithHistory) {
    this->EvictOldestUnusedHistory();
  }
}

void State::Data::EvictOldestUnusedHistory() {
  const details::VerdictListPtr* oldest = nullptr;
  const auto last_offset = [](const details::VerdictListPtr& list) {
    return list->back()->verdict.offset;
  };
  this->histories.ForEach([&](const auto& entry) {
    const bool is_older = oldest == nullptr || last_offset(entry.value) < last_offset(*oldest);
    if (is_older && this->documents.Find(entry.key) == nullptr) {
      oldest = &entry.value;
    }
  });
  if (oldest == nullptr) {
    return;
  }
  const details::VerdictListPtr list = *oldest;
  for (const details::StoredVerdictPtr& stored : *list) {
    this->element_hash_sum -= details::HashOfHistoryItem(*stored);
  }
  this->histories.Erase(list->front()->verdict.service);
}

}  // namespace amaranthlatch::acceptance
