#pragma once

#include <functional>
#include <string>

namespace Yuccagrade::Test
{
/// A temporary folder of a test, removed by the destructor. The folder of a failed test is kept and its path printed; the
/// environment variable YUCCAGRADE_KEEP_FOLDER keeps all of them.
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

    /// Tells whether the running test has failed; set by failedtest.cpp. An exception that leaves the test counts without it.
    static std::function<bool()> hasTestFailed;

private:
    std::string m_path;
    int m_exceptions; ///< in flight when the folder was made
};
}
