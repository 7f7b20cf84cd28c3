// Crash records by request fingerprint, and dissemination of crash reports between gates.

#include "quarantine.h"

#include <algorithm>
#include <iterator>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::calls::details {

namespace {
// Crashes of a suspect beyond these are neither recorded nor relayed.
constexpr std::size_t kMaxCrashIds = 16;
}  // namespace

std::uint64_t FingerprintOf(const std::string& service, const HttpRequest& request) {
  std::uint64_t hash = utils::Hash64(service);
  hash = utils::Hash64(request.method, hash);
  hash = utils::Hash64(request.target, hash);
  return utils::Hash64(request.body, hash);
}

QuarantineState Quarantine::StateOf(const std::string& service, std::uint64_t fingerprint) const {
  if (this->entries.empty()) {
    return QuarantineState::kNone;
  }
  const auto found = this->entries.find(Key{service, fingerprint});
  if (found == this->entries.end()) {
    return QuarantineState::kNone;
  }
  return found->second.quarantined ? QuarantineState::kQuarantined : QuarantineState::kSuspect;
}

membership::NodeId Quarantine::OwnerOf(const Context& context, const std::string& service,
                                       std::uint64_t fingerprint) {
  const std::string key = std::to_string(fingerprint);
  membership::NodeId owner;
  std::uint64_t best = 0;
  for (const membership::Member& member : *context.members.ServiceMembers(service)) {
    if (member.state != membership::MemberState::kReady) {
      continue;
    }
    const std::uint64_t weight = utils::RendezvousWeight(key, member.id);
    if (owner.empty() || weight > best) {
      best = weight;
      owner = member.id;
    }
  }
  return owner;
}

void Quarantine::ReportCrash(const Context& context, const std::string& service,
                             std::vector<std::uint64_t> fingerprints, bool on_trial) {
  std::sort(fingerprints.begin(), fingerprints.end());
  fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()), fingerprints.end());
  ++this->shared.counters.backend_crashes;
  ++this->local_crashes;
  if (fingerprints.empty()) {
    return;
  }
  const membership::Member& self = context.members.Self();
  const CrashId crash_id{self.id, self.boot_id, this->local_crashes};
  for (const std::uint64_t fingerprint : fingerprints) {
    this->RecordCrash(context, Key{service, fingerprint}, crash_id);
  }
  CrashReport report{service, std::move(fingerprints), self.id, self.boot_id, this->local_crashes};
  if (!on_trial) {
    std::copy_if(report.fingerprints.begin(), report.fingerprints.end(),
                 std::back_inserter(report.candidates),
                 [&](std::uint64_t f) { return !this->completed.Contains(f, context.now); });
  }
  this->Disseminate(context, service, report, true);
  this->QuarantineCommon(context, report);
}

void Quarantine::OnReport(const Context& context, const CrashReport& report) {
  const CrashId crash_id{report.gate, report.gate_boot_id, report.crash};
  bool counted = false;
  for (const std::uint64_t fingerprint : report.fingerprints) {
    counted = this->RecordCrash(context, Key{report.service, fingerprint}, crash_id) || counted;
  }
  // A repeated report is not relayed, which prevents relay loops.
  if (counted) {
    this->Disseminate(context, report.service, report, false);
    this->QuarantineCommon(context, report);
  }
}

void Quarantine::ReportConfirmed(const Context& context, const std::string& service,
                                 std::uint64_t fingerprint) {
  if (this->Confirm(context, Key{service, fingerprint})) {
    this->Disseminate(context, service, CrashConfirmed{service, fingerprint}, true);
  }
}

void Quarantine::OnConfirmed(const Context& context, const CrashConfirmed& confirmed) {
  if (this->Confirm(context, Key{confirmed.service, confirmed.fingerprint})) {
    this->Disseminate(context, confirmed.service, confirmed, false);
  }
}

void Quarantine::SetContested(const std::string& service, std::uint64_t fingerprint) {
  const auto found = this->entries.find(Key{service, fingerprint});
  if (found != this->entries.end()) {
    found->second.contested = true;
  }
}

bool Quarantine::IsContested(const std::string& service, std::uint64_t fingerprint) const {
  const auto found = this->entries.find(Key{service, fingerprint});
  return found != this->entries.end() && found->second.contested;
}

bool Quarantine::RecordCrash(const Context& context, const Key& key, const CrashId& crash_id) {
  const auto found = this->entries.find(key);
  if (found != this->entries.end()) {
    const Entry& known = found->second;
    if (known.quarantined || known.crash_ids.size() >= kMaxCrashIds ||
        known.crash_ids.contains(crash_id)) {
      return false;
    }
  }
  this->Renew(context, key).crash_ids.insert(crash_id);
  return true;
}

bool Quarantine::Confirm(const Context& context, const Key& key) {
  const auto found = this->entries.find(key);
  if (found != this->entries.end() && found->second.confirmed) {
    return false;
  }
  this->SetQuarantined(context, key).confirmed = true;
  return true;
}

Quarantine::Entry& Quarantine::SetQuarantined(const Context& context, const Key& key) {
  Entry& entry = this->Renew(context, key);
  if (!entry.quarantined) {
    entry.quarantined = true;
    ++this->shared.counters.quarantined;
    context.effects.emplace_back(QuarantineChanged{key.first, key.second, true});
  }
  return entry;
}

void Quarantine::QuarantineCommon(const Context& context, const CrashReport& report) {
  const std::optional<std::uint64_t> common = this->history.Add(report, context.now);
  if (common && !this->completed.Contains(*common, context.now)) {
    this->SetQuarantined(context, Key{report.service, *common});
  }
}

Quarantine::Entry& Quarantine::Renew(const Context& context, const Key& key) {
  auto found = this->entries.find(key);
  if (found == this->entries.end()) {
    this->EvictIfFull(context);
    found = this->entries.emplace(key, Entry{}).first;
  } else {
    this->expiries.erase({found->second.expiry, key});
  }
  Entry& entry = found->second;
  entry.expiry = context.now + this->shared.options.quarantine.duration;
  this->expiries.emplace(entry.expiry, key);
  return entry;
}

void Quarantine::EvictIfFull(const Context& context) {
  if (this->entries.size() < this->shared.options.quarantine.capacity) {
    return;
  }
  auto victim = std::find_if(
      this->expiries.begin(), this->expiries.end(),
      [this](const auto& expiry) { return !this->entries.at(expiry.second).quarantined; });
  if (victim == this->expiries.end()) {
    victim = this->expiries.begin();
  }
  const Key key = victim->second;
  this->RemoveEntry(context, key);
}

void Quarantine::RemoveEntry(const Context& context, const Key& key) {
  const auto found = this->entries.find(key);
  if (found->second.quarantined) {
    context.effects.emplace_back(QuarantineChanged{key.first, key.second, false});
  }
  this->expiries.erase({found->second.expiry, key});
  this->entries.erase(found);
}

bool Quarantine::Clear(const Context& context, const Key& key) {
  const auto found = this->entries.find(key);
  if (found == this->entries.end() || found->second.confirmed) {
    return false;
  }
  ++this->shared.counters.suspects_cleared;
  this->RemoveEntry(context, key);
  return true;
}

void Quarantine::ReportCompleted(const Context& context, const std::string& service,
                                 std::uint64_t fingerprint) {
  this->completed.Record(fingerprint, context.now);
  if (this->entries.empty() || !this->Clear(context, Key{service, fingerprint})) {
    return;
  }
  this->Disseminate(context, service, CrashCleared{service, fingerprint}, true);
}

void Quarantine::OnCleared(const Context& context, const CrashCleared& cleared) {
  // Reports that arrive after this one must not quarantine the request again.
  this->completed.Record(cleared.fingerprint, context.now);
  if (this->Clear(context, Key{cleared.service, cleared.fingerprint})) {
    this->Disseminate(context, cleared.service, cleared, false);
  }
}

void Quarantine::Disseminate(const Context& context, const std::string& service,
                             const Message& message, bool is_origin) const {
  const std::size_t direct = this->shared.options.quarantine.direct_receivers;
  const membership::NodeId& self = context.members.Self().id;
  const membership::MemberList gates = context.members.ServiceMembers(service);
  std::size_t first = 0;
  std::size_t end = std::min(direct, gates->size());
  std::size_t step = 1;
  if (!is_origin) {
    const auto own = std::find_if(gates->begin(), gates->end(),
                                  [&self](const auto& member) { return member.id == self; });
    const auto index = static_cast<std::size_t>(own - gates->begin());
    if (index >= direct) {
      return;
    }
    first = direct + index;
    end = gates->size();
    step = direct;
  }
  for (std::size_t i = first; i < end; i += step) {
    if ((*gates)[i].id != self) {
      context.Send((*gates)[i].id, message);
    }
  }
  // The origin also relays to its own share if it is one of the direct receivers.
  if (is_origin && gates->size() > direct) {
    this->Disseminate(context, service, message, false);
  }
}

void Quarantine::Expire(const Context& context) {
  while (!this->expiries.empty() && this->expiries.begin()->first <= context.now) {
    const Key key = this->expiries.begin()->second;
    this->RemoveEntry(context, key);
  }
}

std::optional<utils::Timestamp> Quarantine::NextExpiry() const {
  if (this->expiries.empty()) {
    return std::nullopt;
  }
  return this->expiries.begin()->first;
}

}  // namespace amaranthlatch::calls::details
