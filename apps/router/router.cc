#include "apps/router/router.h"

#include "apps/router/forwarding.h"
#include "base/log.h"
#include "base/random_id.h"
#include "routing/ejection.h"

namespace pomelopond::apps {
namespace {

std::vector<std::string> HostIds(const EntrySettings& settings) {
  std::vector<std::string> ids;
  for (const EntryHost& it : settings.entry_hosts) ids.push_back(it.id);
  return ids;
}

// Returns the ranks by team that the policy in force assigns. A caller has the rank of the team of
// the same name.
std::map<std::string, int64_t> RanksOf(const release::Release& release) {
  const std::string prefix = "team-rank.";
  std::map<std::string, int64_t> ranks;
  for (const auto& [subject, value] : release.resolved) {
    if (subject.rfind(prefix, 0) != 0 || !value.is_object()) continue;
    const auto rank = value.find("rank");
    if (rank == value.end() || !rank->is_number_integer()) continue;
    ranks[subject.substr(prefix.size())] = rank->get<int64_t>();
  }
  return ranks;
}

}  // namespace

Router::Router(const EntrySettings& settings, uint64_t incarnation)
    : settings_(settings), local_host_(LocalEntryHost(settings)), random_(incarnation) {
  tokens_.host = local_host_.id;
  tokens_.incarnation = incarnation;
  tokens_.secret = RandomId() + RandomId();
}

void Router::UpdateRelease(const release::Release& release) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (release.version <= release_version_) return;
  release_version_ = release.version;
  services_ = release::ServicesOf(release);
  FieldErrors errors;
  const auto limits = release.sections.find("limits");
  limits_ = limits == release.sections.end() ? routing::CallerLimits{}
                                             : routing::ReadCallerLimits(limits->second, &errors);
  for (const FieldError& it : errors) {
    Log(LogLevel::kWarn, "router", "limit_ignored", {{"path", it.path}, {"error", it.text}});
  }
  routing::RemoveUnlistedBuckets(limits_, &buckets_);
  ranks_ = RanksOf(release);
  metrics_.Set("release_version", release.version);
}

void Router::UpdateHosts(const membership::HostList& hosts) {
  std::vector<std::string> services;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    targets_ = routing::UpdateTargets(targets_, hosts, local_host_.id, HostIds(settings_));
    for (const auto& [service, list] : targets_) services.push_back(service);
  }
  for (const std::string& it : services) DispatchQueued(it);
}

void Router::BeginStop() { stopping_.store(true); }

void Router::Tick(TimePoint now) {
  std::vector<std::string> services;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    routing::RemoveExpiredTokens(&tokens_, now);
    metrics_.Set("tokens_open", static_cast<int64_t>(tokens_.records.size()));
    for (auto& [service, list] : targets_) {
      services.push_back(service);
      const int ejected = routing::UpdateEjection(&list, now);
      metrics_.Count(metrics::Labelled("ejections_total", "service", service), ejected);
      int64_t out = 0;
      for (const routing::Target& it : list) {
        if (!it.leaving && it.health.state != routing::HealthState::kHealthy) out += 1;
      }
      metrics_.Set(metrics::Labelled("targets_ejected", "service", service), out);
      metrics_.Set(metrics::Labelled("queue_length", "service", service),
                   static_cast<int64_t>(states_[service].queue.size()));
    }
  }
  // UpdateEjection() may have made ejected targets available again by putting them on probation.
  for (const std::string& it : services) DispatchQueued(it);
}

http::HttpResponse Router::Ready() {
  const std::lock_guard<std::mutex> lock(mutex_);
  bool usable = false;
  for (const auto& [service, list] : targets_) {
    for (const routing::Target& it : list) usable = usable || !it.leaving;
  }
  const bool ready = !stopping_.load() && release_version_ > 0 && usable;
  return http::JsonResponse(ready ? 200 : 503, {{"ready", ready},
                                                {"stopping", stopping_.load()},
                                                {"release", release_version_},
                                                {"targets", usable}});
}

// Returns the metrics together with the objective of each service and its request counts over the
// short and the long burn window.
http::HttpResponse Router::MetricsJson() {
  const TimePoint now = Now();
  const auto counts = [now](const metrics::BurnSeries& series, Duration window) -> Json {
    const metrics::BurnCounts sum = metrics::CountsWithin(series, window, now);
    return {{"good", sum.good}, {"bad", sum.bad}};
  };
  Json document = metrics_.Snapshot();
  Json burn = Json::object();
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [service, series] : burn_) {
    const auto spec = services_.find(service);
    if (spec == services_.end()) continue;
    burn[service] = {{"objective_ms", spec->second.objective_ms},
                     {"objective_ratio", spec->second.objective_ratio},
                     {"short", counts(series, metrics::kShortWindow)},
                     {"long", counts(series, metrics::kLongWindow)}};
  }
  document["burn"] = burn;
  return http::JsonResponse(200, document);
}

void Router::Handle(const http::HttpRequest& request, const http::Reply& reply) {
  const std::string path = http::PathOf(request);
  if (path == "/healthz") return reply(http::JsonResponse(200, {{"status", "ok"}}));
  if (path == "/readyz") return reply(Ready());
  if (path == "/metrics") return reply(http::MetricsResponse(metrics_.ExpositionText()));
  if (path == "/v1/metrics") return reply(MetricsJson());
  if (path.rfind(kServicePrefix, 0) == 0) return HandleService(request, reply);
  reply(http::ErrorResponse(ResultCode::kNotFound, "no such path: " + path));
}

}  // namespace pomelopond::apps
