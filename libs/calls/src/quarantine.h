// Quarantine of requests that crash backend servers.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "context.h"

namespace amaranthlatch::calls::details {

enum class QuarantineState : std::uint8_t { kNone, kSuspect, kQuarantined };

// Returns a hash of the request that is the same for all its copies on every node.
std::uint64_t FingerprintOf(const std::string& service, const HttpRequest& request);

class Quarantine {
 public:
  explicit Quarantine(SharedState& shared) : shared(shared) {}

  QuarantineState StateOf(const std::string& service, std::uint64_t fingerprint) const;
  // Returns the only gate that may run a suspect request of the service, or an empty id if no gate
  // is ready.
  static membership::NodeId OwnerOf(const Context& context, const std::string& service,
                                    std::uint64_t fingerprint);

  // Records a crash of the local backend server with these requests in flight and reports it to the
  // other gates.
  void ReportCrash(const Context& context, const std::string& service,
                   std::vector<std::uint64_t> fingerprints);
  void OnReport(const Context& context, const CrashReport& report);

  // Clears a suspect request that completed on this node and notifies the other gates.
  void ReportCompleted(const Context& context, const std::string& service,
                       std::uint64_t fingerprint);
  void OnCleared(const Context& context, const CrashCleared& cleared);

  void Expire(const Context& context);
  std::optional<utils::Timestamp> NextExpiry() const;
  std::size_t Size() const { return this->entries.size(); }

 private:
  using Key = std::pair<std::string, std::uint64_t>;
  // Identifies a crash within the mesh: gate, boot id, crash number.
  using CrashId = std::tuple<membership::NodeId, std::uint64_t, std::uint64_t>;
  struct Entry {
    // At most two: the second crash quarantines the request.
    std::set<CrashId> crash_ids;
    utils::Timestamp expiry{};
  };

  // Returns false if the crash is already recorded or the request is already quarantined.
  bool RecordCrash(const Context& context, const Key& key, const CrashId& crash_id);
  void EvictIfFull(const Context& context);
  void RemoveEntry(const Context& context, const Key& key);
  bool Clear(const Context& context, const Key& key);
  // Sends the message to the first gates of the service if `is_origin`; otherwise relays it from
  // one of those to its share of the remaining gates.
  void Disseminate(const Context& context, const std::string& service, const Message& message,
                   bool is_origin) const;

  SharedState& shared;
  std::uint64_t local_crashes = 0;
  // `entries` and `expiries` contain the same keys.
  std::map<Key, Entry> entries;
  std::set<std::pair<utils::Timestamp, Key>> expiries;
};

}  // namespace amaranthlatch::calls::details
