#include <gtest/gtest.h>
#include <platform/StoreCodec.h>

using namespace std::chrono_literals;

namespace {

constexpr auto configuration = R"({"version":7,"routes":[
{"name":"r-1","host":"Ficu95.example","path-prefix":"/lohu930/","kind":"streaming","timeout-ms":8000,"target-latency-ms":500,"priority":1,"traffic-split":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],"max-attempts":1,"anonymous":false,"sticky":true,"resumable":true,"gap-aim-ms":300},
{"name":"r-2","host":"ficu95.example","path-prefix":"/pufi791/","kind":"unsafe","timeout-ms":800,"service":"wuno96b","max-attempts":2,"anonymous":true}],
"services":[{"name":"huvo11a","health-path":"/health","max-conns":620,"engine":{"slots":128,"kv-cache-tokens":1180804},"scale":{"min":1,"max":6,"boot-s":4.0,"spot-price":0.15,"zone-prices":{"south-a":1.0,"south-b":0.8}}},{"name":"wuno96b","health-path":"/health","max-conns":100}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"hule930","api-keys":["k1","k2"],"priority":1,"unit":"tokens","plain-tokens":200,"rate-per-s":447073,"burst":447073}],"later":{}})";

Platform::StoredObject entry(std::string value)
{
    return { { "servers", "i-7f3a91c2" }, { 1, 5 }, std::move(value) };
}

}

TEST(StoreCodecTest, DecodesTheConfiguration)
{
    PlatformAdapter::StoreCodec const codec;
    Core::Error error;
    auto const table = codec.decodeConfiguration(configuration, error);
    ASSERT_TRUE(table) << error.message;
    EXPECT_EQ(table->version, 7u);
    ASSERT_EQ(table->routes.size(), 2u);
    Forward::Route const first { "r-1", "ficu95.example", "/lohu930/", Forward::RequestKind::Stream, 8000ms, 500ms, 1, { { "huvo11a", 90 }, { "wuno96b", 10 } }, 1, false, true };
    EXPECT_EQ(table->routes[0], first);
    EXPECT_TRUE(table->routes[1].isAnonymous);
    EXPECT_EQ(table->routes[1].kind, Forward::RequestKind::NonIdempotent);
    ASSERT_TRUE(table->services[0].scale);
    EXPECT_EQ(*table->services[0].scale, (Forward::ScaleRange { 1, 6, 4s, 0.15, { { "south-a", 1.0 }, { "south-b", 0.8 } } }));
    EXPECT_FALSE(table->services[1].scale);
    EXPECT_EQ(table->teams, (std::vector<Forward::Team> { { "hule930", { "k1", "k2" }, 1, Forward::LimitUnit::Tokens, 200, 447073, 447073 } }));
    EXPECT_EQ(table->limits.idleTimeout, 15000ms);
}

TEST(StoreCodecTest, RefusesInvalidConfigurations)
{
    PlatformAdapter::StoreCodec const codec;
    Core::Error error;
    for (auto const* text : { "", "[]", "{}", R"({"version":0})", R"({"version":3,"routes":[{"host":"a"}]})", R"({"version":3,"routes":[{"host":"a","path-prefix":"/","kind":"other"}]})" }) {
        EXPECT_FALSE(codec.decodeConfiguration(text, error)) << text;
        EXPECT_EQ(error.kind, Core::ErrorKind::InvalidConfiguration);
    }
}

// Guards against numbers that are converted to others, such as a limit of -1 to none, and against lists that are taken for empty ones.
TEST(StoreCodecTest, RefusesConfigurationsWithValuesOutOfRange)
{
    PlatformAdapter::StoreCodec const codec;
    auto const decode = [&](std::string const& start, std::string const& value, std::string const& end) {
        Core::Error error;
        bool const isValid = codec.decodeConfiguration(start + value + end, error).has_value();
        EXPECT_NE(isValid, error.kind == Core::ErrorKind::InvalidConfiguration);
        return isValid;
    };
    std::string const route = R"({"version":3,"routes":[{"host":"a","path-prefix":"/","kind":"safe",)";
    std::string const service = R"({"version":3,"services":[{"name":"s",)";
    std::string const scale = service + R"("scale":{)";
    std::string const team = R"({"version":3,"tenants":[{"name":"t",)";
    std::string const limits = R"({"version":3,"limits":{)";
    struct Field {
        std::string start;
        char const* end;
    };
    std::vector<Field> fields {
        { route + R"("traffic-split":[{"service":"s","weight":)", "}]}]}" },
        { service + R"("engine":{"slots":)", "}}]}" },
        { service + R"("engine":{"kv-cache-tokens":)", "}}]}" },
        { scale + R"("zone-prices":{"a":)", "}}}]}" },
    };
    for (auto const* name : { "timeout-ms", "target-latency-ms", "priority", "max-attempts" })
        fields.push_back({ route + '"' + name + "\":", "}]}" });
    for (auto const* name : { "min", "max", "boot-s", "spot-price" })
        fields.push_back({ scale + '"' + name + "\":", "}}]}" });
    for (auto const* name : { "priority", "plain-tokens", "rate-per-s", "burst" })
        fields.push_back({ team + '"' + name + "\":", "}]}" });
    for (auto const* name : { "max-header-bytes", "max-body-bytes", "header-timeout-ms", "idle-timeout-ms" })
        fields.push_back({ limits + '"' + name + "\":", "}}" });
    fields.push_back({ service + R"("max-conns":)", "}]}" });
    std::string const odd[] { "1e308", "1e400", "-1", "-1e308", "18446744073709551616", "18446744073709551615", "\"NaN\"", "[]", '"' + std::string(8'000'000, 'x') + '"', std::string(100'000, '[') };
    for (auto const& field : fields) {
        for (auto const* value : { "null", "0", "1", "1.5" })
            EXPECT_TRUE(decode(field.start, value, field.end)) << field.start << value;
        for (auto const& value : odd)
            EXPECT_FALSE(decode(field.start, value, field.end)) << field.start << value.substr(0, 30);
    }
    for (auto const* value : { "1e308", "-1", "1.5", "18446744073709551616", "null", "\"NaN\"" })
        EXPECT_FALSE(decode(R"({"version":)", value, "}")) << value;
    for (auto const* name : { "routes", "services", "tenants" })
        EXPECT_FALSE(decode(R"({"version":3,")" + std::string(name) + "\":", "{}", "}")) << name;
}

// Guards against a version that is rounded to that of the configuration before.
TEST(StoreCodecTest, VersionsAreExact)
{
    PlatformAdapter::StoreCodec const codec;
    Core::Error error;
    for (auto const* version : { "9007199254740993", "18446744073709551615" })
        EXPECT_EQ(std::to_string(codec.decodeConfiguration(R"({"version":)" + std::string(version) + "}", error).value_or(Forward::RouteTable {}).version), version);
}

// Guards against a service that gets no requests because its weight is below one.
TEST(StoreCodecTest, WeightsMayBeFractions)
{
    PlatformAdapter::StoreCodec const codec;
    Core::Error error;
    auto const table = codec.decodeConfiguration(R"({"version":3,"routes":[{"host":"a","path-prefix":"/","kind":"safe","traffic-split":[{"service":"s","weight":0.25},{"service":"t","weight":0.75}]}]})", error);
    ASSERT_TRUE(table) << error.message;
    EXPECT_EQ(Forward::chooseService(table->routes[0], 0.2), "s");
    EXPECT_EQ(Forward::chooseService(table->routes[0], 0.3), "t");
}

TEST(StoreCodecTest, DecodesServers)
{
    PlatformAdapter::StoreCodec const codec;
    Core::Error error;
    auto const server = codec.decodeServer(entry(R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"fl-a","version":"v1","slots":128,"state":"draining","cold-left-ms":0,"seq":4,"born":1780000000000,"spot":true})"), error);
    ASSERT_TRUE(server) << error.message;
    Routing::ListedServer const expected { "i-7f3a91c2", { "10.128.0.9", 8080 }, "huvo11a", "v1", "fl-a", "fl-a", 1780000000000, Routing::Lifecycle::Leaving, 128, true, { 1, 5 } };
    EXPECT_EQ(*server, expected);
}

// Guards against requests being placed at a server named by a malformed entry, such as one of another writer.
TEST(StoreCodecTest, RefusesInvalidServerEntries)
{
    PlatformAdapter::StoreCodec const codec;
    Core::Error error;
    for (auto const* text : {
             "null",
             "{",
             R"({"service":"s","zone":"a","slots":1,"state":"ready","seq":1})",
             R"({"service":7,"address":"10.0.0.1:80","zone":"a","slots":1,"state":"ready","seq":1})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":"1","state":"ready","seq":1})",
             R"({"service":"s","address":"nowhere","zone":"a","slots":1,"state":"ready","seq":1})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,"state":"resting","seq":1})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,"state":"ready","seq":1,"born":1.5})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,"state":"ready","seq":1,"born":-1})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,"state":"ready","seq":1,"born":1e400})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1099511627776,"state":"ready","seq":1})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":-1,"state":"ready","seq":1})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,"state":"ready","seq":1e99})",
             R"({"service":"s","address":"10.0.0.1:0","zone":"a","slots":1,"state":"ready","seq":1})",
             R"({"service":"s","address":"10.0.0.1:70000","zone":"a","slots":1,"state":"ready","seq":1})",
             R"({"service":"s","address":"10.0.0.1:-1","zone":"a","slots":1,"state":"ready","seq":1})",
             R"({"service":"s","address":"10.0.0.1:80x","zone":"a","slots":1,"state":"ready","seq":1})",
             R"({"service":"s","address":"10.0.0.1:","zone":"a","slots":1,"state":"ready","seq":1})",
         })
        EXPECT_FALSE(codec.decodeServer(entry(text), error)) << text;
}

// Guards against a header that another writer adds to the requests for a server.
TEST(StoreCodecTest, RefusesServerEntriesWhoseNameIsNoHeaderValue)
{
    PlatformAdapter::StoreCodec const codec;
    Core::Error error;
    auto server = entry(R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,"state":"ready","seq":1})");
    EXPECT_TRUE(codec.decodeServer(server, error));
    for (auto const* name : { "", "a b", "a\r\nTransfer-Encoding: chunked", "\xc3\xa9" }) {
        server.key.name = name;
        EXPECT_FALSE(codec.decodeServer(server, error)) << name;
    }
}
