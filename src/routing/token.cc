#include "routing/token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>
#include <string_view>
#include <vector>

#include "base/result_code.h"

namespace pomelopond::routing {
namespace {

constexpr size_t kMacBytes = 16;
constexpr size_t kMaxTokenBytes = 256;
constexpr size_t kTokenFields = 5;

std::string Mac(std::string_view text, const std::string& secret) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  unsigned int n = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), buf.data(), &n);
  std::string mac;
  for (size_t it = 0; it < kMacBytes; ++it) {
    mac.push_back(kDigits[buf[it] >> 4]);
    mac.push_back(kDigits[buf[it] & 15]);
  }
  return mac;
}

template <class T>
bool ParseNumber(std::string_view text, T* value) {
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), *value);
  return ec == std::errc() && end == text.data() + text.size() && !text.empty();
}

std::vector<std::string_view> SplitAtDots(std::string_view text) {
  std::vector<std::string_view> parts;
  while (true) {
    const size_t dot = text.find('.');
    parts.push_back(text.substr(0, dot));
    if (dot == std::string_view::npos) return parts;
    text.remove_prefix(dot + 1);
  }
}

}  // namespace

std::string FormatToken(const Token& token, const std::string& secret) {
  const std::string text = token.host + "." + std::to_string(token.incarnation) + "." +
                           std::to_string(token.sequence) + "." +
                           std::to_string(token.expiry.count());
  return text + "." + Mac(text, secret);
}

Result<Token> ParseToken(const std::string& text) {
  const Result<Token> bad{ResultCode::kTokenRequired, {}};
  if (text.size() > kMaxTokenBytes) return bad;
  const std::vector<std::string_view> parts = SplitAtDots(text);
  if (parts.size() != kTokenFields || parts[0].empty()) return bad;
  Token token;
  token.host = std::string(parts[0]);
  int64_t expiry = 0;
  if (!ParseNumber(parts[1], &token.incarnation) || !ParseNumber(parts[2], &token.sequence) ||
      !ParseNumber(parts[3], &expiry)) {
    return bad;
  }
  token.expiry = Duration(expiry);
  return {{}, token};
}

bool VerifyToken(const std::string& text, const std::string& secret) {
  const size_t dot = text.rfind('.');
  if (dot == std::string::npos) return false;
  const std::string_view view = text;
  const std::string expected = Mac(view.substr(0, dot), secret);
  const std::string_view found = view.substr(dot + 1);
  return found.size() == expected.size() &&
         CRYPTO_memcmp(found.data(), expected.data(), expected.size()) == 0;
}

}  // namespace pomelopond::routing
