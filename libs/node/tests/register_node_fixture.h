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

constexpr const char* kPeer = "10.0.0.2:1";

// A node in the zone "z2", in which its peer ranks first as the holder of credit.
inline RegisterNodeOptions MakeRegisterNodeOptions() {
  RegisterNodeOptions options;
  options.secret = "0123456789abcdef";
  options.directory.id = "10.0.0.1:1";
  options.directory.region = "north";
  options.directory.zone = "z2";
  options.directory.boot_id = 7;
  options.directory.share_reads = false;
  options.calls.gate.adaptive_concurrency_limit = false;
  return options;
}

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
  void AddPeer() {
    membership::Member peer;
    peer.id = kPeer;
    peer.region = "north";
    peer.zone = "z2";
    peer.service = "fleet";
    peer.slots = 20;
    peer.labels[membership::kVersionLabel] = "1";
    peer.incarnation = 1;
    peer.boot_id = 9;
    peer.state = membership::MemberState::kReady;
    this->HandleEvent(
        directory::StreamReadSucceeded{directory::Stream::kMembers, 1, nullptr, {peer}, {}});
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
