// Requests under suspicion of crashing backend servers.

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

enum class Suspicion : std::uint8_t { kNone, kSuspect, kQuarantined };

// Hash that is equal for copies of one request at every node.
std::uint64_t FingerprintOf(const std::string& service, const HttpRequest& request);

class Quarantine {
 public:
  explicit Quarantine(SharedState& shared) : shared(shared) {}

  Suspicion Of(const std::string& service, std::uint64_t fingerprint) const;
  // The one gate that may run a suspect of the service; empty without a ready one.
  static membership::NodeId HomeOf(const Context& context, const std::string& service,
                                   std::uint64_t fingerprint);

  // The local backend server died with these requests in flight: counts the death and reports it.
  void ReportCrash(const Context& context, const std::string& service,
                   std::vector<std::uint64_t> fingerprints);
  void OnReport(const Context& context, const CrashReport& report);

  // The request completed here: it is cleared, and the other gates are told.
  void ReportCompleted(const Context& context, const std::string& service,
                       std::uint64_t fingerprint);
  void OnCleared(const Context& context, const CrashCleared& cleared);

  void Expire(const Context& context);
  std::optional<utils::Timestamp> NextExpiry() const;
  std::size_t Size() const { return this->entries.size(); }

 private:
  using Key = std::pair<std::string, std::uint64_t>;
  // Names one death mesh-wide: gate, boot id, count.
  using Death = std::tuple<membership::NodeId, std::uint64_t, std::uint64_t>;
  struct Entry {
    // At most two: the second quarantines.
    std::set<Death> deaths;
    utils::Timestamp expiry{};
  };

  // False if the death was counted before.
  bool CountDeath(const Context& context, const Key& key, const Death& death);
  void MakeRoom(const Context& context);
  void Forget(const Context& context, const Key& key);
  bool Clear(const Context& context, const Key& key);
  // To the first gates of the service, or from one of them to its share of the others.
  void Spread(const Context& context, const std::string& service, const Message& message,
              bool from_origin) const;

  SharedState& shared;
  std::uint64_t crashes = 0;
  // Entries and their expiries have the same keys.
  std::map<Key, Entry> entries;
  std::set<std::pair<utils::Timestamp, Key>> expiries;
};

}  // namespace amaranthlatch::calls::details
