// An ordered map whose copies share their nodes: a change copies only the path to the changed node.
// A treap with the priority derived from the key, so its shape depends on its content alone.

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

  // The map of the entries, whose keys must ascend.
  static PersistentMap FromSorted(std::vector<Entry> entries) {
    std::vector<std::uint64_t> priorities;
    priorities.reserve(entries.size());
    for (const Entry& entry : entries) {
      priorities.push_back(TreapPriority(entry.key));
    }
    PersistentMap map;
    map.root = Build(entries, priorities, 0, entries.size());
    return map;
  }

  std::size_t Size() const { return SizeOf(this->root); }

  // Null for an absent key; valid while a map that holds the entry lives.
  template <typename Lookup>
  const Value* Find(const Lookup& key) const {
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

  // The entry with the lowest key; null for an empty map.
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
    this->root = Insert(this->root, std::move(entry), priority);
  }

  template <typename Lookup>
  void Erase(const Lookup& key) {
    this->root = Remove(this->root, key);
  }

  // Calls `visit(entry)` in ascending order of the keys.
  template <typename Visit>
  void ForEach(const Visit& visit) const {
    Walk(this->root.get(), visit);
  }

  // Calls `visit(entry)` in ascending order from the first key not below `low` on, while it returns
  // true.
  template <typename Lookup, typename Visit>
  void ForEachFrom(const Lookup& low, const Visit& visit) const {
    WalkFrom(this->root.get(), low, visit);
  }

 private:
  struct Node;
  using NodePtr = std::shared_ptr<const Node>;
  using EntryPtr = std::shared_ptr<const Entry>;

  // Invariant: the priority of a node is not below those of its children. Copies of a node share
  // the entry.
  struct Node {
    EntryPtr entry;
    std::uint64_t priority = 0;
    std::size_t size = 0;
    NodePtr left;
    NodePtr right;
  };

  NodePtr root;

  static std::size_t SizeOf(const NodePtr& node) { return node == nullptr ? 0 : node->size; }

  static NodePtr Make(EntryPtr entry, std::uint64_t priority, NodePtr left, NodePtr right) {
    const std::size_t size = SizeOf(left) + SizeOf(right) + 1;
    return std::make_shared<const Node>(
        Node{std::move(entry), priority, size, std::move(left), std::move(right)});
  }

  // The node with the highest priority is the root; the sides follow in the same way.
  static NodePtr Build(std::vector<Entry>& entries, const std::vector<std::uint64_t>& priorities,
                       std::size_t first, std::size_t last) {
    if (first == last) {
      return nullptr;
    }
    const auto start = priorities.begin();
    const auto highest = std::max_element(start + static_cast<std::ptrdiff_t>(first),
                                          start + static_cast<std::ptrdiff_t>(last));
    const auto middle = static_cast<std::size_t>(highest - start);
    auto entry = std::make_shared<const Entry>(std::move(entries[middle]));
    return Make(std::move(entry), *highest, Build(entries, priorities, first, middle),
                Build(entries, priorities, middle + 1, last));
  }

  static NodePtr WithLeft(const Node& node, NodePtr left) {
    return Make(node.entry, node.priority, std::move(left), node.right);
  }

  static NodePtr WithRight(const Node& node, NodePtr right) {
    return Make(node.entry, node.priority, node.left, std::move(right));
  }

  static NodePtr Insert(const NodePtr& node, EntryPtr entry, std::uint64_t priority) {
    if (node == nullptr) {
      return Make(std::move(entry), priority, nullptr, nullptr);
    }
    const bool is_below = entry->key < node->entry->key;
    const bool is_above = node->entry->key < entry->key;
    if (!is_below && !is_above) {
      return Make(std::move(entry), priority, node->left, node->right);
    }
    // Equal priorities are ordered by key, which keeps the shape a function of the content.
    if (priority > node->priority || (priority == node->priority && is_below)) {
      auto [left, right] = Split(node, entry->key);
      return Make(std::move(entry), priority, std::move(left), std::move(right));
    }
    return is_below ? WithLeft(*node, Insert(node->left, std::move(entry), priority))
                    : WithRight(*node, Insert(node->right, std::move(entry), priority));
  }

  // Entries below the key and entries above it.
  static std::pair<NodePtr, NodePtr> Split(const NodePtr& node, const Key& key) {
    if (node == nullptr) {
      return {nullptr, nullptr};
    }
    if (key < node->entry->key) {
      auto [below, above] = Split(node->left, key);
      return {std::move(below), WithLeft(*node, std::move(above))};
    }
    auto [below, above] = Split(node->right, key);
    return {WithRight(*node, std::move(below)), std::move(above)};
  }

  // Every key of `left` is below every key of `right`.
  static NodePtr Merge(const NodePtr& left, const NodePtr& right) {
    if (left == nullptr) {
      return right;
    }
    if (right == nullptr) {
      return left;
    }
    if (left->priority >= right->priority) {
      return WithRight(*left, Merge(left->right, right));
    }
    return WithLeft(*right, Merge(left, right->left));
  }

  template <typename Lookup>
  static NodePtr Remove(const NodePtr& node, const Lookup& key) {
    if (node == nullptr) {
      return nullptr;
    }
    if (key < node->entry->key) {
      return WithLeft(*node, Remove(node->left, key));
    }
    if (node->entry->key < key) {
      return WithRight(*node, Remove(node->right, key));
    }
    return Merge(node->left, node->right);
  }

  template <typename Visit>
  static void Walk(const Node* node, const Visit& visit) {
    if (node != nullptr) {
      Walk(node->left.get(), visit);
      visit(*node->entry);
      Walk(node->right.get(), visit);
    }
  }

  template <typename Lookup, typename Visit>
  static bool WalkFrom(const Node* node, const Lookup& low, const Visit& visit) {
    if (node == nullptr) {
      return true;
    }
    if (node->entry->key < low) {
      return WalkFrom(node->right.get(), low, visit);
    }
    return WalkFrom(node->left.get(), low, visit) && visit(*node->entry) &&
           WalkFrom(node->right.get(), low, visit);
  }
};

}  // namespace amaranthlatch::acceptance::details
