#pragma once

#include <atomic>
#include <string>

namespace Yuccagrade::Test
{
/// A temporary folder of a test, removed by the destructor. If a check has failed since it was made, or an exception leaves
/// the test, the folder is kept and its path printed; the environment variable YUCCAGRADE_KEEP_FOLDER keeps all of them.
class TestFolder
{
public:
    /// Throws std::runtime_error.
    TestFolder();
    ~TestFolder();
    TestFolder(const TestFolder &) = delete;
    TestFolder &operator=(const TestFolder &) = delete;

    const std::string &path() const
    {
        return m_path;
    }

    /// Tells all folders that a check has failed. Called by failedtest.cpp.
    static void noteFailure();

private:
    static std::atomic<int> failures;

    std::string m_path;
    int m_failures; ///< before the folder was made
    int m_exceptions; ///< in flight when the folder was made
};
}
