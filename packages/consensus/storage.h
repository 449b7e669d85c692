#pragma once

#include "raftactions.h"
#include "recordfile.h"

#include <string>
#include <system_error>

namespace Yuccagrade
{
/// Result of opening a data folder.
struct StorageReport {
    bool created = false; ///< the folder was empty and got a new disk id
    std::uint64_t truncatedBytes = 0; ///< size of the torn record that was removed from the end of the log; 0 if none
};

/// Persistent state of one control host in its data folder. Every call that writes returns after the data is synced.
///
/// Files: `disk-id` (random, created once), `log` (records of term, vote and entries, each from one write), `snapshot`.
/// The entries of a record replace all stored entries from the index of its first entry on, so records are only appended;
/// the log is rewritten when a snapshot makes its beginning obsolete. After a failed write the content of the file is
/// unknown, so all later writes fail with StorageFailed until the folder is opened again. A last record that was damaged
/// after its sync cannot be distinguished from a torn write and is truncated as well.
class Storage
{
public:
    explicit Storage(std::string folder, FileHooks hooks = {});
    ~Storage();
    Storage(const Storage &) = delete;
    Storage &operator=(const Storage &) = delete;

    /// Locks and loads the folder; creates the files at the first start. Errors: Conflict (locked by another process),
    /// StorageFailed, StorageDamaged (a damaged record before the end, or a file is missing).
    std::error_code open(StoredState &state, StorageReport &report);
    /// Appends one record. Error: StorageFailed.
    std::error_code append(const HardState &hardState, const std::vector<LogEntry> &entries);
    /// Replaces the snapshot, then rewrites the log to contain only @p tail. Error: StorageFailed.
    std::error_code saveSnapshot(const HardState &hardState, const RaftSnapshot &snapshot, const std::vector<LogEntry> &tail);
    const std::string &diskId() const;

private:
    std::string path(const char *name) const;
    std::error_code lockFolder();
    std::error_code prepareFiles(StorageReport &report);
    std::error_code readDiskId();
    std::error_code readSnapshot(RaftSnapshot &snapshot);
    std::error_code readLog(StoredState &state, StorageReport &report);
    std::error_code completeSnapshot(StoredState &state);
    std::error_code rewriteLog(const HardState &hardState, const std::vector<LogEntry> &entries);
    std::error_code replaceFile(const char *name, const std::string &content);
    std::error_code trackError(std::error_code error);

    std::string m_folder;
    FileHooks m_hooks;
    std::string m_diskId;
    FileHandle m_folderHandle;
    FileHandle m_log;
    bool m_failed = false;
};
}
