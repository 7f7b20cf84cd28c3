// Metrics in the Prometheus text format.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime {

// Durations in buckets from 10 us to 60 s in steps of 1, 2 and 5, on Boost.Histogram.
class DurationHistogram {
 public:
  DurationHistogram();
  ~DurationHistogram();

  void Add(utils::Duration duration);

  std::uint64_t Count() const { return this->count; }

  // Upper bound of the bucket that holds the quantile (0..1); zero without values.
  utils::Duration Quantile(double quantile) const;

 private:
  friend class MetricsText;
  struct Buckets;

  std::unique_ptr<Buckets> buckets;
  std::uint64_t count = 0;
  utils::Duration sum{};
};

// Builds one page. Names get the prefix "amaranthlatch_"; labels are given as `a="b",c="d"`.
class MetricsText {
 public:
  // Names a counter whose samples appear later.
  void DeclareCounter(std::string_view name) { this->Type(name, "counter"); }
  void Counter(std::string_view name, std::uint64_t value, std::string_view labels = {});
  void Gauge(std::string_view name, double value, std::string_view labels = {});
  void Histogram(std::string_view name, const DurationHistogram& histogram);

  std::string Take() { return std::move(this->text); }

 private:
  // The type line is written once for consecutive samples of one name.
  void Type(std::string_view name, std::string_view type);

  std::string text;
  std::string last_name;
};

// Escapes a label's value.
std::string LabelValue(std::string_view value);

}  // namespace amaranthlatch::runtime
