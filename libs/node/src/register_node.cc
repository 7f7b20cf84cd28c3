// Creation of a node in register mode, and what is read from its reducers.

#include "amaranthlatch/node/register_node.h"

#include <utility>

#include "amaranthlatch/node/envelope.h"
#include "register_modules.h"

namespace amaranthlatch::node {

namespace {

using utils::Timestamp;

// Creates an optional reducer.
template <typename Reducer, typename Options>
utils::Result<std::optional<Reducer>> CreateIfSet(const std::optional<Options>& options) {
  if (!options) {
    return std::optional<Reducer>();
  }
  auto created = Reducer::Create(*options);
  if (!created) {
    return tl::unexpected(created.error());
  }
  return std::optional<Reducer>(*std::move(created));
}

}  // namespace

utils::Result<std::unique_ptr<RegisterNode>> RegisterNode::Create(
    const RegisterNodeOptions& options) {
  if (const auto usable = CheckSecret(options.secret); !usable) {
    return tl::unexpected(usable.error());
  }
  auto directory = directory::Directory::Create(options.directory);
  if (!directory) {
    return tl::unexpected(directory.error());
  }
  calls::Options calls_options = options.calls;
  calls_options.permit_key = DeriveKey(options.secret, KeyPurpose::kPermit);
  auto calls = calls::Calls::Create(
      calls_options, std::make_unique<calls::ExpectedTimePolicy>(
                         calls::ExpectedTimePolicy::CostsOf(calls_options.crossing)));
  if (!calls) {
    return tl::unexpected(calls.error());
  }
  auto rollout = CreateIfSet<rollout::Rollout>(options.rollout);
  if (!rollout) {
    return tl::unexpected(rollout.error());
  }
  auto quota = CreateIfSet<quota::Quota>(options.quota);
  if (!quota) {
    return tl::unexpected(quota.error());
  }
  return std::unique_ptr<RegisterNode>(new RegisterNode(std::make_unique<details::RegisterModules>(
      details::DrainTimes{options.drain_grace_period, options.shutdown_time}, *std::move(directory),
      *std::move(calls), *std::move(rollout), *std::move(quota))));
}

RegisterNode::RegisterNode(std::unique_ptr<details::RegisterModules> modules)
    : modules(std::move(modules)) {}
RegisterNode::~RegisterNode() = default;

std::vector<RegisterEffect> RegisterNode::Reduce(const RegisterEvent& event, Timestamp now) {
  return this->modules->Reduce(event, now);
}

std::optional<Timestamp> RegisterNode::NextWake() const { return this->modules->NextWake(); }

bool RegisterNode::Ready() const { return this->modules->Ready(); }

directory::MeshConfiguration::Pointer RegisterNode::Configuration() const {
  return this->modules->GetDirectory().Configuration();
}

directory::ConfigurationStatus RegisterNode::ConfigurationStatus() const {
  return this->modules->GetDirectory().GetConfigurationStatus();
}

const membership::MemberView& RegisterNode::Members() const {
  return this->modules->GetDirectory().Members();
}

const directory::Counters& RegisterNode::DirectoryCounters() const {
  return this->modules->GetDirectory().GetCounters();
}

directory::Gauges RegisterNode::DirectoryGauges() const {
  return this->modules->GetDirectory().GetGauges();
}

const calls::Counters& RegisterNode::CallCounters() const {
  return this->modules->GetCalls().GetCounters();
}

calls::Gauges RegisterNode::CallGauges() const { return this->modules->GetCalls().GetGauges(); }

rollout::Counters RegisterNode::RolloutCounters() const {
  const rollout::Rollout* const rollout = this->modules->Participant().GetRollout();
  return rollout == nullptr ? rollout::Counters{} : rollout->GetCounters();
}

quota::Counters RegisterNode::QuotaCounters() const {
  const quota::Quota* const quota = this->modules->Admission().GetQuota();
  return quota == nullptr ? quota::Counters{} : quota->GetCounters();
}

quota::Gauges RegisterNode::QuotaGauges() const {
  const quota::Quota* const quota = this->modules->Admission().GetQuota();
  return quota == nullptr ? quota::Gauges{} : quota->GetGauges();
}

rollout::Gauges RegisterNode::RolloutGauges() const {
  const rollout::Rollout* const rollout = this->modules->Participant().GetRollout();
  return rollout == nullptr ? rollout::Gauges{} : rollout->GetGauges();
}

const AuthorizationCounters& RegisterNode::AuthorizationCounters() const {
  return this->modules->Admission().Authorizations();
}

}  // namespace amaranthlatch::node
