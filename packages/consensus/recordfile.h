#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace Yuccagrade
{
/// Called before each operation on a file, so that tests can record the order and make an operation fail.
struct FileHooks {
    /// @param operation "write", "sync", "rename", "sync-folder" or "truncate"; @param file name without folder.
    std::function<std::error_code(const char *operation, const std::string &file)> before;

    std::error_code check(const char *operation, const std::string &file) const
    {
        return before ? before(operation, file) : std::error_code();
    }
};

/// Owns a file descriptor.
class FileHandle
{
public:
    FileHandle() = default;
    explicit FileHandle(int descriptor);
    FileHandle(FileHandle &&other) noexcept;
    FileHandle &operator=(FileHandle &&other) noexcept;
    ~FileHandle();
    int descriptor() const;
    bool isOpen() const;
    void close();

private:
    int m_descriptor = -1;
};

/// Returns the payload with its header: length, checksum of the length, xxh3 of the payload.
std::string encodeRecord(std::string_view payload);

/// Records of a file up to the first invalid one.
struct RecordScan {
    std::vector<std::string> payloads;
    std::size_t validBytes = 0; ///< length of the valid records
    bool damaged = false; ///< a valid record follows an invalid one, so the invalid one is not a torn write
};

/// Splits the content of a file into records.
RecordScan scanRecords(std::string_view content);

/// Reads a whole file. Errors: NotFound, StorageFailed.
std::error_code readFile(const std::string &path, std::string &content);
/// Writes all of @p data to @p handle. Error: StorageFailed.
std::error_code writeAll(const FileHandle &handle, std::string_view data);
}
