#pragma once

#include <string>
#include <string_view>
#include <system_error>

namespace Yuccagrade
{
/// Returns HMAC-SHA256 of @p data, base64url encoded.
std::string hmacSha256(std::string_view key, std::string_view data);
/// Returns SHA-256 of @p data, base64url encoded.
std::string sha256(std::string_view data);
/// Encodes without padding (RFC 4648, section 5).
std::string base64UrlEncode(std::string_view data);
/// Decodes base64url. Returns false on a malformed text.
bool base64UrlDecode(std::string_view text, std::string &data);
/// Returns @p bytes random bytes from the operating system, base64url encoded.
std::string randomToken(int bytes);
/// Compares in time that depends on the lengths only.
bool equalConstantTime(std::string_view a, std::string_view b);
/// Reads a secret and strips trailing white space. Errors: NotFound, InsecureFile, Malformed (shorter than 16 bytes).
std::error_code readSecretFile(const std::string &path, std::string &secret);
}
