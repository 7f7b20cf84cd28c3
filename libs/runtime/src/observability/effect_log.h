// Log lines for events and effects that change the state of a node.

#pragma once

#include <string_view>

#include "amaranthlatch/node/effect.h"
#include "amaranthlatch/node/event.h"
#include "amaranthlatch/node/register_node.h"

namespace amaranthlatch::runtime::details {

std::string_view EventName(const node::Event& event);

void LogEffect(const node::InvariantViolated& effect, const node::Event& cause);
void LogViolation(const node::InvariantViolated& effect, std::string_view cause);
void LogMember(const membership::Member& member);
void LogEffect(const membership::MemberChanged& effect);
void LogEffect(const membership::HoldChanged& effect);
void LogEffect(const distribution::VerdictInForce& effect);
void LogEffect(const distribution::ReadinessChanged& effect);
void LogEffect(const distribution::FoldStopped& effect);
void LogEffect(const calls::QuarantineChanged& effect);
void LogEffect(const directory::ConfigurationActivated& effect);
void LogEffect(const directory::RegisterReachabilityChanged& effect);
void LogEffect(const directory::ConfigurationOutdated& effect);
void LogEffect(const directory::RegisterEraRisen& effect);
void LogEffect(const directory::OwnRecordLost& effect);

}  // namespace amaranthlatch::runtime::details
