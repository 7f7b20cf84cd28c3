// A model of the link: lanes that drain in their order at the rate of the link.

#include "link_budget.h"

#include <algorithm>

namespace amaranthlatch::calls::details {

namespace {
constexpr double kBitsPerByte = 8.0;
constexpr double kMicrosecondsPerSecond = 1e6;
// Weight of a new sample in the mean answer size of a route.
constexpr double kAnswerSizeSmoothing = 0.1;
// Share of the link that bulk answers below class internal may use. A call that waits for a nested
// call holds a slot, so answers of class internal keep the rest.
constexpr double kLowerBulkShare = 0.85;
// The first lane of bulk answers below class internal.
constexpr std::size_t kFirstLowerLane = 2;

utils::Duration ToDuration(double time_us) {
  return utils::Duration(static_cast<utils::Duration::rep>(time_us));
}
}  // namespace

LinkBudget::LinkBudget(std::uint64_t bits_per_second)
    : bytes_per_us(static_cast<double>(bits_per_second) / kBitsPerByte / kMicrosecondsPerSecond),
      answer_bytes(kAnswerSizeSmoothing) {}

std::size_t LinkBudget::LaneOf(double bytes, document::Priority priority) {
  return bytes > static_cast<double>(kMaxSmallAnswerBytes) ? 1 + static_cast<std::size_t>(priority)
                                                           : 0;
}

double LinkBudget::RateOf(std::size_t lane) const {
  return lane >= kFirstLowerLane ? this->bytes_per_us * kLowerBulkShare : this->bytes_per_us;
}

double LinkBudget::UsualBytes(RouteKey route) const {
  return this->answer_bytes.Find(route).value_or(0.0);
}

void LinkBudget::RecordAnswerSize(RouteKey route, std::uint64_t bytes) {
  if (this->IsLimited()) {
    this->answer_bytes.Record(route, static_cast<double>(bytes));
  }
}

std::vector<LinkBudget::Expected>::iterator LinkBudget::FindExpected(RouteKey route,
                                                                     document::Priority priority) {
  return std::find_if(this->expected.begin(), this->expected.end(),
                      [route, priority](const Expected& entry) {
                        return entry.route == route && entry.priority == priority;
                      });
}

void LinkBudget::OnAdmitted(RouteKey route, document::Priority priority) {
  if (!this->IsLimited()) {
    return;
  }
  const auto found = this->FindExpected(route, priority);
  if (found != this->expected.end()) {
    ++found->calls;
  } else {
    this->expected.push_back(Expected{route, priority, 1});
  }
}

void LinkBudget::OnEnded(RouteKey route, document::Priority priority, std::uint64_t bytes,
                         utils::Timestamp now) {
  const auto found = this->FindExpected(route, priority);
  if (found != this->expected.end() && --found->calls == 0) {
    this->expected.erase(found);
  }
  if (this->IsLimited() && bytes > 0) {
    this->unsent = this->UnsentAt(now);
    this->unsent_at = now;
    const auto size = static_cast<double>(bytes);
    this->unsent.at(LaneOf(size, priority)) += size;
  }
}

LinkBudget::LaneBytes LinkBudget::UnsentAt(utils::Timestamp now) const {
  LaneBytes left = this->unsent;
  const auto passed = static_cast<double>((now - this->unsent_at).count());
  double moved = passed * this->bytes_per_us;
  double moved_lower = passed * this->bytes_per_us * kLowerBulkShare;
  for (std::size_t lane = 0; lane < kLanes; ++lane) {
    const bool is_lower = lane >= kFirstLowerLane;
    const double bytes = std::min(left.at(lane), is_lower ? std::min(moved, moved_lower) : moved);
    left.at(lane) -= bytes;
    moved -= bytes;
    moved_lower -= is_lower ? bytes : 0.0;
  }
  return left;
}

utils::Duration LinkBudget::WaitOfLane(std::size_t lane, utils::Timestamp now) const {
  if (!this->IsLimited()) {
    return {};
  }
  const LaneBytes left = this->UnsentAt(now);
  double bytes = 0.0;
  for (std::size_t i = 0; i <= lane; ++i) {
    bytes += left.at(i);
  }
  for (const Expected& entry : this->expected) {
    const double usual = this->UsualBytes(entry.route);
    bytes += LaneOf(usual, entry.priority) <= lane ? usual * entry.calls : 0.0;
  }
  return ToDuration(bytes / this->RateOf(lane));
}

utils::Duration LinkBudget::Wait(RouteKey route, document::Priority priority,
                                 utils::Timestamp now) const {
  return this->WaitOfLane(LaneOf(this->UsualBytes(route), priority), now);
}

utils::Duration LinkBudget::BulkWait(document::Priority priority, utils::Timestamp now) const {
  return this->WaitOfLane(1 + static_cast<std::size_t>(priority), now);
}

utils::Duration LinkBudget::TransferTime(RouteKey route, document::Priority priority) const {
  if (!this->IsLimited()) {
    return {};
  }
  const double bytes = this->UsualBytes(route);
  return ToDuration(bytes / this->RateOf(LaneOf(bytes, priority)));
}

}  // namespace amaranthlatch::calls::details
