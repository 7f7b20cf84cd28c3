// Policy measurements on simulated time. Each gives one JSON object a row.

#pragma once

#include <nlohmann/json.hpp>

namespace amaranthlatch::calls::benchmark {

// Goodput over offered load with all policies, and with each one switched off.
nlohmann::json MeasureGoodput();
// Attempts per call while every backend server is down, with and without the retry budget.
nlohmann::json MeasureOutage();
// Answers and longest wait of batch calls beside a full load of interactive ones.
nlohmann::json MeasureStarvation();
// What the adaptive limit costs where it is not needed: calls of unequal length.
nlohmann::json MeasureMixed();
// Deaths that one poisoned request causes when it is sent 40 times.
nlohmann::json MeasureCrashes();
// Spread of calls and latency with one slow server, for both balance policies.
nlohmann::json MeasureBalance();
// Real time of the reducer and the codec for each call.
nlohmann::json MeasureCosts();

}  // namespace amaranthlatch::calls::benchmark
