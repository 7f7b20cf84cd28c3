// The content of a State, shared by its copies. Maps share nodes with those of earlier states: a
// copy costs a few pointers, and a change copies a logarithmic number of nodes.

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

// A document in force with its route index and the hash that it adds to the state hash.
struct DocumentEntry {
  AcceptedDocument accepted;
  document::RouteMatcher matcher;
  std::uint64_t hash = 0;
};
using DocumentEntryPtr = std::shared_ptr<const DocumentEntry>;

// A verdict with its hash. Publish ids and history refer to the same object.
struct StoredVerdict {
  Verdict verdict;
  std::uint64_t hash = 0;
};
using StoredVerdictPtr = std::shared_ptr<const StoredVerdict>;

// Oldest first.
using VerdictList = std::vector<StoredVerdictPtr>;
using VerdictListPtr = std::shared_ptr<const VerdictList>;

// Key of a reference: routes of service `source` have split targets in service `target`.
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

StoredVerdictPtr MakeStoredVerdict(Verdict verdict);

// Hashes of single elements. Their sum is part of the state hash.
std::uint64_t HashOfDocument(const std::string& service, document::Version version,
                             const nlohmann::json& source);
std::uint64_t HashOfPublishId(const StoredVerdict& stored);
std::uint64_t HashOfHistoryItem(const StoredVerdict& stored);

}  // namespace amaranthlatch::acceptance::details

namespace amaranthlatch::acceptance {

// Invariants: every reference resolves to a version of a document in force; each host belongs to
// one document; `element_hash_sum` is the sum of the hashes of all documents, publish ids and
// history items.
struct State::Data {
  Offset head_offset = 0;
  std::uint64_t element_hash_sum = 0;
  details::PersistentMap<std::string, details::DocumentEntryPtr> documents;
  details::PersistentMap<std::string, details::DocumentEntryPtr> documents_by_host;
  // Versions of the target that are split targets of the source.
  details::PersistentMap<details::Reference, std::shared_ptr<const std::vector<std::string>>>
      references;
  details::PersistentMap<std::string, details::StoredVerdictPtr> verdicts_by_publish_id;
  // The verdicts of `verdicts_by_publish_id`, ordered for the eviction of the oldest.
  details::PersistentMap<Offset, details::StoredVerdictPtr> verdicts_by_offset;
  details::PersistentMap<std::string, details::VerdictListPtr> histories;

  void PutDocument(details::DocumentEntryPtr entry);
  void RemoveDocument(const std::string& service);
  void AddPublishId(const details::StoredVerdictPtr& stored);
  void AppendHistory(const details::StoredVerdictPtr& stored);

  // Sets the publish ids of a state that has none. `verdicts` must be in ascending order of offset.
  // Returns false if an id occurs twice or there are more than kMaxPublishIds.
  bool SetPublishIds(const details::VerdictList& verdicts);

 private:
  void EvictOldestPublishId();
  // Evicts the history with the oldest last verdict among services without a document, if any.
  void EvictOldestUnusedHistory();
};

}  // namespace amaranthlatch::acceptance
