// ForecastReader holds the owner's waiting counts and forecasts as this host has last read them.
#ifndef POMELOPOND_ENTRY_FORECAST_READER_H_
#define POMELOPOND_ENTRY_FORECAST_READER_H_

#include <cstdint>
#include <mutex>
#include <optional>

#include "base/time.h"
#include "dispatch/waiting_counts.h"
#include "entry/admission.h"
#include "entry/revision_history.h"
#include "jobs/job.h"
#include "metrics/registry.h"
#include "store/key_store.h"

namespace pomelopond::entry {

// Thread-safe.
class ForecastReader {
 public:
  ForecastReader(store::KeyStore* store, const RevisionHistory* revisions,
                 metrics::Registry* metrics);

  // Decides on a job that arrives, by what is known now. If others have arrived within the last
  // second, it begins a stale read for the jobs that follow: at most one a second, and one at a
  // time.
  Admission Admit(const jobs::Job& job, TimePoint now);

  // Records that a job was refused. The log gets a line at most once a second.
  void RecordRefusal(const jobs::Job& job, const Admission& admission, TimePoint now);

 private:
  bool BeginRead(TimePoint now);
  void FinishRead(const Result<store::Item>& item);
  std::optional<Duration> AgeAt(TimePoint now) const;

  store::KeyStore* const store_;
  const RevisionHistory* const revisions_;
  metrics::Registry* const metrics_;
  std::mutex mutex_;  // guards the members below; never held during a call to the store
  std::optional<dispatch::WaitingCounts> counts_;
  bool reading_ = false;
  std::optional<TimePoint> last_job_;
  std::optional<TimePoint> last_read_;
  std::optional<TimePoint> last_line_;
  int64_t refused_since_line_ = 0;
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_FORECAST_READER_H_
