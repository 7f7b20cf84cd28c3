// Texts of the log lines of rollouts.

#include "observability/rollout_log.h"

#include "amaranthlatch/runtime/log_line.h"

namespace amaranthlatch::runtime::details {

namespace {

std::uint64_t Milliseconds(utils::Duration time) {
  return static_cast<std::uint64_t>(utils::ToMilliseconds(time));
}

void AddFigures(LogLine& line, const rollout::Figures& figures) {
  line.Add("service", figures.service)
      .Add("order", figures.order)
      .Add("version", figures.target_version)
      .Add("term", figures.term)
      .Add("phase", rollout::ToString(figures.phase))
      .Add("reason", rollout::ToString(figures.reason))
      .Add("elapsed_ms", Milliseconds(figures.elapsed))
      .Add("route", figures.route)
      .Add("answers", figures.answers)
      .Add("failures", figures.failures)
      .Add("old_answers", figures.old_answers)
      .Add("old_failures", figures.old_failures)
      .Add("median_ms", Milliseconds(figures.median))
      .Add("old_median_ms", Milliseconds(figures.old_median))
      .Add("exposure", figures.exposure)
      .Add("total", figures.total);
}

}  // namespace

void LogEffect(const directory::RolloutOrdersChanged& effect) {
  for (const directory::RolloutOrder& order : effect.orders) {
    LogLine("rollout-order")
        .Add("service", order.service)
        .Add("order", order.position)
        .Add("version", order.target_version)
        .Add("duration_ms", Milliseconds(order.duration))
        .Info();
  }
}

void LogEffect(const rollout::StageChanged& effect) {
  LogLine line("rollout-phase");
  AddFigures(line, effect.figures);
  line.Info();
}

void LogEffect(const rollout::VerdictReached& effect) {
  LogLine line("rollout-verdict");
  line.Add("state", rollout::ToString(effect.state))
      .Add("decided_here", effect.decided_here ? "true" : "false");
  AddFigures(line, effect.figures);
  line.Info();
}

void LogEffect(const rollout::AdmissionChanged& effect) {
  LogLine("rollout-admission")
      .Add("announce", effect.announce ? "true" : "false")
      .Add("accept", effect.accept ? "true" : "false")
      .Info();
}

}  // namespace amaranthlatch::runtime::details
