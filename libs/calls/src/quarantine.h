// Quarantine of requests that crash backend servers.
//
// A crash makes suspects of all requests that ran on the server, but shows of none that it is the
// cause: servers also crash for other reasons, several at a time, and an ordinary request may run
// on all of them. So a suspect gets a trial: its owner gate runs one copy of it. It is cleared if
// that completes, and quarantined if the server crashes while no other suspect is on trial there.
// Suspects on trial in the same crash are contested: each of them gets its next trial alone.
//
// Without a trial a request is quarantined if it is all that two crashes at different gates within
// seconds have in common, leaving out requests that were completed lately. A copy that completes
// afterwards lifts such a quarantine.

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
#include "crash_history.h"

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
  // other gates. `on_trial`: whether any of them was on trial.
  void ReportCrash(const Context& context, const std::string& service,
                   std::vector<std::uint64_t> fingerprints, bool on_trial = false);
  void OnReport(const Context& context, const CrashReport& report);

  // Quarantines a suspect request whose trial crashed the local backend server and notifies the
  // other gates.
  void ReportConfirmed(const Context& context, const std::string& service,
                       std::uint64_t fingerprint);
  void OnConfirmed(const Context& context, const CrashConfirmed& confirmed);

  // The suspect was on trial with others when the local backend server crashed.
  void SetContested(const std::string& service, std::uint64_t fingerprint);
  bool IsContested(const std::string& service, std::uint64_t fingerprint) const;

  // Clears a suspect request that completed on this node and notifies the other gates. To be called
  // for every completed request.
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
    // Crashes already reported; the earliest ones are enough to stop repeated reports.
    std::set<CrashId> crash_ids;
    bool quarantined = false;
    // Quarantined by a crash on trial. A quarantine by two crashes alone ends if a copy of the
    // request that was still running completes.
    bool confirmed = false;
    // Known to the gate of the trial only.
    bool contested = false;
    utils::Timestamp expiry{};
  };

  // Returns false if the crash is already recorded or the request is already quarantined.
  bool RecordCrash(const Context& context, const Key& key, const CrashId& crash_id);
  // Returns false if the request is already quarantined by a crash on trial.
  bool Confirm(const Context& context, const Key& key);
  // Quarantines the only request that this crash and another one have in common, if any.
  void QuarantineCommon(const Context& context, const CrashReport& report);
  Entry& SetQuarantined(const Context& context, const Key& key);
  // Returns the entry of the key, with a new expiry; a new entry if there is none.
  Entry& Renew(const Context& context, const Key& key);
  void EvictIfFull(const Context& context);
  void RemoveEntry(const Context& context, const Key& key);
  bool Clear(const Context& context, const Key& key);
  // Sends the message to the first gates of the service if `is_origin`; otherwise relays it from
  // one of those to its share of the remaining gates.
  void Disseminate(const Context& context, const std::string& service, const Message& message,
                   bool is_origin) const;

  SharedState& shared;
  std::uint64_t local_crashes = 0;
  CrashHistory history;
  CompletedRequests completed;
  // `entries` and `expiries` contain the same keys.
  std::map<Key, Entry> entries;
  std::set<std::pair<utils::Timestamp, Key>> expiries;
};

}  // namespace amaranthlatch::calls::details
