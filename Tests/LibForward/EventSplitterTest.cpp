#include <LibForward/EventSplitter.h>
#include <gtest/gtest.h>

// Guards against a client that gets part of an event, which a resumed stream would repeat.
TEST(EventSplitterTest, OnlyWholeEventsAreReturned)
{
    std::string const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\nid:3\ndata: c\n";
    for (std::size_t step = 1; step < stream.size(); ++step) {
        Forward::EventSplitter splitter;
        std::string events;
        for (std::size_t at = 0; at < stream.size(); at += step)
            events += splitter.feed(std::string_view(stream).substr(at, step));
        EXPECT_EQ(events, "id: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\n") << step;
        EXPECT_EQ(splitter.partial(), "id:3\ndata: c\n");
        EXPECT_EQ(splitter.lastId(), 2u);
        EXPECT_EQ(splitter.eventCount(), 2u);
    }
}

TEST(EventSplitterTest, DroppedBytesDoNotReachTheContinuedStream)
{
    Forward::EventSplitter splitter;
    EXPECT_EQ(splitter.feed("id: 7\ndata: a\n\nid: 8\nda"), "id: 7\ndata: a\n\n");
    splitter.dropPartial();
    EXPECT_EQ(splitter.feed("id: 8\ndata: b\n\n"), "id: 8\ndata: b\n\n");
    EXPECT_EQ(splitter.lastId(), 8u);
}

// Guards against an error's text, a response's head or a repeated event in the middle of a stream.
TEST(EventSplitterTest, EventsThatCannotFollowAreNotReturned)
{
    for (auto const* unexpected : { "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\n", "{\"error\":\"failed\"}\n\n", "id: 7\ndata: a\n\n", "id: 3\ndata: a\n\n", "id: 8x\ndata: b\n\n", "data: b\n\n" }) {
        Forward::EventSplitter splitter;
        EXPECT_EQ(splitter.feed(std::string("id: 7\r\ndata: a\r\n\r\n: comment\n\n") + unexpected + "id: 9\ndata: c\n\n"), "id: 7\r\ndata: a\r\n\r\n: comment\n\n");
        EXPECT_TRUE(splitter.isOutOfOrder()) << unexpected;
        EXPECT_EQ(splitter.lastId(), 7u);
        splitter.dropPartial();
        EXPECT_FALSE(splitter.isOutOfOrder());
        EXPECT_EQ(splitter.feed("id: 8\ndata: b\n\n"), "id: 8\ndata: b\n\n");
    }
}
