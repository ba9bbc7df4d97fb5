#include <Integration/FaultMatrix.h>
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <set>
#include <sstream>

static std::set<std::string> registeredTests()
{
    std::set<std::string> names;
    auto const& registry = *testing::UnitTest::GetInstance();
    for (int suite = 0; suite < registry.total_test_suite_count(); ++suite) {
        auto const& tests = *registry.GetTestSuite(suite);
        for (int index = 0; index < tests.total_test_count(); ++index)
            names.insert(std::string(tests.name()) + "." + tests.GetTestInfo(index)->name());
    }
    return names;
}

// Guards against a matrix that names a test which was renamed or removed.
TEST(FaultMatrixTest, NamedTestsExist)
{
    auto const tests = registeredTests();
    for (auto const fault : Integration::allFaults()) {
        for (auto const step : Integration::allSteps()) {
            auto const cell = Integration::matrixCell(fault, step);
            EXPECT_EQ(cell.coverage == Integration::Coverage::Tested, !cell.tests.empty());
            EXPECT_EQ(cell.coverage == Integration::Coverage::Tested, cell.reason.empty());
            for (auto const& name : cell.tests)
                EXPECT_TRUE(tests.contains(name)) << name;
        }
    }
}

// Guards against a page that differs from the table.
TEST(FaultMatrixTest, PageIsCurrent)
{
    std::string const path = FAULT_MATRIX_PAGE;
    if (std::getenv("HYSSOPSTEP_WRITE_FAULT_MATRIX"))
        std::ofstream(path) << Integration::renderMatrix();
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    EXPECT_EQ(text.str(), Integration::renderMatrix());
}
