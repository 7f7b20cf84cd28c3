// Histograms and the text format.

#include "amaranthlatch/runtime/metrics.h"

#include <array>
#include <boost/histogram.hpp>
#include <charconv>
#include <cmath>
#include <vector>

namespace amaranthlatch::runtime {

namespace {

namespace histogram = boost::histogram;

using Axis = histogram::axis::variable<double>;
using Storage = histogram::dense_storage<std::uint64_t>;

constexpr std::string_view kPrefix = "amaranthlatch_";
constexpr double kMicrosecondsPerSecond = 1e6;

// Upper bounds of the buckets in microseconds; the first edge is the lower bound of all.
std::vector<double> Edges() {
  constexpr double kFirst = 10;
  constexpr double kLast = 60e6;
  std::vector<double> edges = {0};
  for (double decade = kFirst; decade < kLast; decade *= 10) {
    for (const double step : {1.0, 2.0, 5.0}) {
      edges.push_back(decade * step);
    }
  }
  edges.push_back(kLast);
  return edges;
}

std::string Number(double value) {
  constexpr std::size_t kLongestNumber = 32;
  std::array<char, kLongestNumber> buffer{};
  const auto result =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::fixed);
  return {buffer.data(), result.ptr};
}

std::string Sample(std::string_view name, std::string_view labels, const std::string& value) {
  std::string line(kPrefix);
  line.append(name);
  if (!labels.empty()) {
    line.append("{").append(labels).append("}");
  }
  return line.append(" ").append(value).append("\n");
}

}  // namespace

struct DurationHistogram::Buckets {
  decltype(histogram::make_histogram_with(Storage(), Axis(Edges()))) values =
      histogram::make_histogram_with(Storage(), Axis(Edges()));
};

DurationHistogram::DurationHistogram() : buckets(std::make_unique<Buckets>()) {}

DurationHistogram::~DurationHistogram() = default;

void DurationHistogram::Add(utils::Duration duration) {
  this->buckets->values(static_cast<double>(duration.count()));
  ++this->count;
  this->sum += duration;
}

utils::Duration DurationHistogram::Quantile(double quantile) const {
  const auto wanted =
      static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(this->count)));
  const Axis& axis = this->buckets->values.axis();
  std::uint64_t seen = 0;
  for (int i = 0; i < axis.size(); ++i) {
    seen += this->buckets->values.at(i);
    if (wanted > 0 && seen >= wanted) {
      return utils::Duration(static_cast<std::int64_t>(axis.bin(i).upper()));
    }
  }
  const auto last = static_cast<std::int64_t>(axis.bin(axis.size() - 1).upper());
  return this->count == 0 ? utils::Duration() : utils::Duration(last);
}

void MetricsText::Type(std::string_view name, std::string_view type) {
  if (this->last_name == name) {
    return;
  }
  this->last_name = name;
  this->text.append("# TYPE ").append(kPrefix).append(name).append(" ").append(type).append("\n");
}

void MetricsText::Counter(std::string_view name, std::uint64_t value, std::string_view labels) {
  this->Type(name, "counter");
  this->text.append(Sample(name, labels, std::to_string(value)));
}

void MetricsText::Gauge(std::string_view name, double value, std::string_view labels) {
  this->Type(name, "gauge");
  this->text.append(Sample(name, labels, Number(value)));
}

void MetricsText::Histogram(std::string_view name, const DurationHistogram& histogram) {
  this->Type(name, "histogram");
  const std::string bucket = std::string(name) + "_bucket";
  const auto& values = histogram.buckets->values;
  const Axis& axis = values.axis();
  std::uint64_t cumulative = 0;
  for (int i = 0; i < axis.size(); ++i) {
    cumulative += values.at(i);
    const std::string bound = Number(axis.bin(i).upper() / kMicrosecondsPerSecond);
    this->text.append(Sample(bucket, "le=\"" + bound + "\"", std::to_string(cumulative)));
  }
  this->text.append(Sample(bucket, "le=\"+Inf\"", std::to_string(histogram.count)));
  const double seconds = static_cast<double>(histogram.sum.count()) / kMicrosecondsPerSecond;
  this->text.append(Sample(std::string(name) + "_sum", {}, Number(seconds)));
  this->text.append(Sample(std::string(name) + "_count", {}, std::to_string(histogram.count)));
}

std::string LabelValue(std::string_view value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\\' || c == '"') {
      escaped.push_back('\\');
    }
    escaped.append(c == '\n' ? "\\n" : std::string(1, c));
  }
  return escaped;
}

}  // namespace amaranthlatch::runtime
