// A persistent ordered map: copies share nodes, and a change copies only the path to the changed
// node. It is a treap whose priorities are hashes of the keys, so its shape depends on its content
// alone.

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::acceptance::details {

inline std::uint64_t TreapPriority(std::string_view key) { return utils::Hash64(key); }
inline std::uint64_t TreapPriority(std::uint64_t key) { return utils::CombineHash(key, 0); }

template <typename Key, typename Value>
class PersistentMap {
 public:
  struct Entry {
    Key key;
    Value value;
  };

  // Creates a map from entries in strictly ascending order of keys.
  static PersistentMap FromSorted(std::vector<Entry> entries) {
    std::vector<std::uint64_t> priorities;
    priorities.reserve(entries.size());
    for (const Entry& entry : entries) {
      priorities.push_back(TreapPriority(entry.key));
    }
    PersistentMap map;
    map.root = BuildSubtree(entries, priorities, 0, entries.size());
    return map;
  }

  std::size_t Size() const { return SizeOf(this->root); }

  // Returns null for an absent key. The pointer is valid as long as any map contains the entry.
  template <typename LookupKey>
  const Value* Find(const LookupKey& key) const {
    const Node* node = this->root.get();
    while (node != nullptr) {
      if (key < node->entry->key) {
        node = node->left.get();
      } else if (node->entry->key < key) {
        node = node->right.get();
      } else {
        return &node->entry->value;
      }
    }
    return nullptr;
  }

  // The entry with the lowest key, or null for an empty map.
  const Entry* First() const {
    const Node* node = this->root.get();
    while (node != nullptr && node->left != nullptr) {
      node = node->left.get();
    }
    return node == nullptr ? nullptr : node->entry.get();
  }

  // Adds the entry or replaces the one with its key.
  void Put(Key key, Value value) {
    const std::uint64_t priority = TreapPriority(key);
    auto entry = std::make_shared<const Entry>(Entry{std::move(key), std::move(value)});
    this->root = InsertNode(this->root, std::move(entry), priority);
  }

  template <typename LookupKey>
  void Erase(const LookupKey& key) {
    this->root = EraseNode(this->root, key);
  }

  // Calls `visit(entry)` for every entry in ascending order of keys.
  template <typename Visitor>
  void ForEach(const Visitor& visit) const {
    VisitInOrder(this->root.get(), visit);
  }

  // Calls `visit(entry)` in ascending order, from the first key that is not below `first_key`,
  // until it returns false.
  template <typename LookupKey, typename Visitor>
  void ForEachFrom(const LookupKey& first_key, const Visitor& visit) const {
    VisitInOrderFrom(this->root.get(), first_key, visit);
  }

 private:
  struct Node;
  using NodePtr = std::shared_ptr<const Node>;
  using EntryPtr = std::shared_ptr<const Entry>;

  // Invariant: the priority of a node is at least that of its children. Copies of a node share the
  // entry.
  struct Node {
    EntryPtr entry;
    std::uint64_t priority = 0;
    std::size_t size = 0;
    NodePtr left;
    NodePtr right;
  };

  NodePtr root;

  static std::size_t SizeOf(const NodePtr& node) { return node == nullptr ? 0 : node->size; }

  static NodePtr MakeNode(EntryPtr entry, std::uint64_t priority, NodePtr left, NodePtr right) {
    const std::size_t size = SizeOf(left) + SizeOf(right) + 1;
    return std::make_shared<const Node>(
        Node{std::move(entry), priority, size, std::move(left), std::move(right)});
  }

  // Builds the subtree of entries [first, last). The entry with the highest priority is its root.
  static NodePtr BuildSubtree(std::vector<Entry>& entries,
                              const std::vector<std::uint64_t>& priorities, std::size_t first,
                              std::size_t last) {
    if (first == last) {
      return nullptr;
    }
    const auto priorities_begin = priorities.begin();
    const auto highest = std::max_element(priorities_begin + static_cast<std::ptrdiff_t>(first),
                                          priorities_begin + static_cast<std::ptrdiff_t>(last));
    const auto root_index = static_cast<std::size_t>(highest - priorities_begin);
    auto entry = std::make_shared<const Entry>(std::move(entries[root_index]));
    return MakeNode(std::move(entry), *highest,
                    BuildSubtree(entries, priorities, first, root_index),
                    BuildSubtree(entries, priorities, root_index + 1, last));
  }

  static NodePtr CopyWithLeft(const Node& node, NodePtr left) {
    return MakeNode(node.entry, node.priority, std::move(left), node.right);
  }

  static NodePtr CopyWithRight(const Node& node, NodePtr right) {
    return MakeNode(node.entry, node.priority, node.left, std::move(right));
  }

  static NodePtr InsertNode(const NodePtr& node, EntryPtr entry, std::uint64_t priority) {
    if (node == nullptr) {
      return MakeNode(std::move(entry), priority, nullptr, nullptr);
    }
    const bool is_below = entry->key < node->entry->key;
    const bool is_above = node->entry->key < entry->key;
    if (!is_below && !is_above) {
      return MakeNode(std::move(entry), priority, node->left, node->right);
    }
    // Ties are broken by key, so that the shape depends on the content alone.
    if (priority > node->priority || (priority == node->priority && is_below)) {
      auto [left, right] = Split(node, entry->key);
      return MakeNode(std::move(entry), priority, std::move(left), std::move(right));
    }
    return is_below ? CopyWithLeft(*node, InsertNode(node->left, std::move(entry), priority))
                    : CopyWithRight(*node, InsertNode(node->right, std::move(entry), priority));
  }

  // Splits into the entries below the key and those above it.
  static std::pair<NodePtr, NodePtr> Split(const NodePtr& node, const Key& key) {
    if (node == nullptr) {
      return {nullptr, nullptr};
    }
    if (key < node->entry->key) {
      auto [below, above] = Split(node->left, key);
      return {std::move(below), CopyWithLeft(*node, std::move(above))};
    }
    auto [below, above] = Split(node->right, key);
    return {CopyWithRight(*node, std::move(below)), std::move(above)};
  }

  // Every key of `left` must be below every key of `right`.
  static NodePtr Merge(const NodePtr& left, const NodePtr& right) {
    if (left == nullptr) {
      return right;
    }
    if (right == nullptr) {
      return left;
    }
    if (left->priority >= right->priority) {
      return CopyWithRight(*left, Merge(left->right, right));
    }
    return CopyWithLeft(*right, Merge(left, right->left));
  }

  template <typename LookupKey>
  static NodePtr EraseNode(const NodePtr& node, const LookupKey& key) {
    if (node == nullptr) {
      return nullptr;
    }
    if (key < node->entry->key) {
      return CopyWithLeft(*node, EraseNode(node->left, key));
    }
    if (node->entry->key < key) {
      return CopyWithRight(*node, EraseNode(node->right, key));
    }
    return Merge(node->left, node->right);
  }

  template <typename Visitor>
  static void VisitInOrder(const Node* node, const Visitor& visit) {
    if (node != nullptr) {
      VisitInOrder(node->left.get(), visit);
      visit(*node->entry);
      VisitInOrder(node->right.get(), visit);
    }
  }

  template <typename LookupKey, typename Visitor>
  static bool VisitInOrderFrom(const Node* node, const LookupKey& first_key, const Visitor& visit) {
    if (node == nullptr) {
      return true;
    }
    if (node->entry->key < first_key) {
      return VisitInOrderFrom(node->right.get(), first_key, visit);
    }
    return VisitInOrderFrom(node->left.get(), first_key, visit) && visit(*node->entry) &&
           VisitInOrderFrom(node->right.get(), first_key, visit);
  }
};

}  // namespace amaranthlatch::acceptance::details
