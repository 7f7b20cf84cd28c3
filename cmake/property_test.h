// Runs rapidcheck properties inside CppUTest with a fixed seed, so that every run is the same.

#pragma once

#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>

#include <cstdint>
#include <iostream>
#include <string>
#include <unordered_map>
#include <utility>

namespace amaranthlatch {

// True where the property holds for `runs` generated inputs; otherwise prints the smallest input
// found that breaks it.
template <typename Property>
bool HoldsProperty(std::uint64_t seed, int runs, Property&& property) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = runs;
  rc::detail::TestListenerAdapter silent;
  const auto result = rc::detail::checkTestable(
      std::forward<Property>(property), rc::detail::TestMetadata(), params, silent,
      std::unordered_map<std::string, rc::detail::Reproduce>());
  rc::detail::SuccessResult success;
  if (result.match(success)) {
    return true;
  }
  rc::detail::printResultMessage(result, std::cerr);
  return false;
}

}  // namespace amaranthlatch
