#include "secret.h"

#include "errc.h"

#include <fstream>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <stdexcept>
#include <sys/stat.h>
#include <vector>

namespace Yuccagrade
{
namespace
{
constexpr std::size_t minSecretBytes = 16;

const unsigned char *bytes(std::string_view data)
{
    return reinterpret_cast<const unsigned char *>(data.data());
}
}

std::string base64UrlEncode(std::string_view data)
{
    std::vector<unsigned char> buffer(4 * (data.size() / 3 + 1) + 1);
    const int size = EVP_EncodeBlock(buffer.data(), bytes(data), static_cast<int>(data.size()));
    std::string text(buffer.begin(), buffer.begin() + size);
    while (!text.empty() && text.back() == '=') {
        text.pop_back();
    }
    for (char &c : text) {
        c = c == '+' ? '-' : c == '/' ? '_' : c;
    }
    return text;
}

bool base64UrlDecode(std::string_view text, std::string &data)
{
    if (text.size() % 4 == 1) {
        return false;
    }
    std::string padded(text);
    for (char &c : padded) {
        if (c == '+' || c == '/' || c == '=') {
            return false;
        }
        c = c == '-' ? '+' : c == '_' ? '/' : c;
    }
    const std::size_t padding = (4 - padded.size() % 4) % 4;
    padded.append(padding, '=');
    std::vector<unsigned char> buffer(padded.size() / 4 * 3 + 1);
    const int size = EVP_DecodeBlock(buffer.data(), bytes(padded), static_cast<int>(padded.size()));
    if (size < 0) {
        return false;
    }
    data.assign(buffer.begin(), buffer.begin() + size - static_cast<long>(padding));
    return true;
}

std::string hmacSha256(std::string_view key, std::string_view data)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes(data), data.size(), digest, &size);
    return base64UrlEncode({reinterpret_cast<const char *>(digest), size});
}

std::string sha256(std::string_view data)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(bytes(data), data.size(), digest);
    return base64UrlEncode({reinterpret_cast<const char *>(digest), sizeof digest});
}

std::string randomToken(int count)
{
    std::string data(static_cast<std::size_t>(count), '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(data.data()), count) != 1) {
        throw std::runtime_error("the operating system gave no random bytes");
    }
    return base64UrlEncode(data);
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::error_code readSecretFile(const std::string &path, std::string &secret)
{
    struct stat info {
    };
    if (stat(path.c_str(), &info) != 0) {
        return Errc::NotFound;
    }
    if ((info.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        return Errc::InsecureFile;
    }
    std::ifstream file(path);
    secret.assign(std::istreambuf_iterator<char>(file), {});
    while (!secret.empty() && std::isspace(static_cast<unsigned char>(secret.back()))) {
        secret.pop_back();
    }
    return secret.size() < minSecretBytes ? Errc::Malformed : Errc::Ok;
}
}
