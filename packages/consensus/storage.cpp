#include "storage.h"

#include "base/errc.h"
#include "base/secret.h"

#include <algorithm>
#include <cstdio>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace Yuccagrade
{
namespace
{
constexpr const char *diskIdFile = "disk-id";
constexpr const char *logFile = "log";
constexpr const char *snapshotFile = "snapshot";
constexpr int diskIdBytes = 16;

std::string encodeLogRecord(const HardState &hardState, const std::vector<LogEntry> &entries)
{
    Json::Value json;
    json["term"] = hardState.term;
    json["vote"] = hardState.vote;
    json["entries"] = toJsonList(entries);
    return encodeRecord(toText(json));
}

// Applies the entries of one record to the log. Returns false if they leave a gap, which complete writes never do.
bool applyEntries(std::vector<LogEntry> &log, std::vector<LogEntry> added)
{
    for (LogEntry &entry : added) {
        if (!log.empty() && entry.index > log.back().index + 1) {
            return false;
        }
        while (!log.empty() && log.back().index >= entry.index) {
            log.pop_back();
        }
        log.push_back(std::move(entry));
    }
    return true;
}

bool applyRecord(const std::string &payload, StoredState &state)
{
    Json::Value json;
    std::vector<LogEntry> entries;
    return parseJson(payload, json) && JsonReader(json).read("term", state.hardState.term).read("vote", state.hardState.vote).readList("entries", entries).ok()
        && applyEntries(state.entries, std::move(entries));
}

// Drops the entries that the snapshot contains. Returns false if entries between the snapshot and the log are missing.
bool dropObsoleteEntries(StoredState &state)
{
    const std::uint64_t base = state.snapshot.index;
    if (state.entries.empty()) {
        return true;
    }
    if (state.entries.front().index > base + 1) {
        return false;
    }
    const auto boundary = std::find_if(state.entries.begin(), state.entries.end(), [base](const LogEntry &entry) {
        return entry.index == base;
    });
    // If the log's entry at the snapshot's index has another term, the leader's snapshot has replaced the whole log.
    const bool replaced = boundary != state.entries.end() && boundary->term != state.snapshot.term;
    std::erase_if(state.entries, [base, replaced](const LogEntry &entry) {
        return replaced || entry.index <= base;
    });
    return true;
}
}

Storage::Storage(std::string folder, FileHooks hooks)
    : m_folder(std::move(folder))
    , m_hooks(std::move(hooks))
{
}

Storage::~Storage() = default;

const std::string &Storage::diskId() const
{
    return m_diskId;
}

std::string Storage::path(const char *name) const
{
    return m_folder + "/" + name;
}

std::error_code Storage::trackError(std::error_code error)
{
    m_failed = m_failed || error;
    return error;
}

std::error_code Storage::lockFolder()
{
    const bool folderCreated = ::mkdir(m_folder.c_str(), 0700) == 0;
    m_folderHandle = FileHandle(::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!m_folderHandle.isOpen()) {
        return Errc::StorageFailed;
    }
    if (::flock(m_folderHandle.descriptor(), LOCK_EX | LOCK_NB) != 0) {
        return Errc::Conflict;
    }
    const FileHandle parent(::open((m_folder + "/..").c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (folderCreated && (!parent.isOpen() || ::fsync(parent.descriptor()) != 0)) {
        return Errc::StorageFailed;
    }
    return {};
}

std::error_code Storage::open(StoredState &state, StorageReport &report)
{
    state = {};
    report = {};
    if (const auto error = lockFolder()) {
        return trackError(error);
    }
    if (const auto error = prepareFiles(report)) {
        return trackError(error);
    }
    if (const auto error = readSnapshot(state.snapshot)) {
        return trackError(error);
    }
    if (const auto error = readLog(state, report)) {
        return trackError(error);
    }
    return trackError(completeSnapshot(state));
}

// Completes a saveSnapshot() that a crash interrupted. If obsolete entries were left in the log, the next start would drop
// them together with the entries appended after them.
std::error_code Storage::completeSnapshot(StoredState &state)
{
    const std::size_t before = state.entries.size();
    if (!dropObsoleteEntries(state)) {
        return Errc::StorageDamaged;
    }
    return state.entries.size() == before ? std::error_code() : rewriteLog(state.hardState, state.entries);
}

// Creates the files at the first start. The log is created before the disk id. An empty log without a disk id is therefore
// an interrupted first start, while a disk id without a log always means damage.
std::error_code Storage::prepareFiles(StorageReport &report)
{
    std::string log;
    const auto logError = readFile(path(logFile), log);
    const auto idError = readDiskId();
    if (!idError) {
        return logError == Errc::NotFound ? std::error_code(Errc::StorageDamaged) : logError;
    }
    const bool hasSnapshot = ::access(path(snapshotFile).c_str(), F_OK) == 0;
    if (idError != Errc::NotFound || hasSnapshot || !log.empty()) {
        return idError == Errc::NotFound ? std::error_code(Errc::StorageDamaged) : idError;
    }
    if (logError && logError != Errc::NotFound) {
        return logError;
    }
    if (const auto error = replaceFile(logFile, {})) {
        return error;
    }
    m_diskId = randomToken(diskIdBytes);
    report.created = true;
    return replaceFile(diskIdFile, encodeRecord(m_diskId));
}

std::error_code Storage::readDiskId()
{
    std::string content;
    if (const auto error = readFile(path(diskIdFile), content)) {
        return error;
    }
    RecordScan scan = scanRecords(content);
    if (scan.payloads.size() != 1 || scan.validBytes != content.size()) {
        return Errc::StorageDamaged;
    }
    m_diskId = scan.payloads.front();
    return {};
}

std::error_code Storage::readSnapshot(RaftSnapshot &snapshot)
{
    std::string content;
    if (const auto error = readFile(path(snapshotFile), content)) {
        return error == Errc::NotFound ? std::error_code() : error;
    }
    const RecordScan scan = scanRecords(content);
    Json::Value json;
    const bool isValid =
        scan.payloads.size() == 1 && scan.validBytes == content.size() && parseJson(scan.payloads.front(), json) && RaftSnapshot::fromJson(json, snapshot);
    return isValid ? std::error_code() : Errc::StorageDamaged;
}

std::error_code Storage::readLog(StoredState &state, StorageReport &report)
{
    std::string content;
    if (const auto error = readFile(path(logFile), content)) {
        return error;
    }
    const RecordScan scan = scanRecords(content);
    if (scan.damaged) {
        return Errc::StorageDamaged;
    }
    for (const std::string &payload : scan.payloads) {
        if (!applyRecord(payload, state)) {
            return Errc::StorageDamaged;
        }
    }
    m_log = FileHandle(::open(path(logFile).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
    if (!m_log.isOpen()) {
        return Errc::StorageFailed;
    }
    report.truncatedBytes = content.size() - scan.validBytes;
    if (report.truncatedBytes == 0) {
        return {};
    }
    if (const auto error = m_hooks.check("truncate", logFile)) {
        return error;
    }
    const bool truncated = ::ftruncate(m_log.descriptor(), static_cast<off_t>(scan.validBytes)) == 0 && ::fsync(m_log.descriptor()) == 0;
    return truncated ? std::error_code() : Errc::StorageFailed;
}

// Writes one record per call, so that a torn write never leaves a valid record after an invalid one.
std::error_code Storage::append(const HardState &hardState, const std::vector<LogEntry> &entries)
{
    if (m_failed || !m_log.isOpen()) {
        return Errc::StorageFailed;
    }
    if (const auto error = m_hooks.check("write", logFile)) {
        return trackError(error);
    }
    if (const auto error = writeAll(m_log, encodeLogRecord(hardState, entries))) {
        return trackError(error);
    }
    if (const auto error = m_hooks.check("sync", logFile)) {
        return trackError(error);
    }
    return trackError(::fdatasync(m_log.descriptor()) == 0 ? std::error_code() : Errc::StorageFailed);
}

// Writes the term first, so that a crash cannot leave a snapshot with a newer term than the stored one. Then the snapshot is
// written before the log: a crash between the two leaves obsolete entries, which open() drops.
std::error_code Storage::saveSnapshot(const HardState &hardState, const RaftSnapshot &snapshot, const std::vector<LogEntry> &tail)
{
    if (const auto error = append(hardState, {})) {
        return error;
    }
    if (const auto error = replaceFile(snapshotFile, encodeRecord(toText(snapshot.toJson())))) {
        return trackError(error);
    }
    return trackError(rewriteLog(hardState, tail));
}

std::error_code Storage::rewriteLog(const HardState &hardState, const std::vector<LogEntry> &entries)
{
    if (const auto error = replaceFile(logFile, encodeLogRecord(hardState, entries))) {
        return error;
    }
    m_log = FileHandle(::open(path(logFile).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
    return m_log.isOpen() ? std::error_code() : Errc::StorageFailed;
}

std::error_code Storage::replaceFile(const char *name, const std::string &content)
{
    const std::string temporary = std::string(name) + ".new";
    FileHandle file(::open(path(temporary.c_str()).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (!file.isOpen()) {
        return Errc::StorageFailed;
    }
    if (const auto error = m_hooks.check("write", temporary)) {
        return error;
    }
    if (const auto error = writeAll(file, content)) {
        return error;
    }
    if (const auto error = m_hooks.check("sync", temporary)) {
        return error;
    }
    if (::fsync(file.descriptor()) != 0) {
        return Errc::StorageFailed;
    }
    if (const auto error = m_hooks.check("rename", name)) {
        return error;
    }
    if (::rename(path(temporary.c_str()).c_str(), path(name).c_str()) != 0) {
        return Errc::StorageFailed;
    }
    if (const auto error = m_hooks.check("sync-folder", name)) {
        return error;
    }
    return ::fsync(m_folderHandle.descriptor()) == 0 ? std::error_code() : Errc::StorageFailed;
}
}
