// A value, or the error that prevented its creation.
#ifndef POMELOPOND_BASE_RESULT_H_
#define POMELOPOND_BASE_RESULT_H_

#include <system_error>

namespace pomelopond {

// `value` is meaningful only if `ec` is clear.
template <class T>
struct Result {
  std::error_code ec;
  T value{};

  bool ok() const { return !ec; }
};

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_RESULT_H_
