#include "support/testfolder.h"

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <stdexcept>

namespace Yuccagrade::Test
{
std::atomic<int> TestFolder::failures = 0;

TestFolder::TestFolder()
    : m_path((std::filesystem::temp_directory_path() / "yuccagrade-XXXXXX").string())
    , m_failures(failures)
    , m_exceptions(std::uncaught_exceptions())
{
    if (!::mkdtemp(m_path.data())) {
        throw std::runtime_error("no temporary folder");
    }
}

TestFolder::~TestFolder()
{
    if (failures > m_failures || std::uncaught_exceptions() > m_exceptions) {
        std::cerr << "The folder of the failed test is kept: " << m_path << std::endl;
    } else if (!std::getenv("YUCCAGRADE_KEEP_FOLDER")) {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
}

void TestFolder::noteFailure()
{
    ++failures;
}
}
