#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace Yuccagrade
{
/// Hook for tests, called before each file operation; it can record the order and make an operation fail.
struct FileHooks {
    /// @param operation "write", "sync", "rename", "sync-folder" or "truncate"
    /// @param file name without folder
    std::function<std::error_code(const char *operation, const std::string &file)> before;

    std::error_code check(const char *operation, const std::string &file) const
    {
        return before ? before(operation, file) : std::error_code();
    }
};

/// Owns a file descriptor and closes it on destruction.
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

/// Returns a record: a header (length, checksum of the length, xxh3 of the payload) followed by the payload.
std::string encodeRecord(std::string_view payload);

/// The records of a file up to the first invalid one.
struct RecordScan {
    std::vector<std::string> payloads;
    std::size_t validBytes = 0; ///< total size of these records
    bool damaged = false; ///< a valid record follows the invalid one, which therefore is not a torn write at the end
};

/// Splits the content of a file into records.
RecordScan scanRecords(std::string_view content);

/// Reads a whole file. Errors: NotFound, StorageFailed.
std::error_code readFile(const std::string &path, std::string &content);
/// Writes all of @p data to @p handle. Error: StorageFailed.
std::error_code writeAll(const FileHandle &handle, std::string_view data);
}
