// The service-level burn report: merging what processes say, and its three forms.
#ifndef POMELOPOND_APPS_REPORT_BURN_REPORT_H_
#define POMELOPOND_APPS_REPORT_BURN_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/json.h"
#include "metrics/burn.h"
#include "metrics/latency_histogram.h"

namespace pomelopond::apps {

struct ServiceRow {
  double objective_ms = 0;
  double objective_ratio = 0;
  metrics::BurnCounts short_window;
  metrics::BurnCounts long_window;
  metrics::HistogramCounts latency;
};

struct BurnReport {
  std::map<std::string, ServiceRow> services;
  std::map<std::string, int64_t> task_counters;  // of the schedulers, such as evictions
  std::vector<std::string> missing;              // processes that did not answer
};

// Adds the answer of a router's or a scheduler's GET /v1/metrics.
void AddRouter(const Json& metrics, BurnReport* report);
void AddScheduler(const Json& metrics, BurnReport* report);

std::string ToText(const BurnReport& report);
Json ToJson(const BurnReport& report);

// One self-contained page with a plot of each service's latency. `title` is shown at its top.
std::string ToHtml(const BurnReport& report, const std::string& title);

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_REPORT_BURN_REPORT_H_
