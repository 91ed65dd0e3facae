// pomelopond-report: service-level burn, merged from the routers of all entry hosts.
#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/program.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "metrics/latency_histogram.h"

namespace pomelopond::apps {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(5);
constexpr const char* kHistogramPrefix = "request_seconds{service=\"";

struct ServiceRow {
  metrics::HistogramCounts latency;
};

bool AddRouter(const Endpoint& router, std::map<std::string, ServiceRow>* rows) {
  http::HttpClient client(router);
  http::HttpRequest request;
  request.path = "/v1/metrics";
  const http::HttpResult result = client.Call(std::move(request), kTimeout);
  if (result.ec || result.response.status != 200) return false;
  const Result<Json> document = ParseJson(result.response.body);
  if (!document.ok() || !document.value.contains("histograms")) return false;
  for (const auto& it : document.value["histograms"].items()) {
    const std::string prefix = kHistogramPrefix;
    if (it.key().rfind(prefix, 0) != 0 || !it.value().is_array()) continue;
    const std::string service = it.key().substr(prefix.size(), it.key().size() - prefix.size() - 2);
    metrics::HistogramCounts counts;
    for (const Json& n : it.value()) counts.counts.push_back(n.is_number() ? n.get<int64_t>() : 0);
    ServiceRow& row = (*rows)[service];
    row.latency = metrics::Merge(row.latency, counts);
  }
  return true;
}

int Print(const std::map<std::string, ServiceRow>& rows) {
  std::printf("%-24s %10s %10s %10s %10s\n", "service", "requests", "p50 ms", "p99 ms", "p99.9 ms");
  for (const auto& [service, row] : rows) {
    std::printf("%-24s %10lld %10.2f %10.2f %10.2f\n", service.c_str(),
                static_cast<long long>(metrics::Total(row.latency)),
                metrics::Quantile(row.latency, 0.5) / 1000,
                metrics::Quantile(row.latency, 0.99) / 1000,
                metrics::Quantile(row.latency, 0.999) / 1000);
  }
  return kExitOk;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("pomelopond-report", "Service-level burn of all entry hosts");
  options.add_options()("settings", "settings file of an entry host", cxxopts::value<std::string>(),
                        "FILE")("version", "print the version and exit")(
      "help", "print this help and exit");
  try {
    const cxxopts::ParseResult args = options.parse(argc, argv);
    if (args.count("help") != 0) {
      std::cout << options.help();
      return kExitOk;
    }
    if (args.count("version") != 0) {
      std::cout << "pomelopond-report " << kVersion << "\n";
      return kExitOk;
    }
    if (args.count("settings") == 0) {
      std::cerr << "--settings FILE is required; see --help\n";
      return kExitUsage;
    }
    const Result<std::string> text = ReadFile(args["settings"].as<std::string>());
    const Result<Json> document = ParseJson(text.value);
    FieldErrors errors;
    const EntrySettings settings =
        ReadEntrySettings(document.ok() ? document.value : Json(), &errors);
    if (!errors.empty()) {
      std::cerr << ToString(errors);
      return kExitUsage;
    }
    http::InitThreads(2);
    std::map<std::string, ServiceRow> rows;
    for (const EntryHost& it : settings.entry_hosts) {
      if (AddRouter(it.router, &rows)) continue;
      std::cerr << "router of " << it.id << " did not answer; its requests are missing below\n";
    }
    return Print(rows);
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << e.what() << "\n";
    return kExitUsage;
  }
}

}  // namespace
}  // namespace pomelopond::apps

int main(int argc, char** argv) { return pomelopond::apps::Main(argc, argv); }
