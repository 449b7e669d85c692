#include "recordfile.h"

#include "base/errc.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>
#include <utility>
#include <xxhash.h>

namespace Yuccagrade
{
namespace
{
constexpr std::size_t headerBytes = 16;
// Seed of the checksum of the length; with it, a header of zero bytes is not valid.
constexpr std::uint64_t lengthChecksumSeed = 0x79756363;

template<typename T>
void putLittleEndian(std::string &out, T value)
{
    for (std::size_t i = 0; i < sizeof(T); ++i) {
        out.push_back(static_cast<char>(value >> (8 * i)));
    }
}

template<typename T>
T getLittleEndian(std::string_view in, std::size_t offset)
{
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) {
        value |= static_cast<T>(static_cast<unsigned char>(in[offset + i])) << (8 * i);
    }
    return value;
}

std::uint32_t lengthChecksum(std::uint32_t length)
{
    return static_cast<std::uint32_t>(XXH3_64bits_withSeed(&length, sizeof(length), lengthChecksumSeed));
}

// Reads the record at offset; returns false if it is incomplete or a checksum does not match.
bool readRecord(std::string_view content, std::size_t offset, std::string_view &payload)
{
    if (content.size() - offset < headerBytes) {
        return false;
    }
    const auto length = getLittleEndian<std::uint32_t>(content, offset);
    if (getLittleEndian<std::uint32_t>(content, offset + 4) != lengthChecksum(length) || length > content.size() - offset - headerBytes) {
        return false;
    }
    payload = content.substr(offset + headerBytes, length);
    return getLittleEndian<std::uint64_t>(content, offset + 8) == XXH3_64bits(payload.data(), payload.size());
}
}

FileHandle::FileHandle(int descriptor)
    : m_descriptor(descriptor)
{
}

FileHandle::FileHandle(FileHandle &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

FileHandle &FileHandle::operator=(FileHandle &&other) noexcept
{
    if (this != &other) {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
    }
    return *this;
}

FileHandle::~FileHandle()
{
    close();
}

int FileHandle::descriptor() const
{
    return m_descriptor;
}

bool FileHandle::isOpen() const
{
    return m_descriptor >= 0;
}

void FileHandle::close()
{
    if (m_descriptor >= 0) {
        ::close(std::exchange(m_descriptor, -1));
    }
}

std::string encodeRecord(std::string_view payload)
{
    std::string record;
    record.reserve(headerBytes + payload.size());
    const auto length = static_cast<std::uint32_t>(payload.size());
    putLittleEndian(record, length);
    putLittleEndian(record, lengthChecksum(length));
    putLittleEndian(record, static_cast<std::uint64_t>(XXH3_64bits(payload.data(), payload.size())));
    record.append(payload);
    return record;
}

RecordScan scanRecords(std::string_view content)
{
    RecordScan scan;
    std::string_view payload;
    while (scan.validBytes < content.size() && readRecord(content, scan.validBytes, payload)) {
        scan.payloads.emplace_back(payload);
        scan.validBytes += headerBytes + payload.size();
    }
    // If the length is damaged, the start of the next record is unknown, so every offset is tried.
    for (std::size_t offset = scan.validBytes + 1; offset < content.size() && !scan.damaged; ++offset) {
        scan.damaged = readRecord(content, offset, payload);
    }
    return scan;
}

std::error_code readFile(const std::string &path, std::string &content)
{
    const FileHandle file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!file.isOpen()) {
        return errno == ENOENT ? Errc::NotFound : Errc::StorageFailed;
    }
    content.clear();
    std::string buffer(65536, '\0');
    while (true) {
        const ssize_t bytesRead = ::read(file.descriptor(), buffer.data(), buffer.size());
        if (bytesRead < 0 && errno == EINTR) {
            continue;
        }
        if (bytesRead < 0) {
            return Errc::StorageFailed;
        }
        if (bytesRead == 0) {
            return {};
        }
        content.append(buffer, 0, static_cast<std::size_t>(bytesRead));
    }
}

std::error_code writeAll(const FileHandle &handle, std::string_view data)
{
    while (!data.empty()) {
        const ssize_t written = ::write(handle.descriptor(), data.data(), data.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return Errc::StorageFailed;
        }
        data.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
}
}
