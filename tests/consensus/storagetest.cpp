#include <boost/test/unit_test.hpp>

#include "base/errc.h"
#include "consensus/storage.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <sys/resource.h>

using namespace Yuccagrade;
namespace fs = std::filesystem;

namespace
{
// A data folder that does not exist at the start of a test and is removed at its end.
struct Folder {
    Folder()
    {
        fs::remove_all(path);
    }
    ~Folder()
    {
        fs::remove_all(path);
    }
    std::string read(const char *name) const
    {
        std::ifstream file(path + "/" + name, std::ios::binary);
        return {std::istreambuf_iterator<char>(file), {}};
    }
    void write(const char *name, const std::string &content) const
    {
        std::ofstream(path + "/" + name, std::ios::binary) << content;
    }
    const std::string path = "storagetest-data";
};

struct Opened {
    std::unique_ptr<Storage> storage;
    StoredState state;
    StorageReport report;
    std::error_code error;
};

Opened openFolder(const Folder &folder, const FileHooks &hooks = {})
{
    Opened opened;
    opened.storage = std::make_unique<Storage>(folder.path, hooks);
    opened.error = opened.storage->open(opened.state, opened.report);
    return opened;
}

LogEntry entryOf(std::uint64_t index, std::uint64_t term)
{
    return {index, term, EntryKind::Command, Json::Value("value " + std::to_string(index))};
}

// Writes three records: entries 1 and 2, entry 3, then entry 2 again, which replaces 2 and 3.
void writeThreeRecords(const Folder &folder)
{
    Opened opened = openFolder(folder);
    BOOST_REQUIRE(!opened.error);
    BOOST_REQUIRE(!opened.storage->append({1, "a"}, {entryOf(1, 1), entryOf(2, 1)}));
    BOOST_REQUIRE(!opened.storage->append({1, "a"}, {entryOf(3, 1)}));
    BOOST_REQUIRE(!opened.storage->append({2, "b"}, {entryOf(2, 2)}));
}

// Returns hooks that fail from the given operation on, as after a crash at that point, and count the operations.
FileHooks stopAt(int operation, int &count)
{
    return {[operation, &count](const char *, const std::string &) {
        return count++ >= operation ? std::error_code(Errc::StorageFailed) : std::error_code();
    }};
}

const RaftSnapshot snapshotAt2{2, 2, {{"a", "addr", "disk", true}}, "state text"};
}

// Guards against state that is lost or changed by a restart.
BOOST_AUTO_TEST_CASE(stateSurvivesReopen)
{
    const Folder folder;
    writeThreeRecords(folder);
    Opened opened = openFolder(folder);
    BOOST_REQUIRE(!opened.error);
    BOOST_TEST(!opened.report.created);
    BOOST_TEST((opened.state.hardState == HardState{2, "b"}));
    BOOST_TEST((opened.state.entries == std::vector{entryOf(1, 1), entryOf(2, 2)}));
    const std::string diskId = opened.storage->diskId();
    BOOST_TEST(!opened.storage->saveSnapshot({3, ""}, snapshotAt2, {entryOf(3, 3)}));
    BOOST_TEST(!opened.storage->append({3, "c"}, {entryOf(4, 3)}));
    opened.storage.reset();
    opened = openFolder(folder);
    BOOST_REQUIRE(!opened.error);
    BOOST_TEST((opened.state.snapshot == snapshotAt2));
    BOOST_TEST((opened.state.entries == std::vector{entryOf(3, 3), entryOf(4, 3)}));
    BOOST_TEST((opened.state.hardState == HardState{3, "c"}));
    BOOST_TEST(opened.storage->diskId() == diskId);
}

// Guards against a torn record that prevents the next start, or whose bytes stay in front of the next record.
BOOST_AUTO_TEST_CASE(recordTornAtEveryByteIsTruncated)
{
    const Folder folder;
    writeThreeRecords(folder);
    const std::string whole = folder.read("log");
    const RecordScan scan = scanRecords(whole);
    BOOST_REQUIRE_EQUAL(scan.payloads.size(), 3U);
    const std::size_t last = whole.size() - encodeRecord(scan.payloads.back()).size();
    for (std::size_t length = last + 1; length < whole.size(); ++length) {
        folder.write("log", whole.substr(0, length));
        Opened opened = openFolder(folder);
        BOOST_REQUIRE(!opened.error);
        BOOST_REQUIRE_EQUAL(opened.report.truncatedBytes, length - last);
        BOOST_REQUIRE((opened.state.hardState == HardState{1, "a"}));
        BOOST_REQUIRE_EQUAL(opened.state.entries.size(), 3U);
        BOOST_REQUIRE(!opened.storage->append({5, ""}, {entryOf(4, 5)}));
        opened.storage.reset();
        opened = openFolder(folder);
        BOOST_REQUIRE(!opened.error);
        BOOST_REQUIRE_EQUAL(opened.report.truncatedBytes, 0U);
        BOOST_REQUIRE_EQUAL(opened.state.entries.size(), 4U);
    }
}

// Guards against treating damage before the last record as a torn write, which would drop synced entries.
BOOST_AUTO_TEST_CASE(flippedByteBeforeTheLastRecordIsRefused)
{
    const Folder folder;
    writeThreeRecords(folder);
    const std::string whole = folder.read("log");
    const std::size_t last = whole.size() - encodeRecord(scanRecords(whole).payloads.back()).size();
    for (std::size_t at = 0; at < last; ++at) {
        std::string damaged = whole;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x10);
        folder.write("log", damaged);
        BOOST_REQUIRE((openFolder(folder).error == Errc::StorageDamaged));
        BOOST_REQUIRE(folder.read("log") == damaged);
    }
}

// Guards against a host that starts without part of its synced state because a file is damaged or missing.
BOOST_AUTO_TEST_CASE(damagedSnapshotAndMissingFilesAreRefused)
{
    const Folder folder;
    writeThreeRecords(folder);
    Opened opened = openFolder(folder);
    BOOST_REQUIRE(!opened.storage->saveSnapshot({2, "b"}, snapshotAt2, {entryOf(3, 3)}));
    opened.storage.reset();
    for (const char *name : {"snapshot", "disk-id", "log"}) {
        const std::string whole = folder.read(name);
        if (std::string_view(name) != "log") {
            folder.write(name, whole.substr(0, whole.size() - 1));
            BOOST_TEST((openFolder(folder).error == Errc::StorageDamaged));
        }
        fs::remove(folder.path + "/" + name);
        BOOST_TEST((openFolder(folder).error == Errc::StorageDamaged));
        folder.write(name, whole);
        BOOST_TEST(!openFolder(folder).error);
    }
}

// Guards against a write that returns before the sync, a rename before the file is synced, and a rename without a sync of
// the folder.
BOOST_AUTO_TEST_CASE(writesAreSyncedInOrder)
{
    const Folder folder;
    std::string order;
    Opened opened = openFolder(folder, {[&order](const char *operation, const std::string &file) {
                                   order += std::string(operation) + " " + file + ";";
                                   return std::error_code();
                               }});
    const std::string log = "write log.new;sync log.new;rename log;sync-folder log;";
    BOOST_TEST(order == log + "write disk-id.new;sync disk-id.new;rename disk-id;sync-folder disk-id;");
    order.clear();
    opened.storage->append({1, ""}, {entryOf(1, 1)});
    BOOST_TEST(order == "write log;sync log;");
    order.clear();
    opened.storage->saveSnapshot({2, ""}, snapshotAt2, {});
    BOOST_TEST(order == "write log;sync log;write snapshot.new;sync snapshot.new;rename snapshot;sync-folder snapshot;" + log);
}

// Guards against entries that are lost after a crash between the steps of a snapshot, at the next start or after further
// appends.
BOOST_AUTO_TEST_CASE(crashAtEveryStepOfASnapshotKeepsTheState)
{
    for (const std::uint64_t snapshotTerm : {2, 3}) {
        bool complete = false;
        for (int stop = 0; !complete; ++stop) {
            const Folder folder;
            writeThreeRecords(folder);
            int count = 0;
            Opened opened = openFolder(folder, stopAt(stop, count));
            RaftSnapshot snapshot = snapshotAt2;
            snapshot.term = snapshotTerm;
            complete = !opened.storage->saveSnapshot({3, ""}, snapshot, {});
            BOOST_TEST((complete || opened.storage->append({9, ""}, {}) == Errc::StorageFailed));
            opened.storage.reset();
            opened = openFolder(folder);
            BOOST_REQUIRE(!opened.error);
            const bool taken = opened.state.snapshot.index == 2;
            BOOST_TEST(opened.state.entries.size() == (taken ? 0U : 2U));
            BOOST_TEST((taken || !complete));
            BOOST_REQUIRE(!opened.storage->append({4, ""}, {entryOf(3, 4)}));
            opened.storage.reset();
            opened = openFolder(folder);
            BOOST_REQUIRE(!opened.error);
            BOOST_TEST((opened.state.entries.back() == entryOf(3, 4)));
        }
    }
}

// Guards against an interrupted first start that leaves a folder which cannot be opened again.
BOOST_AUTO_TEST_CASE(interruptedFirstStartIsRepeated)
{
    bool complete = false;
    for (int stop = 0; !complete; ++stop) {
        const Folder folder;
        int count = 0;
        complete = !openFolder(folder, stopAt(stop, count)).error;
        const Opened opened = openFolder(folder);
        BOOST_REQUIRE(!opened.error);
        BOOST_TEST(!opened.storage->diskId().empty());
        BOOST_TEST((opened.state.hardState == HardState()));
    }
}

// Guards against acknowledging an entry that was written only in part to a full disk, simulated by a file size limit.
BOOST_AUTO_TEST_CASE(fullDiskFailsTheWriteAndKeepsEarlierRecords)
{
    const Folder folder;
    writeThreeRecords(folder);
    Opened opened = openFolder(folder);
    rlimit former{};
    getrlimit(RLIMIT_FSIZE, &former);
    const auto handler = std::signal(SIGXFSZ, SIG_IGN);
    const rlimit small{fs::file_size(folder.path + "/log") + 20, former.rlim_max};
    setrlimit(RLIMIT_FSIZE, &small);
    const std::error_code error = opened.storage->append({3, ""}, {entryOf(3, 3)});
    setrlimit(RLIMIT_FSIZE, &former);
    std::signal(SIGXFSZ, handler);
    BOOST_TEST((error == Errc::StorageFailed));
    BOOST_TEST((opened.storage->append({3, ""}, {}) == Errc::StorageFailed));
    opened.storage.reset();
    opened = openFolder(folder);
    BOOST_REQUIRE(!opened.error);
    BOOST_TEST(opened.report.truncatedBytes == 20U);
    BOOST_TEST((opened.state.hardState == HardState{2, "b"}));
}

// Guards against two processes that use the same data folder.
BOOST_AUTO_TEST_CASE(folderIsLocked)
{
    const Folder folder;
    const Opened opened = openFolder(folder);
    BOOST_TEST((openFolder(folder).error == Errc::Conflict));
}
