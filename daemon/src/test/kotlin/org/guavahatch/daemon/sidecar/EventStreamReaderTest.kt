package org.guavahatch.daemon.sidecar

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.charsets.TooLongLineException
import kotlinx.coroutines.runBlocking
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class EventStreamReaderTest {
    private val endless = mapOf(
        "a line without end" to "x".repeat(4 shl 20),
        "lines without a blank one" to "data: x\n".repeat(1 shl 20),
    )

    @Test
    fun `an event without end is given up before it fills the memory`() = endless.forEach { (name, text) ->
        assertFailsWith<TooLongLineException>(name) { runBlocking { EventStreamReader(ByteReadChannel(text)).next() } }
    }

    @Test
    fun `events are read one by one`() = runBlocking {
        val reader = EventStreamReader(ByteReadChannel("data: 1\n\ndata: [DONE]\n\n"))
        val events = generateSequence { runBlocking { reader.next() } }.map { String(it.bytes) to it.isLast }.toList()
        assertEquals(listOf("data: 1\n\n" to false, "data: [DONE]\n\n" to true), events)
    }
}
