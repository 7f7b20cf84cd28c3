// The coordinator of one order: decides on its phases, grants allowances and finds the verdict.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/rollout/effect.h"
#include "amaranthlatch/rollout/message.h"
#include "amaranthlatch/rollout/options.h"
#include "evidence.h"
#include "exposure_budget.h"
#include "timing.h"

namespace amaranthlatch::rollout::details {

class Coordinator {
 public:
  // A claim that the register has stored.
  struct Claim {
    Order order;
    std::uint64_t term = 0;
    // Whether another process coordinated the order before.
    bool is_takeover = false;
    utils::Duration elapsed{};
    std::vector<std::string> replaced_versions;
    // Target of the last completed rollout, if known.
    std::string completed_target;
  };

  Coordinator(const Options& options, Claim claim, utils::Timestamp now);

  // Processes a report and answers it, unless this coordinator is superseded.
  void OnReport(const membership::NodeId& from, const Report& report, utils::Timestamp now,
                const membership::MemberView& members, std::vector<Effect>& out);
  // Handles what is due.
  void Poll(utils::Timestamp now, const membership::MemberView& members, std::vector<Effect>& out);
  // The register held the claim of this coordinator as the newest record at this time or later.
  void OnConfirmed(utils::Timestamp at) { this->confirmed_at = std::max(this->confirmed_at, at); }
  // The process was paused: another node may coordinate by now, and reports may have waited.
  void OnDelayed(utils::Timestamp now);
  // The register stores the elapsed time of a record written at this time.
  void OnRefreshed(utils::Timestamp at) {
    this->refresh_wanted = false;
    this->refreshed_at = at;
  }

  const Claim& GetClaim() const { return this->claim; }
  std::uint64_t Term() const { return this->claim.term; }
  // Whether another node is known to have claimed the order later.
  bool IsSuperseded() const { return this->superseded; }
  // Whether the register is to confirm the claim again: another node may have claimed meanwhile.
  bool NeedsConfirmation(utils::Timestamp now) const;
  // Whether the elapsed time must be stored: for the case that all nodes are lost, and to show
  // nodes that are cut off that this one coordinates.
  bool NeedsRefresh(utils::Timestamp now) const;
  // The verdict to write; none if there is none yet.
  const std::optional<State>& Verdict() const { return this->verdict; }
  StatusRecord MakeRecord(State state, utils::Timestamp now) const;
  Figures MakeFigures(utils::Timestamp now) const;
  // The participants that receive what is pushed.
  std::vector<membership::NodeId> FreshPeers(utils::Timestamp now) const;
  // The last report of each of them, which a verdict answers.
  const Report& LastReport(const membership::NodeId& id) const { return this->peers.at(id).report; }

  utils::Timestamp NextWake() const { return this->next_poll; }

 private:
  // The process of a participant that reported last.
  struct Peer {
    // Its last report, without routes.
    Report report;
    // The routes of its last report.
    std::map<std::string, RouteCounters, std::less<>> routes;
    utils::Timestamp heard{};
    // When it was last heard by a coordinator that had not been paused just before.
    utils::Timestamp confirmed{};
    utils::Timestamp cold_until{};
    bool is_new = false;
    // Whether it announces its server while exposure is limited.
    bool is_canary = false;
    std::uint64_t allowance = 0;
    // Of the last directive sent to it.
    std::uint64_t sequence = 0;
  };
  // What is known of all participants at one moment.
  struct Survey {
    // Servers of other versions that may serve, and the slots of those that report.
    std::size_t old_servers = 0;
    std::uint64_t old_slots = 0;
    // Slots of the servers of the new version that accept calls, and of those that are also ready
    // in the member records.
    std::uint64_t accepting_slots = 0;
    std::uint64_t ready_slots = 0;
    bool has_in_place = false;
    // Gates of other versions on which runs may be in progress, and those that do not report.
    std::size_t busy_gates = 0;
    std::size_t silent_gates = 0;
    // More than half of the participants have reported since then.
    utils::Timestamp majority_heard{};
  };

  void Learn(const Report& report, utils::Timestamp now);
  void Count(Peer& peer, const Report& report, bool is_same_process, utils::Timestamp now);
  Redirect MakeRedirect() const;
  void Answer(const membership::NodeId& to, Peer& peer, utils::Timestamp now,
              std::vector<Effect>& out);
  void PushAll(utils::Timestamp now, std::vector<Effect>& out);
  // Announces itself to members that do not report here: they may follow another coordinator, or be
  // one.
  void AnnounceToSilentMembers(utils::Timestamp now, const membership::MemberView& members,
                               std::vector<Effect>& out);

  Survey MakeSurvey(utils::Timestamp now, const membership::MemberView& members);
  bool IsReplaced(const std::string& version) const;
  // Age of the last report up to which a participant is expected to receive what is pushed.
  utils::Duration FreshAge() const;
  bool IsFresh(const Peer& peer, utils::Timestamp now) const {
    return now - peer.heard <= this->FreshAge();
  }
  bool IsConfirmed(utils::Timestamp now) const;
  // End of the leases that may be granted now.
  utils::Timestamp LeaseLimit() const;

  // Judges the evidence and changes the phase.
  void Evaluate(utils::Timestamp now, const membership::MemberView& members,
                std::vector<Effect>& out);
  // Phases by time, evidence and capacity.
  void Advance(const Survey& survey, utils::Timestamp now, std::vector<Effect>& out);
  void AdvanceRetire(const Survey& survey, double phase_fraction, utils::Timestamp now,
                     std::vector<Effect>& out);
  // Whether no other node is known to coordinate and nothing looks bad that more answers may show.
  bool MayAdvance(utils::Timestamp now) const;
  // Shortest length of the current phase as a fraction of the duration: `usual`, but at most one of
  // `phases_left` equal parts of the time left when it began.
  double MinPhaseLength(double usual, double phases_left) const;
  void EnterPhase(Phase next, Reason why, utils::Timestamp now, std::vector<Effect>& out);
  void Stop(Reason why, utils::Timestamp now, std::vector<Effect>& out);
  void SelectCanaries(utils::Timestamp now);

  double Fraction(utils::Timestamp now) const;
  std::size_t SliceAt(utils::Timestamp time) const;
  std::size_t RecentSlice(utils::Timestamp now) const;
  std::uint64_t Chunk(utils::Timestamp now) const;

  const Options& options;
  Claim claim;
  utils::Timestamp claimed_at{};
  ElapsedTime elapsed;
  Phase phase = Phase::kCanary;
  Reason reason = Reason::kClaimed;
  utils::Duration phase_elapsed{};
  std::optional<State> verdict;
  bool superseded = false;
  // Until when reports are collected before the first directive; none once it is over.
  std::optional<utils::Timestamp> collect_until = utils::Timestamp{};
  bool refresh_wanted = false;
  utils::Timestamp refreshed_at{};
  // Phase learned from reports, and whether one of them told of a stop.
  Phase learned_phase = Phase::kNone;
  bool learned_stop = false;

  std::map<membership::NodeId, Peer> peers;
  // Versions of gates that were replaced, for the verdict.
  std::set<std::string> old_versions;
  bool has_seen_new = false;
  ExposureBudget budget;
  Evidence evidence;
  utils::Duration slice_length{};
  bool has_surveyed = false;
  std::optional<Finding> finding;
  std::uint64_t sequence = 0;
  utils::Duration report_interval{};
  std::size_t old_servers = 0;
  std::size_t canaries = 0;

  // When the register last confirmed the claim, and when most participants were last heard.
  utils::Timestamp confirmed_at{};
  utils::Timestamp majority_heard{};
  // Reports received until then may have waited during a pause.
  utils::Timestamp deaf_until{};
  utils::Timestamp evaluated_at{};
  utils::Timestamp next_announcement{};
  // The last member it was sent to.
  membership::NodeId announced_to;
  utils::Timestamp next_poll{};
};

}  // namespace amaranthlatch::rollout::details
