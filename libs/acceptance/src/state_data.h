// The shared content of a State. Every map shares its nodes with the states before it, so a copy
// costs a few pointers and a change copies a logarithmic number of nodes.

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "amaranthlatch/acceptance/record.h"
#include "amaranthlatch/acceptance/state.h"
#include "amaranthlatch/document/route_matcher.h"
#include "persistent_map.h"
#include "verdict_codec.h"

namespace amaranthlatch::acceptance::details {

// A document in force with its route index and its share of the state hash.
struct DocumentEntry {
  AcceptedDocument accepted;
  document::RouteMatcher matcher;
  std::uint64_t hash = 0;
};
using DocumentEntryPtr = std::shared_ptr<const DocumentEntry>;

// A verdict with its hash, shared by the publish ids and the history.
struct StoredVerdict {
  Verdict verdict;
  std::uint64_t hash = 0;
};
using StoredVerdictPtr = std::shared_ptr<const StoredVerdict>;

// Newest last.
using VerdictList = std::vector<StoredVerdictPtr>;
using VerdictListPtr = std::shared_ptr<const VerdictList>;

// A service whose document has routes to another service.
struct Reference {
  std::string target;
  std::string source;

  bool operator<(const Reference& other) const {
    return std::tie(this->target, this->source) < std::tie(other.target, other.source);
  }
};

inline std::uint64_t TreapPriority(const Reference& reference) {
  return utils::Hash64(reference.source, utils::Hash64(reference.target));
}

StoredVerdictPtr StoreVerdict(Verdict verdict);

// Shares of the state hash.
std::uint64_t HashOfDocument(const std::string& service, document::Version version,
                             const nlohmann::json& source);
std::uint64_t HashOfPublishId(const StoredVerdict& stored);
std::uint64_t HashOfHistoryItem(const StoredVerdict& stored);

}  // namespace amaranthlatch::acceptance::details

namespace amaranthlatch::acceptance {

// Invariants: every reference resolves to a version of a document in force; each host has one
// document; `sum` is the sum of the hashes of all documents, publish ids and history items.
struct State::Data {
  Offset head = 0;
  std::uint64_t sum = 0;
  details::PersistentMap<std::string, details::DocumentEntryPtr> documents;
  details::PersistentMap<std::string, details::DocumentEntryPtr> hosts;
  // Versions of the target that routes of the source name.
  details::PersistentMap<details::Reference, std::shared_ptr<const std::vector<std::string>>>
      references;
  details::PersistentMap<std::string, details::StoredVerdictPtr> publish_ids;
  // The same verdicts by offset, to forget the oldest.
  details::PersistentMap<Offset, details::StoredVerdictPtr> publish_order;
  details::PersistentMap<std::string, details::VerdictListPtr> histories;

  void PutDocument(details::DocumentEntryPtr entry);
  void RemoveDocument(const std::string& service);
  void RememberPublishId(const details::StoredVerdictPtr& stored);
  void AppendHistory(const details::StoredVerdictPtr& stored);

  // Sets the remembered publish ids of an empty state; `verdicts` are in ascending order of offset.
  // False where an id occurs twice or there are too many.
  bool SetPublishIds(const details::VerdictList& verdicts);

 private:
  void ForgetOldestPublishId();
  void DropUnusedHistory();
};

}  // namespace amaranthlatch::acceptance
