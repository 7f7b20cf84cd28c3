// Changes of the shared content of a State; each keeps the indexes and the hash in step.

#include "state_data.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace amaranthlatch::acceptance {

namespace details {

namespace {

// Different kinds of elements have different seeds, so that none can stand for another.
constexpr std::uint64_t kDocumentSeed = 1;
constexpr std::uint64_t kPublishIdSeed = 2;
constexpr std::uint64_t kHistorySeed = 3;

std::uint64_t HashOfCbor(const nlohmann::json& value, std::uint64_t seed) {
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

// Versions that the routes of a document name, by service, without those of its own.
std::map<std::string, std::vector<std::string>> ForeignTargets(
    const document::ServiceDocument& document) {
  std::map<std::string, std::set<std::string>> targets;
  for (const document::Route& route : document.routes) {
    for (const document::SplitTarget& target : route.split) {
      if (target.service != document.service) {
        targets[target.service].insert(target.version);
      }
    }
  }
  std::map<std::string, std::vector<std::string>> lists;
  for (const auto& [service, versions] : targets) {
    lists[service].assign(versions.begin(), versions.end());
  }
  return lists;
}

}  // namespace

StoredVerdictPtr StoreVerdict(Verdict verdict) {
  const std::uint64_t hash = HashOfVerdict(verdict);
  return std::make_shared<const StoredVerdict>(StoredVerdict{std::move(verdict), hash});
}

std::uint64_t HashOfDocument(const std::string& service, document::Version version,
                             const nlohmann::json& source) {
  return HashOfCbor(nlohmann::json::array({service, version, source}), kDocumentSeed);
}

std::uint64_t HashOfPublishId(const StoredVerdict& stored) {
  return utils::CombineHash(kPublishIdSeed, stored.hash);
}

std::uint64_t HashOfHistoryItem(const StoredVerdict& stored) {
  return utils::CombineHash(kHistorySeed, stored.hash);
}

}  // namespace details

void State::Data::PutDocument(details::DocumentEntryPtr entry) {
  const document::ServiceDocument& document = *entry->accepted.document;
  this->RemoveDocument(document.service);
  for (const std::string& host : document.hosts) {
    this->hosts.Put(host, entry);
  }
  for (auto& [target, versions] : details::ForeignTargets(document)) {
    this->references.Put(details::Reference{target, document.service},
                         std::make_shared<const std::vector<std::string>>(std::move(versions)));
  }
  this->sum += entry->hash;
  this->documents.Put(document.service, std::move(entry));
}

void State::Data::RemoveDocument(const std::string& service) {
  const details::DocumentEntryPtr* found = this->documents.Find(service);
  if (found == nullptr) {
    return;
  }
  const details::DocumentEntryPtr entry = *found;
  for (const std::string& host : entry->accepted.document->hosts) {
    this->hosts.Erase(host);
  }
  for (const auto& [target, versions] : details::ForeignTargets(*entry->accepted.document)) {
    this->references.Erase(details::Reference{target, service});
  }
  this->documents.Erase(service);
  this->sum -= entry->hash;
}

void State::Data::RememberPublishId(const details::StoredVerdictPtr& stored) {
  this->publish_ids.Put(stored->verdict.publish_id, stored);
  this->publish_order.Put(stored->verdict.offset, stored);
  this->sum += details::HashOfPublishId(*stored);
  if (this->publish_order.Size() > kMaxPublishIds) {
    this->ForgetOldestPublishId();
  }
}

bool State::Data::SetPublishIds(const details::VerdictList& verdicts) {
  using ByOffset = details::PersistentMap<Offset, details::StoredVerdictPtr>;
  using ById = details::PersistentMap<std::string, details::StoredVerdictPtr>;
  std::vector<ByOffset::Entry> by_offset;
  std::vector<ById::Entry> by_id;
  for (const details::StoredVerdictPtr& stored : verdicts) {
    by_offset.push_back({stored->verdict.offset, stored});
    by_id.push_back({stored->verdict.publish_id, stored});
    this->sum += details::HashOfPublishId(*stored);
  }
  std::sort(by_id.begin(), by_id.end(),
            [](const auto& left, const auto& right) { return left.key < right.key; });
  const auto repeated =
      std::adjacent_find(by_id.begin(), by_id.end(),
                         [](const auto& left, const auto& right) { return left.key == right.key; });
  if (repeated != by_id.end() || by_id.size() > kMaxPublishIds) {
    return false;
  }
  this->publish_order = ByOffset::FromSorted(std::move(by_offset));
  this->publish_ids = ById::FromSorted(std::move(by_id));
  return true;
}

void State::Data::ForgetOldestPublishId() {
  const details::StoredVerdictPtr oldest = this->publish_order.First()->value;
  this->publish_order.Erase(oldest->verdict.offset);
  this->publish_ids.Erase(oldest->verdict.publish_id);
  this->sum -= details::HashOfPublishId(*oldest);
}

void State::Data::AppendHistory(const details::StoredVerdictPtr& stored) {
  const std::string& service = stored->verdict.service;
  const details::VerdictListPtr* found = this->histories.Find(service);
  details::VerdictList list = found == nullptr ? details::VerdictList() : **found;
  list.push_back(stored);
  this->sum += details::HashOfHistoryItem(*stored);
  if (list.size() > kMaxVerdictsPerService) {
    this->sum -= details::HashOfHistoryItem(*list.front());
    list.erase(list.begin());
  }
  this->histories.Put(service, std::make_shared<const details::VerdictList>(std::move(list)));
  if (this->histories.Size() > kMaxServicesWithHistory) {
    this->DropUnusedHistory();
  }
}

void State::Data::DropUnusedHistory() {
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
    this->sum -= details::HashOfHistoryItem(*stored);
  }
  this->histories.Erase(list->front()->verdict.service);
}

}  // namespace amaranthlatch::acceptance
