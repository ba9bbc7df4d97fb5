#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>
#include <platform/StoreResponse.h>

namespace {

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string item(std::string const& name, std::string const& specification, std::string const& finalizers = "[]")
{
    return R"({"metadata":{"name":")" + name + R"(","revision":1,"finalizers":)" + finalizers + R"(},"spec":)" + specification + "}";
}

std::string readable(std::string const& text)
{
    auto const value = PlatformAdapter::parseStoreResponse(text);
    return value ? boost::json::serialize(*value) : "";
}

}

// Guards against a list that cannot be read because of one entry of another writer.
TEST(StoreResponseTest, UnreadableSpecificationCostsOnlyItsEntry)
{
    for (auto const& odd : { nested(40), nested(100'000), R"({"slots":1e99999999999,"service":"s"})" + std::string(), std::string(R"({"service":"\ud800"})"), std::string("NaN"), std::string("\"\xff\"") }) {
        auto const text = R"({"items":[)" + item("a", R"({"x":"[{\"}"})") + ", " + item("b", odd) + " ," + item("c", "1") + R"(],"store-revision":7})";
        auto const expected = R"({"items":[)" + item("a", R"({"x":"[{\"}"})") + "," + item("b", "null") + "," + item("c", "1") + R"(],"store-revision":7})";
        EXPECT_EQ(readable(text), expected) << odd.substr(0, 40);
    }
}

// Guards against an entry without a name, whose changes would not be seen, because of metadata of another writer.
TEST(StoreResponseTest, UnreadableMetadataKeepsItsOtherFields)
{
    EXPECT_EQ(readable(R"({"events":[{"deleted":false,"object":)" + item("a", "1", nested(50)) + "}]}"), R"({"events":[{"deleted":false,"object":)" + item("a", "1", "null") + "}]}");
}

TEST(StoreResponseTest, TruncatedResponsesAreNotRead)
{
    auto const text = R"({"items":[)" + item("a", nested(40)) + R"(],"store-revision":7})";
    for (std::size_t length = 0; length < text.size(); ++length)
        EXPECT_EQ(readable(text.substr(0, length)), "") << length;
}
