package org.guavahatch.gateway.request

import io.netty.buffer.Unpooled
import java.nio.charset.StandardCharsets
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class EventSplitterTest {
    private class Case(val name: String, val stream: String, val events: List<String>, val remainder: String = "")

    private val cases = listOf(
        Case("one event", "id: 1\n\n", listOf("id: 1\n\n")),
        Case("carriage returns", "id: 1\r\n\r\nid: 2\r\n\r\n", listOf("id: 1\r\n\r\n", "id: 2\r\n\r\n")),
        Case("comments before an event", ": a\n\n: b\n\nid: 1\n\n", listOf(": a\n\n: b\n\nid: 1\n\n")),
        Case("blank lines between events", "id: 1\n\n\n\nid: 2\n\n", listOf("id: 1\n\n", "\n\nid: 2\n\n")),
        Case("comments after the last event", "id: 1\n\n: a\n\n: b", listOf("id: 1\n\n"), ": a\n\n: b"),
        Case("an incomplete line", "id: 1\n\nid: 2\ndata", listOf("id: 1\n\n"), "id: 2\ndata"),
        Case("a carriage return within a line", "data: a\rb\n\r\n", listOf("data: a\rb\n\r\n")),
        Case(
            "several lines",
            "id: 3\ndata: a\ndata: b\n\nid: 4\n\n",
            listOf("id: 3\ndata: a\ndata: b\n\n", "id: 4\n\n"),
        ),
    )

    // Guards against state of an incomplete event that is lost or kept too long between two parts of a stream.
    @Test
    fun `events do not depend on how the stream is divided into parts`() = cases.forEach { case ->
        repeat(PARTITIONS) { seed ->
            val random = Random(seed)
            val splitter = EventSplitter()
            val events = ArrayList<String>()
            var position = 0
            while (position < case.stream.length) {
                val end = minOf(case.stream.length, position + random.nextInt(1, LONGEST_PART))
                val part = case.stream.substring(position, end)
                splitter.feed(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1)) { event ->
                    events += event.bytes.toString(StandardCharsets.ISO_8859_1)
                }
                position = end
            }
            assertEquals(case.events, events, "${case.name}, seed $seed")
            val remainder = splitter.takeRemainder().toString(StandardCharsets.ISO_8859_1)
            assertEquals(case.remainder, remainder, "${case.name}, seed $seed")
        }
    }

    private companion object {
        const val PARTITIONS = 50
        const val LONGEST_PART = 8
    }
}
