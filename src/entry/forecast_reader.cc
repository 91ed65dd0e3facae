#include "entry/forecast_reader.h"

#include <chrono>
#include <utility>

#include "base/log.h"
#include "entry/keys.h"

namespace pomelopond::entry {
namespace {

// A read costs the store a tenth of an ordinary one, and the owner writes each 0.5 s at most.
constexpr Duration kReadInterval = std::chrono::seconds(1);
// A job that comes later than this after the last one is served without a read.
constexpr Duration kBusyInterval = std::chrono::seconds(1);
constexpr Duration kLineInterval = std::chrono::seconds(1);

bool IsDue(const std::optional<TimePoint>& last, Duration interval, TimePoint now) {
  return !last || now - *last >= interval;
}

}  // namespace

ForecastReader::ForecastReader(store::KeyStore* store, const RevisionHistory* revisions,
                               metrics::Registry* metrics)
    : store_(store), revisions_(revisions), metrics_(metrics) {}

Admission ForecastReader::Admit(const jobs::Job& job, TimePoint now) {
  Admission out;
  bool read = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    out = DecideAdmission(job, {counts_ ? &*counts_ : nullptr, AgeAt(now)});
    read = BeginRead(now);
  }
  if (read) {
    store_->GetStale(kWaitingKey, [this](const Result<store::Item>& item) { FinishRead(item); });
  }
  return out;
}

bool ForecastReader::BeginRead(TimePoint now) {
  const bool busy = !IsDue(last_job_, kBusyInterval, now);
  last_job_ = now;
  if (!busy || reading_ || !IsDue(last_read_, kReadInterval, now)) return false;
  reading_ = true;
  last_read_ = now;
  return true;
}

void ForecastReader::FinishRead(const Result<store::Item>& item) {
  const std::lock_guard<std::mutex> lock(mutex_);
  reading_ = false;
  // What was read before stays known until it is too old.
  if (!item.ok()) return metrics_->Count("forecast_reads_failed_total");
  counts_.reset();
  if (item.value.revision == 0) return;
  Result<dispatch::WaitingCounts> counts = dispatch::DecodeWaitingCounts(item.value.value);
  if (!counts.ok()) return metrics_->Count("forecast_reads_failed_total");
  counts_ = std::move(counts.value);
}

std::optional<Duration> ForecastReader::AgeAt(TimePoint now) const {
  if (!counts_) return std::nullopt;
  return revisions_->MaxAge(counts_->jobs_revision, now);
}

void ForecastReader::RecordRefusal(const jobs::Job& job, const Admission& admission,
                                   TimePoint now) {
  metrics_->Count(metrics::Labelled("jobs_refused_as_useless_total", "queue", job.rules.queue));
  const std::lock_guard<std::mutex> lock(mutex_);
  refused_since_line_ += 1;
  if (!IsDue(last_line_, kLineInterval, now)) return;
  const std::optional<Duration> age = AgeAt(now);
  Log(LogLevel::kInfo, "jobs", "refused_as_useless",
      {{"job", job.id},
       {"queue", job.rules.queue},
       {"wait_ms", admission.wait_ms},
       {"useless_after_ms", admission.useless_after_ms},
       {"objective_ms", admission.objective_ms},
       {"retry_after_ms", Milliseconds(admission.retry_after)},
       {"jobs_revision", counts_ ? counts_->jobs_revision : 0},
       {"age_ms", age ? Milliseconds(*age) : -1},
       {"refused", refused_since_line_}});
  last_line_ = now;
  refused_since_line_ = 0;
}

}  // namespace pomelopond::entry
