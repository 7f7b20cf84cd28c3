// Names of all metrics.

#include "amaranthlatch/runtime/node_metrics.h"

#include <array>
#include <map>
#include <string>
#include <string_view>

#include "amaranthlatch/runtime/log_line.h"
#include "observability/register_metrics.h"

namespace amaranthlatch::runtime {

namespace {

void AppendServices(MetricsText& text, const std::map<std::string, calls::ServiceCounters>& all) {
  constexpr std::array<std::string_view, calls::kPlaces> kPlaceNames = {"instance", "zone",
                                                                        "region", "elsewhere"};
  const auto append = [&](std::string_view name, const auto& values) {
    text.DeclareCounter(name);
    for (const auto& [service, counters] : all) {
      for (std::size_t i = 0; i < calls::kPlaces; ++i) {
        text.Counter(name, (counters.*values).at(i),
                     "service=\"" + LabelValue(service) + "\",place=\"" +
                         std::string(kPlaceNames.at(i)) + "\"");
      }
    }
  };
  append("calls_answered_at_total", &calls::ServiceCounters::answered);
  append("calls_answered_at_bytes_total", &calls::ServiceCounters::bytes);
  text.DeclareCounter("calls_refused_crossing_total");
  for (const auto& [service, counters] : all) {
    text.Counter("calls_refused_crossing_total", counters.refused_crossing,
                 "service=\"" + LabelValue(service) + "\"");
  }
}

void AppendCalls(MetricsText& text, const calls::Counters& calls, const calls::Gauges& gauges) {
  text.Counter("calls_total", calls.answered, R"(result="answered")");
  text.Counter("calls_total", calls.not_run, R"(result="not-run")");
  text.Counter("calls_total", calls.unknown, R"(result="unknown")");
  text.Counter("calls_received_total", calls.calls);
  text.Counter("call_attempts_total", calls.attempts);
  text.Counter("call_retries_total", calls.retries);
  text.Counter("call_moves_total", calls.moves);
  text.Counter("call_retries_over_budget_total", calls.retries_over_budget);
  text.Counter("call_redirects_total", calls.redirects);
  text.Counter("call_fences_total", calls.fences);
  text.Counter("call_fences_not_run_total", calls.fences_not_run);
  text.Counter("call_fences_unanswered_total", calls.fences_unanswered);
  text.Counter("call_replies_ignored_total", calls.ignored_replies);
  text.Counter("calls_cut_by_shutdown_total", calls.cut_by_shutdown);
  text.Counter("permits_asked_total", calls.permits_asked);
  text.Counter("gate_admitted_total", calls.admitted);
  text.Counter("gate_queued_total", calls.queued);
  text.Counter("gate_runs_total", calls.runs);
  text.Counter("gate_refused_total", calls.refused);
  text.Counter("gate_refused_link_busy_total", calls.refused_link_busy);
  text.Counter("gate_dropped_from_queue_total", calls.dropped_from_queue);
  text.Counter("gate_withdrawn_total", calls.withdrawn);
  text.Counter("gate_runs_cancelled_total", calls.cancelled_runs);
  text.Counter("gate_duplicates_total", calls.duplicates);
  text.Counter("gate_fenced_total", calls.fenced);
  text.Counter("gate_foreign_process_total", calls.foreign_process);
  text.Counter("gate_permits_issued_total", calls.permits_issued);
  text.Counter("gate_permit_answers_repeated_total", calls.permit_answers_repeated);
  text.Counter("gate_limit_decreases_total", calls.limit_decreases);
  text.Counter("backend_server_crashes_total", calls.backend_crashes);
  text.Counter("requests_quarantined_total", calls.quarantined);
  text.Counter("suspects_cleared_total", calls.suspects_cleared);
  text.Gauge("calls_open", gauges.open_calls);
  text.Gauge("gate_in_flight", gauges.in_flight);
  text.Gauge("gate_queue_length", gauges.queued);
  text.Gauge("gate_concurrency_limit", gauges.concurrency_limit);
  text.Gauge("suspects", gauges.suspects);
  AppendServices(text, calls.services);
}

void AppendMembership(MetricsText& text, const membership::Counters& membership) {
  text.Counter("probes_sent_total", membership.probes_sent);
  text.Counter("probes_failed_total", membership.probes_failed);
  text.Counter("probes_answered_total", membership.probes_answered);
  text.Counter("members_declared_dead_total", membership.members_declared_dead);
  text.Counter("refutations_total", membership.refutations);
  text.Counter("holds_total", membership.holds);
  text.Counter("member_records_changed_total", membership.records_changed);
  text.Counter("member_records_stale_total", membership.records_stale);
  text.Counter("zone_transfers_requested_total", membership.zone_transfers_requested);
  text.Counter("zone_transfers_sent_total", membership.zone_transfers_sent);
  text.Counter("pauses_total", membership.pauses);
}

void AppendDistribution(MetricsText& text, const distribution::Counters& distribution) {
  text.Counter("entries_applied_total", distribution.entries_applied);
  text.Counter("entries_in_force_total", distribution.entries_in_force);
  text.Counter("pushes_sent_total", distribution.pushes_sent);
  text.Counter("pushes_received_total", distribution.pushes_received);
  text.Counter("push_timeouts_total", distribution.push_timeouts);
  text.Counter("wholes_sent_total", distribution.full_entries_sent);
  text.Counter("differences_sent_total", distribution.patch_entries_sent);
  text.Counter("patch_mismatches_total", distribution.patch_mismatches);
  text.Counter("entry_gaps_total", distribution.entry_gaps);
  text.Counter("digests_sent_total", distribution.digests_sent);
  text.Counter("entry_repairs_total", distribution.entry_repairs);
  text.Counter("state_hash_mismatches_total", distribution.state_hash_mismatches);
  text.Counter("snapshots_installed_total", distribution.snapshots_installed);
  text.Counter("snapshots_rejected_total", distribution.snapshots_rejected);
  text.Counter("snapshots_deferred_total", distribution.snapshots_deferred);
  text.Counter("snapshots_written_total", distribution.snapshots_written);
  text.Counter("snapshots_read_total", distribution.snapshots_read);
  text.Counter("log_reads_total", distribution.log_reads);
  text.Counter("log_failures_total", distribution.log_failures);
  text.Counter("log_truncations_total", distribution.log_truncations);
  text.Counter("reader_takeovers_total", distribution.reader_takeovers);
}

void AppendQuota(MetricsText& text, const quota::Counters& quota, const quota::Gauges& gauges) {
  text.Counter("quota_calls_admitted_total", quota.calls_admitted);
  text.Counter("quota_calls_refused_total", quota.calls_refused);
  text.Counter("quota_calls_waited_total", quota.calls_waited);
  text.Counter("quota_calls_timed_out_total", quota.calls_timed_out);
  text.Counter("quota_requests_sent_total", quota.requests_sent);
  text.Counter("quota_transfer_requests_sent_total", quota.transfer_requests_sent);
  text.Counter("quota_grants_rejected_total", quota.grants_rejected);
  text.Counter("quota_credit_received_total", quota.credit_received);
  text.Counter("quota_credit_expired_total", quota.credit_expired);
  text.Counter("quota_holder_changes_total", quota.holder_changes);
  text.Gauge("quota_active_workspaces", static_cast<double>(gauges.active_workspaces));
  text.Gauge("quota_delegations", static_cast<double>(gauges.delegations));
  text.Gauge("quota_calls_waiting", static_cast<double>(gauges.calls_waiting));
}

void AppendRollout(MetricsText& text, const rollout::Counters& rollout,
                   const rollout::Gauges& gauges) {
  text.Gauge("rollout_active", gauges.active ? 1 : 0);
  text.Gauge("rollout_coordinator", gauges.coordinating ? 1 : 0);
  text.Gauge("rollout_phase", static_cast<double>(gauges.phase));
  text.Gauge("rollout_runs", static_cast<double>(gauges.started));
  text.Gauge("rollout_allowance", static_cast<double>(gauges.allowance));
  text.Counter("rollout_reports_sent_total", rollout.reports_sent);
  text.Counter("rollout_directives_sent_total", rollout.directives_sent);
  text.Counter("rollout_directives_stale_total", rollout.directives_stale);
  text.Counter("rollout_coordinators_lost_total", rollout.coordinators_lost);
  text.Counter("rollout_claims_total", rollout.claims);
  text.Counter("rollout_claims_lost_total", rollout.claims_lost);
  text.Counter("rollout_verdicts_total", rollout.verdicts);
  text.Counter("rollout_leases_expired_total", rollout.leases_expired);
  text.Counter("rollout_holds_total", rollout.holds);
}

void AppendTransport(MetricsText& text, const TransportCounters& transport,
                     const node::Envelope::Counters& envelope) {
  text.Counter("messages_sent_total", transport.messages_sent);
  text.Counter("messages_received_total", transport.messages_received);
  text.Counter("messages_not_sent_total", transport.messages_not_sent);
  text.Counter("messages_too_large_total", transport.messages_too_large);
  text.Counter("keep_alives_sent_total", transport.keep_alives_sent);
  text.Counter("keep_alive_bytes_sent_total", transport.keep_alive_bytes_sent);
  text.Counter("links_opened_total", transport.links_opened);
  text.Counter("links_lost_total", transport.links_lost);
  text.Counter("links_silent_total", transport.links_silent);
  text.Counter("links_evicted_total", transport.links_evicted);
  text.Counter("receive_pauses_total", transport.receive_pauses);
  text.Counter("bulk_messages_total", transport.bulk_messages);
  text.Counter("bulk_fragments_total", transport.bulk_fragments);
  text.Counter("bulk_messages_incomplete_total", transport.bulk_messages_incomplete);
  text.Counter("bulk_reassemblies_dropped_total", transport.reassemblies_dropped);
  text.Gauge("bulk_waiting_bytes", static_cast<double>(transport.bulk_waiting_bytes));
  text.Gauge("bulk_wait_ms", static_cast<double>(utils::ToMilliseconds(transport.bulk_wait)));
  text.Counter("messages_dropped_total", envelope.not_authentic, R"(reason="not-authentic")");
  text.Counter("messages_dropped_total", envelope.replayed, R"(reason="replayed")");
  text.Counter("messages_dropped_total", envelope.malformed, R"(reason="malformed")");
}

void AppendServer(MetricsText& text, const HttpServerCounters& server, const std::string& label) {
  text.Counter("http_requests_total", server.requests, label);
  text.Counter("http_connections_accepted_total", server.connections_accepted, label);
  text.Counter("http_connections_refused_total", server.connections_refused, label);
  text.Counter("http_bad_requests_total", server.bad_requests, label);
  text.Counter("http_callers_gone_total", server.callers_gone, label);
  text.Counter("http_timeouts_total", server.timeouts, label);
  text.Counter("http_requests_without_memory_total", server.requests_without_memory, label);
  text.Gauge("http_connections", static_cast<double>(server.connections), label);
}

void AppendDirectory(MetricsText& text, const directory::Counters& directory,
                     const directory::Gauges& gauges) {
  text.Gauge("register_reader", gauges.reading ? 1 : 0);
  text.Gauge("register_subscribers", static_cast<double>(gauges.subscribers));
  text.Counter("register_source_changes_total", directory.source_changes);
  text.Counter("register_updates_sent_total", directory.updates_sent);
  text.Counter("register_updates_received_total", directory.updates_received);
  text.Counter("register_updates_unusable_total", directory.updates_unusable);
  text.Counter("register_reads_total", directory.reads);
  text.Counter("register_reads_failed_total", directory.reads_failed);
  text.Counter("register_listings_total", directory.listings);
  text.Counter("register_era_rises_total", directory.era_rises);
  text.Counter("register_answers_outdated_total", directory.answers_outdated);
  text.Counter("register_own_records_lost_total", directory.own_records_lost);
  text.Counter("register_owners_told_total", directory.owners_told);
  text.Counter("register_writes_total", directory.writes);
  text.Counter("register_writes_failed_total", directory.writes_failed);
  text.Counter("register_reads_abandoned_total", directory.reads_abandoned);
  text.Counter("register_reads_overdue_total", directory.reads_overdue);
  text.Counter("register_configuration_requests_total", directory.configuration_requests);
  text.Counter("register_checks_total", directory.checks);
  text.Counter("register_notices_sent_total", directory.notices_sent);
  text.Counter("register_notices_received_total", directory.notices_received);
  text.Counter("configurations_in_force_total", directory.configurations_activated);
  text.Counter("configurations_stale_total", directory.configurations_stale);
  text.Counter("member_records_changed_total", directory.members_changed);
  text.Counter("member_records_stale_total", directory.members_stale);
}

void AppendLog(MetricsText& text) {
  const LogCounters losses = CountLogLosses();
  text.Counter("log_lines_dropped_total", losses.lines_dropped, R"(reason="unread")");
  text.Counter("log_writes_failed_total", losses.writes_failed);
}

}  // namespace

std::string details::ToPrometheus(const details::RegisterMetrics& metrics) {
  MetricsText text;
  text.Gauge("ready", metrics.ready ? 1 : 0);
  text.Gauge("configuration_version", static_cast<double>(metrics.version));
  if (metrics.configuration_confirmed_age) {
    text.Gauge("configuration_confirmed_age_seconds",
               std::chrono::duration<double>(*metrics.configuration_confirmed_age).count());
  }
  AppendDirectory(text, metrics.directory, metrics.directory_gauges);
  AppendQuota(text, metrics.quota, metrics.quota_gauges);
  AppendRollout(text, metrics.rollout, metrics.rollout_gauges);
  AppendCalls(text, metrics.calls, metrics.gauges);
  const node::AuthorizationCounters& authorizations = metrics.authorizations;
  text.Counter("call_authorizations_total", authorizations.on_public_route, R"(result="public")");
  text.Counter("call_authorizations_total", authorizations.known, R"(result="known")");
  text.Counter("call_authorizations_total", authorizations.unknown, R"(result="unknown")");
  AppendTransport(text, metrics.transport, metrics.envelope);
  AppendServer(text, metrics.data_server, R"(address="data")");
  const HttpClientCounters& answers = metrics.backend_client;
  text.Counter("backend_answers_total", answers.answers_with_length, R"(framing="length")");
  text.Counter("backend_answers_total", answers.answers_chunked, R"(framing="chunked")");
  text.Counter("backend_answers_total", answers.answers_until_connection_end,
               R"(framing="connection-end")");
  text.Counter("backend_answers_incomplete_total", answers.answers_incomplete);
  text.Counter("backend_answers_foreign_total", answers.answers_foreign);
  text.Counter("backend_answers_not_taken_total", metrics.bad_answers);
  text.Counter("announcements_refused_total", metrics.announcements_refused);
  text.Counter("withdrawals_overdue_total", metrics.withdrawals_overdue);
  text.Counter("log_lines_dropped_total", metrics.call_lines_dropped, R"(reason="rate")");
  AppendLog(text);
  text.Histogram("call_seconds", *metrics.call_times);
  text.Histogram("call_added_seconds", *metrics.added_times);
  text.Histogram("backend_run_seconds", *metrics.run_times);
  return text.Take();
}

std::string ToPrometheus(const NodeMetrics& metrics) {
  MetricsText text;
  text.Gauge("ready", metrics.ready ? 1 : 0);
  text.Gauge("offset_held", static_cast<double>(metrics.held));
  text.Gauge("offset_in_force", static_cast<double>(metrics.in_force));
  text.Counter("events_total", metrics.counters.node.events);
  text.Counter("effects_total", metrics.counters.node.effects);
  text.Counter("invariant_violations_total", metrics.counters.node.invariant_violations);
  text.Counter("timer_wakes_total", metrics.timer_wakes);
  text.Counter("seal_failures_total", metrics.seal_failures);
  AppendCalls(text, metrics.counters.calls, metrics.counters.gauges);
  AppendMembership(text, metrics.counters.membership);
  AppendDistribution(text, metrics.counters.distribution);
  AppendTransport(text, metrics.transport, metrics.envelope);
  metrics.traffic->AppendTo(text);
  AppendServer(text, metrics.data_server, R"(address="data")");
  AppendServer(text, metrics.admin_server, R"(address="admin")");
  AppendLog(text);
  text.Histogram("call_seconds", *metrics.call_times);
  text.Histogram("call_added_seconds", *metrics.added_times);
  text.Histogram("backend_run_seconds", *metrics.run_times);
  text.Histogram("reducer_event_seconds", *metrics.reducer_times);
  text.Histogram("convergence_seconds", *metrics.convergence_times);
  return text.Take();
}

}  // namespace amaranthlatch::runtime
