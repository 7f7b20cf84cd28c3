// Deaths by fingerprint and their reports between gates.

#include "quarantine.h"

#include <algorithm>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::calls::details {

namespace {
constexpr std::size_t kDeathsToQuarantine = 2;
}  // namespace

std::uint64_t FingerprintOf(const std::string& service, const HttpRequest& request) {
  std::uint64_t hash = utils::Hash64(service);
  hash = utils::Hash64(request.method, hash);
  hash = utils::Hash64(request.target, hash);
  return utils::Hash64(request.body, hash);
}

Suspicion Quarantine::Of(const std::string& service, std::uint64_t fingerprint) const {
  if (this->entries.empty()) {
    return Suspicion::kNone;
  }
  const auto found = this->entries.find(Key{service, fingerprint});
  if (found == this->entries.end()) {
    return Suspicion::kNone;
  }
  return found->second.deaths.size() >= kDeathsToQuarantine ? Suspicion::kQuarantined
                                                            : Suspicion::kSuspect;
}

membership::NodeId Quarantine::HomeOf(const Context& context, const std::string& service,
                                      std::uint64_t fingerprint) {
  const std::string key = std::to_string(fingerprint);
  membership::NodeId home;
  std::uint64_t best = 0;
  for (const membership::Member& member : *context.members.OfService(service)) {
    if (member.state != membership::MemberState::kReady) {
      continue;
    }
    const std::uint64_t weight = utils::RendezvousWeight(key, member.id);
    if (home.empty() || weight > best) {
      best = weight;
      home = member.id;
    }
  }
  return home;
}

void Quarantine::ReportCrash(const Context& context, const std::string& service,
                             std::vector<std::uint64_t> fingerprints) {
  std::sort(fingerprints.begin(), fingerprints.end());
  fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()), fingerprints.end());
  ++this->shared.counters.backend_crashes;
  ++this->crashes;
  if (fingerprints.empty()) {
    return;
  }
  const membership::Member& self = context.members.Self();
  const Death death{self.id, self.boot_id, this->crashes};
  for (const std::uint64_t fingerprint : fingerprints) {
    this->CountDeath(context, Key{service, fingerprint}, death);
  }
  CrashReport report{service, std::move(fingerprints), self.id, self.boot_id, this->crashes};
  this->Spread(context, service, report, true);
}

void Quarantine::OnReport(const Context& context, const CrashReport& report) {
  const Death death{report.gate, report.gate_boot_id, report.crash};
  bool counted = false;
  for (const std::uint64_t fingerprint : report.fingerprints) {
    counted = this->CountDeath(context, Key{report.service, fingerprint}, death) || counted;
  }
  // A repeated report is not passed on, so reports do not circle.
  if (counted) {
    this->Spread(context, report.service, report, false);
  }
}

bool Quarantine::CountDeath(const Context& context, const Key& key, const Death& death) {
  auto found = this->entries.find(key);
  if (found == this->entries.end()) {
    this->MakeRoom(context);
    found = this->entries.emplace(key, Entry{}).first;
  } else {
    Entry& known = found->second;
    if (known.deaths.size() >= kDeathsToQuarantine || known.deaths.contains(death)) {
      return false;
    }
    this->expiries.erase({known.expiry, key});
  }
  Entry& entry = found->second;
  entry.deaths.insert(death);
  entry.expiry = context.now + this->shared.options.quarantine.duration;
  this->expiries.emplace(entry.expiry, key);
  if (entry.deaths.size() == kDeathsToQuarantine) {
    ++this->shared.counters.quarantined;
    context.effects.emplace_back(QuarantineChanged{key.first, key.second, true});
  }
  return true;
}

void Quarantine::MakeRoom(const Context& context) {
  if (this->entries.size() < this->shared.options.quarantine.capacity) {
    return;
  }
  auto victim = std::find_if(this->expiries.begin(), this->expiries.end(), [this](const auto& e) {
    return this->entries.at(e.second).deaths.size() < kDeathsToQuarantine;
  });
  if (victim == this->expiries.end()) {
    victim = this->expiries.begin();
  }
  const Key key = victim->second;
  this->Forget(context, key);
}

void Quarantine::Forget(const Context& context, const Key& key) {
  const auto found = this->entries.find(key);
  if (found->second.deaths.size() >= kDeathsToQuarantine) {
    context.effects.emplace_back(QuarantineChanged{key.first, key.second, false});
  }
  this->expiries.erase({found->second.expiry, key});
  this->entries.erase(found);
}

bool Quarantine::Clear(const Context& context, const Key& key) {
  const auto found = this->entries.find(key);
  if (found == this->entries.end() || found->second.deaths.size() >= kDeathsToQuarantine) {
    return false;
  }
  ++this->shared.counters.suspects_cleared;
  this->Forget(context, key);
  return true;
}

void Quarantine::ReportCompleted(const Context& context, const std::string& service,
                                 std::uint64_t fingerprint) {
  if (this->entries.empty() || !this->Clear(context, Key{service, fingerprint})) {
    return;
  }
  this->Spread(context, service, CrashCleared{service, fingerprint}, true);
}

void Quarantine::OnCleared(const Context& context, const CrashCleared& cleared) {
  if (this->Clear(context, Key{cleared.service, cleared.fingerprint})) {
    this->Spread(context, cleared.service, cleared, false);
  }
}

void Quarantine::Spread(const Context& context, const std::string& service, const Message& message,
                        bool from_origin) const {
  const std::size_t direct = this->shared.options.quarantine.direct_receivers;
  const membership::NodeId& self = context.members.Self().id;
  const membership::MemberList gates = context.members.OfService(service);
  std::size_t first = 0;
  std::size_t end = std::min(direct, gates->size());
  std::size_t step = 1;
  if (!from_origin) {
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
  // The sender relays to its own share if it is one of the first.
  if (from_origin && gates->size() > direct) {
    this->Spread(context, service, message, false);
  }
}

void Quarantine::Expire(const Context& context) {
  while (!this->expiries.empty() && this->expiries.begin()->first <= context.now) {
    const Key key = this->expiries.begin()->second;
    this->Forget(context, key);
  }
}

std::optional<utils::Timestamp> Quarantine::NextExpiry() const {
  if (this->expiries.empty()) {
    return std::nullopt;
  }
  return this->expiries.begin()->first;
}

}  // namespace amaranthlatch::calls::details
