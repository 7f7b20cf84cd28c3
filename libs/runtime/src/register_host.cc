// Events in, effects out, in register mode.

#include "amaranthlatch/runtime/register_host.h"

#include <sodium.h>

#include <asio/post.hpp>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include "amaranthlatch/node/register_node.h"
#include "amaranthlatch/runtime/curl_http_client.h"
#include "amaranthlatch/runtime/log_line.h"
#include "dialect_gateway.h"
#include "host_timers.h"
#include "observability/effect_log.h"
#include "observability/quota_log.h"
#include "observability/register_metrics.h"
#include "observability/rollout_log.h"
#include "random_number.h"
#include "register_servers.h"
#include "server_announcements.h"
#include "settings/memory_plan.h"
#include "settings/register_options.h"
#include "transport/peer_messenger.h"

namespace amaranthlatch::runtime {

namespace {

// Two reads and a write are under way at once; the rest is for connections that went silent.
constexpr std::size_t kMaxRegisterConnections = 6;
// A backend server may think for as long as its request's deadline allows: only the network shows
// that a connection is silent, by bytes that nobody acknowledges.
constexpr utils::Duration kNoSilenceLimit = utils::Duration(0);
// The backend server is on the same instance and acknowledges at once.
constexpr utils::Duration kBackendAcknowledgeLimit = utils::Milliseconds(700);
// The register may be in another region, behind a link that loses packets.
constexpr utils::Duration kRegisterAcknowledgeLimit = utils::Milliseconds(2000);
constexpr utils::Duration kConnectLimit = utils::Milliseconds(500);

}  // namespace

class RegisterHost::Impl final : public NodeGate, public details::ConfigurationView {
 public:
  Impl(asio::io_context& context, const RegisterSettings& settings, Adapter& adapter,
       std::function<void(StopReason)> on_stopped)
      : context(context),
        settings(settings),
        adapter(adapter),
        timers(
            context, this->clock, [this] { this->Apply(node::WakeUp{}); }, std::move(on_stopped)),
        gateway(
            this->clock, adapter.Callers(), *this,
            [this](const calls::CallReceived& call) { this->Apply(call); },
            [this](const calls::CallerGone& gone) { this->Apply(gone); }),
        announcements(settings, this->clock,
                      [this](const auto& withdrawn) { this->Apply(withdrawn); }),
        servers(
            [this](const auto& request, auto respond) {
              this->adapter.Control(*this, request, std::move(respond));
            },
            [this](const auto& request, const auto& respond) { respond(this->Admin(request)); }) {}

  utils::Result<void> Open() {
    if (sodium_init() < 0) {
      return utils::Fail(utils::ErrorCode::kSettingsOutOfRange, "libsodium does not initialise");
    }
    this->boot_id = details::RandomNumber();
    auto created = node::RegisterNode::Create(
        details::MakeRegisterNodeOptions(this->settings, details::RandomNumber(), this->boot_id));
    if (!created) {
      return tl::unexpected(created.error());
    }
    this->node = std::move(*created);
    if (auto opened = this->OpenClients(); !opened) {
      return opened;
    }
    auto opened = details::PeerMessenger::Create(
        this->context, this->settings, this->memory, this->boot_id,
        [this](const node::RegisterEvent& event) { this->Apply(event); },
        [this] { return this->timers.Stopped(); });
    if (!opened) {
      return tl::unexpected(opened.error());
    }
    this->messenger = std::move(*opened);
    return this->servers.Open(this->context, this->settings, this->memory, this->gateway,
                              [this](std::size_t bytes) { this->messenger->ChargeLink(bytes); });
  }

  void Start() {
    LogLine("started")
        .Add("id", this->settings.node_address)
        .Add("boot", this->boot_id)
        .Add("region", this->settings.region)
        .Add("zone", this->settings.zone)
        .Add("service", this->settings.backend_service)
        .Info();
    this->Apply(node::WakeUp{});
  }

  void BeginDrain() {
    if (this->draining || this->timers.Stopped()) {
      return;
    }
    this->draining = true;
    this->timers.StopAfter(this->settings.shutdown_limit - details::kExitTime,
                           StopReason::kDrainTimedOut);
    LogLine("drain-started").Add("open_calls", this->gateway.OpenCalls()).Info();
    this->servers.Data().AskToClose();
    this->Apply(node::DrainRequested{});
  }

  directory::ConfigurationStatus Status() const override {
    return this->node->ConfigurationStatus();
  }

  bool HasHost(std::string_view host) const override {
    const auto configuration = this->node->Configuration();
    return configuration != nullptr && configuration->HasHost(host);
  }

  bool Ready() const override { return this->node->Ready() && !this->timers.Stopped(); }

  void Announce(Announcement announcement, Acknowledge acknowledge) override {
    this->announcements.Announce(std::move(announcement), std::move(acknowledge));
    this->ScheduleWake();
  }

  void Leave(std::string_view process, Acknowledge acknowledge) override {
    this->announcements.Leave(process, std::move(acknowledge));
    this->ScheduleWake();
  }

 private:
  utils::Result<void> OpenClients() {
    CurlHttpClientOptions options;
    options.connect_limit = kConnectLimit;
    options.acknowledge_limit = kBackendAcknowledgeLimit;
    options.max_buffered_bytes = this->memory.answer_bytes;
    auto backend = CurlHttpClient::Create(this->context, options);
    options.max_connections = kMaxRegisterConnections;
    options.acknowledge_limit = kRegisterAcknowledgeLimit;
    options.max_buffered_bytes = this->memory.register_bytes;
    auto for_register = CurlHttpClient::Create(this->context, options);
    if (!backend || !for_register) {
      return tl::unexpected(backend ? for_register.error() : backend.error());
    }
    this->backend_client = std::move(*backend);
    this->register_http_client = std::move(*for_register);
    this->backend_server = std::make_unique<BackendServerLink>(
        this->context, this->clock, *this->backend_client, this->adapter.BackendServers(),
        kNoSilenceLimit, [this](const node::Event& event) { this->OnBackendEvent(event); });
    this->announcements.SetLink(*this->backend_server);
    this->register_client = this->adapter.MakeRegisterClient(
        *this->register_http_client, details::MakeServiceDefaults(this->settings),
        [this](const directory::Event& event) {
          std::visit([this](const auto& inner) { this->ApplyDirectory(inner); }, event);
        });
    return {};
  }

  calls::HttpResponse Admin(const calls::HttpRequest& request) const {
    if (request.method != "GET" || request.target != "/metrics") {
      return {404, {}, "no such path here\n"};
    }
    details::RegisterMetrics metrics;
    metrics.directory = this->node->DirectoryCounters();
    metrics.directory_gauges = this->node->DirectoryGauges();
    metrics.calls = this->node->CallCounters();
    metrics.gauges = this->node->CallGauges();
    metrics.rollout = this->node->RolloutCounters();
    metrics.rollout_gauges = this->node->RolloutGauges();
    metrics.quota = this->node->QuotaCounters();
    metrics.quota_gauges = this->node->QuotaGauges();
    metrics.authorizations = this->node->AuthorizationCounters();
    metrics.envelope = this->messenger->EnvelopeCounters();
    metrics.transport = this->messenger->LinkCounters();
    metrics.data_server = this->servers.Data().Counters();
    metrics.call_times = &this->gateway.CallTimes();
    metrics.added_times = &this->gateway.AddedTimes();
    metrics.run_times = &this->backend_server->RunTimes();
    metrics.ready = this->Ready();
    const directory::ConfigurationStatus status = this->Status();
    metrics.version = status.version;
    if (status.confirmed_at) {
      metrics.configuration_confirmed_age = this->clock.Now() - *status.confirmed_at;
    }
    metrics.backend_client = this->backend_client->Counters();
    metrics.bad_answers = this->backend_server->BadAnswers();
    metrics.announcements_refused = this->announcements.Refused();
    metrics.withdrawals_overdue = this->announcements.Overdue();
    metrics.call_lines_dropped =
        this->gateway.LinesDropped() + this->backend_server->LinesDropped();
    return {200, {{"content-type", "text/plain; version=0.0.4"}}, details::ToPrometheus(metrics)};
  }

  // Events of the link that concern register mode; the link reports no others.
  void OnBackendEvent(const node::Event& event) {
    if (const auto* announced = std::get_if<node::BackendServerAnnounced>(&event)) {
      this->Apply(directory::BackendServerReady{announced->service, announced->labels,
                                                announced->slots,
                                                this->announcements.ColdTimeLeft()});
    } else if (std::holds_alternative<node::BackendServerLost>(event)) {
      LogLine("backend-server-lost").Warn();
      this->Apply(directory::BackendServerUnavailable{});
    } else if (const auto* answered = std::get_if<calls::BackendServerAnswered>(&event)) {
      this->Apply(*answered);
    } else if (const auto* failed = std::get_if<calls::BackendServerFailed>(&event)) {
      this->Apply(*failed);
    }
  }

  template <typename T>
  void ApplyDirectory(const T& event) {
    if constexpr (std::is_constructible_v<node::RegisterEvent, const T&>) {
      this->Apply(event);
    }
  }

  void ApplyRollout(const rollout::Event& event) {
    std::visit([this](const auto& inner) { this->ApplyDirectory(inner); }, event);
  }

  // The one place where the reducer is called.
  void Apply(const node::RegisterEvent& event) {
    if (this->timers.Stopped()) {
      return;
    }
    for (node::RegisterEffect& effect : this->node->Reduce(event, this->clock.Now())) {
      std::visit([this](auto& inner) { this->Perform(inner); }, effect);
    }
    this->announcements.RefuseOverdue();
    this->ScheduleWake();
  }

  void ScheduleWake() {
    std::optional<utils::Timestamp> next = this->node->NextWake();
    const std::optional<utils::Timestamp> overdue = this->announcements.NextOverdue();
    if (overdue && (!next || *overdue < *next)) {
      next = overdue;
    }
    this->timers.ScheduleWake(next);
  }

  void Perform(node::SendMessage& effect) { this->messenger->Send(std::move(effect)); }

  void Perform(const node::InvariantViolated& effect) {
    details::LogViolation(effect, "register-mode");
    this->timers.Stop(StopReason::kInvariantViolated);
  }

  void Perform(const node::CallerIntakeClosed& /*effect*/) {
    LogLine("entry-closed").Add("open_calls", this->gateway.OpenCalls()).Info();
    this->servers.Data().BeginShutdown();
  }

  void Perform(const directory::ReadStream& effect) { this->register_client->Read(effect); }
  void Perform(const directory::WriteMember& effect) { this->register_client->Write(effect); }

  void Perform(const directory::ConfigurationActivated& effect) { details::LogEffect(effect); }

  void Perform(const directory::MemberChanged& effect) { details::LogMember(effect.member); }

  void Perform(const directory::RegisterReachabilityChanged& effect) { details::LogEffect(effect); }

  void Perform(const directory::ReadSourceChanged& effect) {
    LogLine("register-reader")
        .Add("reader", effect.reader.empty() ? this->settings.node_address : effect.reader)
        .Add("self", effect.reader.empty() ? "true" : "false")
        .Info();
  }

  void Perform(const directory::ConfigurationOutdated& effect) { details::LogEffect(effect); }

  void Perform(const directory::RolloutOrdersChanged& effect) { details::LogEffect(effect); }
  void Perform(const rollout::StageChanged& effect) { details::LogEffect(effect); }
  void Perform(const rollout::VerdictReached& effect) { details::LogEffect(effect); }
  void Perform(const rollout::AdmissionChanged& effect) { details::LogEffect(effect); }
  void Perform(const quota::LimitStateChanged& effect) { details::LogEffect(effect); }

  void Perform(const rollout::ReadStatus& effect) {
    this->register_client->ReadStatus(effect,
                                      [this](const auto& event) { this->ApplyRollout(event); });
  }

  void Perform(const rollout::WriteStatus& effect) {
    this->register_client->WriteStatus(effect,
                                       [this](const auto& event) { this->ApplyRollout(event); });
  }

  void Perform(const directory::EarlierWithdrawalFound& effect) {
    if (this->announcements.Restore(effect.withdrawal)) {
      // Posted, because the effects of the current event are still being performed.
      asio::post(this->context, [this] { this->Apply(directory::BackendServerUnavailable{}); });
    }
  }

  void Perform(const directory::StoredWithdrawalChanged& effect) {
    this->announcements.OnStored(effect.withdrawal);
  }

  void Perform(const directory::RegisterEraRisen& effect) { details::LogEffect(effect); }
  void Perform(const directory::OwnRecordLost& effect) { details::LogEffect(effect); }

  void Perform(calls::AnswerCaller& effect) { this->gateway.Answer(std::move(effect)); }
  void Perform(const calls::RunOnBackendServer& effect) { this->backend_server->Run(effect); }
  void Perform(const calls::CancelOnBackendServer& effect) {
    this->backend_server->Cancel(effect.run);
  }

  void Perform(const calls::DrainFinished& /*effect*/) {
    LogLine("drain-finished").Info();
    this->timers.StopAfter(details::kFlushTime, StopReason::kDrained);
  }

  void Perform(const calls::QuarantineChanged& effect) { details::LogEffect(effect); }

  asio::io_context& context;
  const RegisterSettings settings;
  const details::MemoryPlan memory = details::PlanMemory(this->settings);
  Adapter& adapter;
  const utils::SteadyClock clock;
  details::HostTimers timers;
  std::unique_ptr<node::RegisterNode> node;
  details::DialectGateway gateway;
  details::ServerAnnouncements announcements;
  std::unique_ptr<CurlHttpClient> backend_client;
  std::unique_ptr<CurlHttpClient> register_http_client;
  std::unique_ptr<BackendServerLink> backend_server;
  std::unique_ptr<RegisterClient> register_client;
  details::RegisterServers servers;
  std::unique_ptr<details::PeerMessenger> messenger;
  // Random number of this process.
  std::uint64_t boot_id = 0;
  bool draining = false;
};

utils::Result<std::unique_ptr<RegisterHost>> RegisterHost::Create(
    asio::io_context& context, const RegisterSettings& settings, Adapter& adapter,
    std::function<void(StopReason)> stopped) {
  auto impl = std::make_unique<Impl>(context, settings, adapter, std::move(stopped));
  if (auto opened = impl->Open(); !opened) {
    return tl::unexpected(opened.error());
  }
  return std::unique_ptr<RegisterHost>(new RegisterHost(std::move(impl)));
}

RegisterHost::RegisterHost(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}

RegisterHost::~RegisterHost() = default;

void RegisterHost::Start() { this->impl->Start(); }

void RegisterHost::BeginDrain() { this->impl->BeginDrain(); }

}  // namespace amaranthlatch::runtime
