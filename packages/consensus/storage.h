#pragma once

#include "raftactions.h"
#include "recordfile.h"

#include <string>
#include <system_error>

namespace Yuccagrade
{
/// What opening a data folder found.
struct StorageReport {
    bool created = false; ///< the folder was empty; a new disk id was made
    std::uint64_t truncatedBytes = 0; ///< length of a torn record that was removed from the end of the log
};

/// Durable state of one control host in its data folder. Every call that writes returns after the data is synced.
///
/// Files: `disk-id` (random, made once), `log` (records of term, vote and entries, each one write), `snapshot`.
/// A record's entries replace stored entries from the first one's index on, so the log is only appended to; it is
/// rewritten when a snapshot makes its beginning obsolete. After a failed write the content of the file is uncertain,
/// so all later writes fail with StorageFailed until the folder is opened again.
class Storage
{
public:
    explicit Storage(std::string folder, FileHooks hooks = {});
    ~Storage();
    Storage(const Storage &) = delete;
    Storage &operator=(const Storage &) = delete;

    /// Locks and loads the folder, creating what a first start needs. Errors: Conflict (another process has the folder),
    /// StorageFailed, StorageDamaged (a damaged record before the end, or a file is missing).
    std::error_code open(StoredState &state, StorageReport &report);
    /// Appends one record. Error: StorageFailed.
    std::error_code append(const HardState &hard, const std::vector<LogEntry> &entries);
    /// Replaces the snapshot, then rewrites the log with @p tail. Error: StorageFailed.
    std::error_code saveSnapshot(const HardState &hard, const RaftSnapshot &snapshot, const std::vector<LogEntry> &tail);
    const std::string &diskId() const;

private:
    std::string path(const char *name) const;
    std::error_code lockFolder();
    std::error_code prepareFiles(StorageReport &report);
    std::error_code readDiskId();
    std::error_code readSnapshot(RaftSnapshot &snapshot);
    std::error_code readLog(StoredState &state, StorageReport &report);
    std::error_code finishSnapshot(StoredState &state);
    std::error_code rewriteLog(const HardState &hard, const std::vector<LogEntry> &entries);
    std::error_code replaceFile(const char *name, const std::string &content);
    std::error_code checked(std::error_code error);

    std::string m_folder;
    FileHooks m_hooks;
    std::string m_diskId;
    FileHandle m_folderHandle;
    FileHandle m_log;
    bool m_failed = false;
};
}
