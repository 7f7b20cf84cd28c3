// Time, members and effect list of the event being handled; passed to all components.

#pragma once

#include <utility>
#include <vector>

#include "amaranthlatch/distribution/effect.h"
#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::distribution::details {

struct Context {
  utils::Timestamp now;
  const membership::MemberView& members;
  std::vector<Effect>& effects;

  void Send(const membership::NodeId& to, Message message) const {
    this->effects.emplace_back(SendMessage{to, std::move(message)});
  }
};

}  // namespace amaranthlatch::distribution::details
