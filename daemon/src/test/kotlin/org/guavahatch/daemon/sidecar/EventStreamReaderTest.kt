package org.guavahatch.daemon.sidecar

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.charsets.TooLongLineException
import kotlinx.coroutines.runBlocking
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class EventStreamReaderTest {
    private val unterminatedEvents = mapOf(
        "a line without a line break" to "x".repeat(4 shl 20),
        "lines without an empty line" to "data: x\n".repeat(1 shl 20),
    )

    @Test
    fun `an unterminated event fails before it exhausts memory`() = unterminatedEvents.forEach { (name, text) ->
        assertFailsWith<TooLongLineException>(name) { runBlocking { EventStreamReader(ByteReadChannel(text)).next() } }
    }

    @Test
    fun `events are read one by one`() = runBlocking {
        val reader = EventStreamReader(ByteReadChannel("data: 1\n\ndata: [DONE]\n\n"))
        val events = generateSequence { runBlocking { reader.next() } }.map { String(it.bytes) to it.isLast }.toList()
        assertEquals(listOf("data: 1\n\n" to false, "data: [DONE]\n\n" to true), events)
    }
}
