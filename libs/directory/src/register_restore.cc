// Recovery from a register that came back from an older copy: what is listed again, and who is told
// that a record was lost (docs/design/recovery.md).

#include <set>
#include <utility>

#include "directory_impl.h"

namespace amaranthlatch::directory {

namespace {
using details::EraVerdict;
using membership::Member;

// Four messages within 7 s.
constexpr std::uint32_t kMaxTold = 4;
constexpr utils::Duration kToldInterval = utils::Seconds(1);
}  // namespace

EraVerdict Directory::Impl::ObserveEra(details::RegisterEra::Request request,
                                       const std::optional<Era>& stated) {
  const std::optional<Era> previous = this->era.Latest();
  const EraVerdict verdict = this->era.Observe(request, stated);
  if (verdict == EraVerdict::kRisen) {
    ++this->counters.era_rises;
    this->effects.emplace_back(RegisterEraRisen{*stated, *previous});
    this->own_entry.OnRegisterRestored();
    this->told.clear();
    for (details::StreamFollower& follower : this->followers) {
      follower.ListAgain(this->now);
    }
  }
  this->counters.answers_outdated += verdict == EraVerdict::kOutdated ? 1 : 0;
  return verdict;
}

void Directory::Impl::NoteStoredRecord(const Member& stored) {
  const Member* const known = this->members.Find(stored.id);
  if (known == nullptr || *known == stored || !this->IsReading()) {
    this->outdated_records.erase(stored.id);
    return;
  }
  this->outdated_records.insert_or_assign(stored.id, stored);
  this->told.erase(stored.id);
}

void Directory::Impl::FindMissingRecords(const std::vector<Member>& listed) {
  std::set<membership::NodeId> found;
  for (const Member& member : listed) {
    found.insert(member.id);
  }
  if (!found.contains(this->options.id)) {
    this->HandleOwnRecordMissing();
  }
  for (const Member& member : *this->members.ZoneMembers(this->options.zone)) {
    if (member.id != this->options.id && !found.contains(member.id)) {
      Member none;
      none.id = member.id;
      this->NoteStoredRecord(none);
    }
  }
}

void Directory::Impl::HandleOwnRecordMissing() {
  if (this->own_entry.OnRecordMissing()) {
    ++this->counters.own_records_lost;
    this->effects.emplace_back(OwnRecordLost{false});
    this->own_entry.SpreadWrite(this->random, this->now);
  }
}

void Directory::Impl::TellOwners() {
  for (const auto& [id, stored] : this->outdated_records) {
    // A process that took the register for complete may have chosen an incarnation that other nodes
    // take for outdated. It need not be a subscriber.
    if (stored.boot_id != this->members.Find(id)->boot_id || this->subscribers.Contains(id)) {
      this->TellOwnerIfDue(id);
    }
  }
  for (const membership::NodeId& id : this->subscribers.Ids()) {
    this->TellOwnerIfDue(id);
  }
}

void Directory::Impl::TellOwnerIfDue(const membership::NodeId& id) {
  const Member* const known = this->members.Find(id);
  const auto outdated = this->outdated_records.find(id);
  const bool is_outdated = outdated != this->outdated_records.end();
  const bool is_listed = !this->GetFollower(Stream::kMembers).IsListing();
  if (!this->IsReading() || known == nullptr || !is_listed ||
      (!is_outdated && this->counters.era_rises == 0)) {
    return;
  }
  Told& last = this->told[id];
  if (this->now < last.next || last.times == kMaxTold) {
    return;
  }
  last.next = this->now + kToldInterval * (1U << last.times);
  ++last.times;
  ++this->counters.owners_told;
  Update update;
  update.healthy = true;
  update.members.push_back(*known);
  if (is_outdated) {
    // Comes last, so that the owner takes it for what the register holds.
    update.members.push_back(outdated->second);
  }
  this->effects.emplace_back(SendToPeer{id, std::move(update)});
}

}  // namespace amaranthlatch::directory
