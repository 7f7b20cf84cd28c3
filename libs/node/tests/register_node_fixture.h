// A node in register mode whose register, transport and backend server are played by the test.

#pragma once

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "amaranthlatch/node/register_node.h"

namespace amaranthlatch::node {

struct RegisterNodeFixture : Utest {
  std::unique_ptr<RegisterNode> node;
  utils::Timestamp now{utils::Seconds(50)};
  std::vector<RegisterEffect> effects;
  std::uint64_t last_call = 0;

  void HandleEvent(const RegisterEvent& event) {
    for (RegisterEffect& effect : this->node->Reduce(event, this->now)) {
      CHECK_FALSE(std::holds_alternative<InvariantViolated>(effect));
      this->effects.push_back(std::move(effect));
    }
  }
  void AdvanceTime(utils::Duration time) {
    const utils::Timestamp end = this->now + time;
    while (this->node->NextWake() && *this->node->NextWake() <= end) {
      this->now = std::max(this->now, *this->node->NextWake());
      this->HandleEvent(WakeUp{});
    }
    this->now = end;
  }
  template <typename T>
  std::vector<T> TakeEffects() {
    std::vector<T> found;
    std::erase_if(this->effects, [&found](const RegisterEffect& effect) {
      if (const T* value = std::get_if<T>(&effect)) {
        found.push_back(*value);
        return true;
      }
      return false;
    });
    return found;
  }
  // The messages sent of one kind.
  template <typename Module, typename T>
  std::vector<T> TakeSent() {
    std::vector<T> found;
    for (const SendMessage& sent : this->TakeEffects<SendMessage>()) {
      const auto* const message = std::get_if<Module>(&sent.message);
      if (message != nullptr && std::holds_alternative<T>(*message)) {
        found.push_back(std::get<T>(*message));
      }
    }
    return found;
  }
  std::optional<calls::Answer> Answer() {
    const auto answers = this->TakeEffects<calls::AnswerCaller>();
    return answers.empty() ? std::nullopt : std::optional(answers.back().answer);
  }
};

}  // namespace amaranthlatch::node
