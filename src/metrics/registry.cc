#include "metrics/registry.h"

#include <cmath>
#include <set>

namespace pomelopond::metrics {
namespace {

constexpr const char* kPrefix = "pomelopond_";

std::string Escaped(const std::string& value) {
  std::string out;
  for (const char it : value) {
    if (it == '\\' || it == '"') out.push_back('\\');
    out.push_back(it == '\n' ? ' ' : it);
  }
  return out;
}

// Returns the metric name without its labels.
std::string Family(const std::string& name) { return name.substr(0, name.find('{')); }

// Returns the labels without the braces, or an empty string if there are none.
std::string Labels(const std::string& name) {
  const size_t brace = name.find('{');
  return brace == std::string::npos ? std::string()
                                    : name.substr(brace + 1, name.size() - brace - 2);
}

void AppendType(std::string* text, std::set<std::string>* seen, const std::string& name,
                const char* type) {
  if (!seen->insert(Family(name)).second) return;
  *text += "# TYPE " + (kPrefix + Family(name)) + " " + type + "\n";
}

void AppendHistogram(std::string* text, const std::string& name, const HistogramCounts& counts) {
  const std::string labels = Labels(name);
  const std::string family = kPrefix + Family(name);
  int64_t seen = 0;
  for (size_t n = 0; n < counts.counts.size(); ++n) {
    seen += counts.counts[n];
    const double bound = BucketBounds()[n];
    const std::string le = std::isinf(bound) ? "+Inf" : std::to_string(bound / 1e6);
    *text += family + "_bucket{" + (labels.empty() ? "" : labels + ",") + "le=\"" + le + "\"} " +
             std::to_string(seen) + "\n";
  }
  *text += family + "_count" + (labels.empty() ? "" : "{" + labels + "}") + " " +
           std::to_string(seen) + "\n";
}

}  // namespace

std::string Labelled(const std::string& name, const std::string& label, const std::string& value) {
  return name + "{" + label + "=\"" + Escaped(value) + "\"}";
}

void Registry::Count(const std::string& name, int64_t n) {
  const std::lock_guard<std::mutex> lock(mutex_);
  counters_[name] += n;
}

void Registry::Set(const std::string& name, int64_t value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  gauges_[name] = value;
}

void Registry::Observe(const std::string& name, Duration value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::unique_ptr<LatencyHistogram>& histogram = histograms_[name];
  if (!histogram) histogram = std::make_unique<LatencyHistogram>();
  histogram->Add(value);
}

std::string Registry::ExpositionText() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string text;
  std::set<std::string> seen;
  for (const auto& [name, value] : counters_) {
    AppendType(&text, &seen, name, "counter");
    text += kPrefix + name + " " + std::to_string(value) + "\n";
  }
  for (const auto& [name, value] : gauges_) {
    AppendType(&text, &seen, name, "gauge");
    text += kPrefix + name + " " + std::to_string(value) + "\n";
  }
  for (const auto& [name, histogram] : histograms_) {
    AppendType(&text, &seen, name, "histogram");
    AppendHistogram(&text, name, histogram->Counts());
  }
  return text;
}

Json Registry::Snapshot() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  Json histograms = Json::object();
  for (const auto& [name, histogram] : histograms_) histograms[name] = histogram->Counts().counts;
  return {{"counters", counters_}, {"gauges", gauges_}, {"histograms", histograms}};
}

}  // namespace pomelopond::metrics
